use std::{
    collections::HashMap,
    fmt,
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
};

use tarragon_names::{DomainName, Resources, WorkerName};
use tarragon_shard::Sharded;

use crate::{Totals, WorkerInfo, rack_shard::RackShard, search::DOMAINS, sums::Sums};

/// Number of shards. Workers of a rack share one, so a decision about a rack takes one lock.
pub(crate) const SHARDS: usize = 16;

/// Workers and their reservations, which all placers keep in the same way.
///
/// Lock order: a directory shard, the domains, then worker shards in ascending order.
pub(crate) struct Ledger {
    directory: Sharded<HashMap<WorkerName, usize>>,
    /// Failure domains by number; a domain keeps its number for the life of the ledger.
    domains: Sharded<Vec<DomainName>>,
    pub(crate) racks: Sharded<RackShard>,
    workers: AtomicUsize,
    capacity: Sums,
    pub(crate) reserved: Sums,
}

impl Ledger {
    /// An empty ledger, with an index over free capacity if `indexed`.
    pub(crate) fn new(indexed: bool) -> Self {
        Self {
            directory: Sharded::new(SHARDS, |_| HashMap::new()),
            domains: Sharded::new(1, |_| Vec::new()),
            racks: Sharded::new(SHARDS, |_| RackShard::new(indexed)),
            workers: AtomicUsize::new(0),
            capacity: Sums::default(),
            reserved: Sums::default(),
        }
    }

    pub(crate) fn upsert(&self, info: WorkerInfo) {
        let shard = self.racks.shard_of(&info.rack);
        self.directory.with(&info.name.clone(), |directory| {
            if let Some(old) = directory.insert(info.name.clone(), shard) {
                self.remove_from(old, &info.name);
            }
            let domain = self.domain_number(&info.domain);
            self.workers.fetch_add(1, Relaxed);
            self.capacity.add(&info.capacity);
            self.reserved.add(&info.reserved);
            self.racks
                .with_shard(shard, |racks| racks.insert(info, domain));
        });
    }

    pub(crate) fn remove(&self, worker: &WorkerName) -> bool {
        self.directory.with(worker, |directory| {
            directory
                .remove(worker)
                .is_some_and(|shard| self.remove_from(shard, worker))
        })
    }

    fn remove_from(&self, shard: usize, worker: &WorkerName) -> bool {
        let Some(info) = self.racks.with_shard(shard, |racks| racks.remove(worker)) else {
            return false;
        };
        self.workers.fetch_sub(1, Relaxed);
        self.capacity.sub(&info.capacity);
        self.reserved.sub(&info.reserved);
        true
    }

    pub(crate) fn update<F, R>(&self, worker: &WorkerName, f: F) -> Option<R>
    where
        F: FnOnce(&mut WorkerInfo) -> R,
    {
        let shard = self.shard_of(worker)?;
        self.racks.with_shard(shard, |racks| {
            racks.update(worker, |info| {
                let before = info.reserved;
                let result = f(info);
                self.reserved.change(&before, &info.reserved);
                result
            })
        })
    }

    fn shard_of(&self, worker: &WorkerName) -> Option<usize> {
        self.directory
            .with(worker, |directory| directory.get(worker).copied())
    }

    /// Number of a failure domain; all beyond the first `DOMAINS` share the last number.
    pub(crate) fn domain_number(&self, domain: &DomainName) -> u8 {
        self.domains.with_shard(0, |domains| {
            let known = domains.iter().position(|known| known == domain);
            known.unwrap_or_else(|| {
                if domains.len() < DOMAINS {
                    domains.push(domain.clone());
                }
                domains.len() - 1
            }) as u8
        })
    }

    /// Number of known failure domains.
    pub(crate) fn domain_count(&self) -> usize {
        self.domains.with_shard(0, |domains| domains.len())
    }

    pub(crate) fn set_schedulable(&self, worker: &WorkerName, schedulable: bool) -> bool {
        self.update(worker, |info| info.schedulable = schedulable)
            .is_some()
    }

    pub(crate) fn release(&self, worker: &WorkerName, resources: &Resources) {
        self.update(worker, |info| {
            info.reserved = info.reserved.saturating_sub(resources);
        });
    }

    pub(crate) fn reserve(&self, worker: &WorkerName, resources: &Resources) -> bool {
        self.update(worker, |info| {
            info.reserved += *resources;
            info.reserved.fits(&info.capacity)
        })
        .unwrap_or(false)
    }

    pub(crate) fn free(&self, worker: &WorkerName) -> Option<Resources> {
        let shard = self.shard_of(worker)?;
        self.racks
            .with_shard(shard, |racks| racks.get(worker).map(WorkerInfo::free))
    }

    pub(crate) fn largest_free(&self) -> Resources {
        let mut most = Resources::ZERO;
        self.racks
            .for_each(|racks| most = most.max(&racks.largest_free()));
        most
    }

    pub(crate) fn largest_capacity(&self) -> Resources {
        let mut most = Resources::ZERO;
        self.visit(&mut |info| most = most.max(&info.capacity));
        most
    }

    pub(crate) fn fits_capacity(&self, resources: &Resources) -> bool {
        let mut fits = false;
        self.visit(&mut |info| fits |= resources.fits(&info.capacity));
        fits
    }

    pub(crate) fn totals(&self) -> Totals {
        Totals {
            workers: self.workers.load(Relaxed),
            capacity: self.capacity.get(),
            reserved: self.reserved.get(),
        }
    }

    pub(crate) fn visit(&self, f: &mut dyn FnMut(&WorkerInfo)) {
        self.racks
            .for_each(|racks| racks.slots.iter().for_each(|slot| f(&slot.info)));
    }
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ledger")
            .field("racks", &self.racks)
            .field("workers", &self.workers)
            .finish_non_exhaustive()
    }
}

/// Forwards the parts of `Placer` that do not depend on the policy to the field `ledger`.
macro_rules! forward_to_ledger {
    () => {
        fn upsert_worker(&self, info: $crate::WorkerInfo) {
            self.ledger.upsert(info);
        }

        fn remove_worker(&self, worker: &tarragon_names::WorkerName) -> bool {
            self.ledger.remove(worker)
        }

        fn set_schedulable(&self, worker: &tarragon_names::WorkerName, schedulable: bool) -> bool {
            self.ledger.set_schedulable(worker, schedulable)
        }

        fn release(
            &self,
            worker: &tarragon_names::WorkerName,
            resources: &tarragon_names::Resources,
        ) {
            self.ledger.release(worker, resources);
        }

        fn reserve(
            &self,
            worker: &tarragon_names::WorkerName,
            resources: &tarragon_names::Resources,
        ) -> bool {
            self.ledger.reserve(worker, resources)
        }

        fn free(&self, worker: &tarragon_names::WorkerName) -> Option<tarragon_names::Resources> {
            self.ledger.free(worker)
        }

        fn largest_free(&self) -> tarragon_names::Resources {
            self.ledger.largest_free()
        }

        fn largest_capacity(&self) -> tarragon_names::Resources {
            self.ledger.largest_capacity()
        }

        fn fits_capacity(&self, resources: &tarragon_names::Resources) -> bool {
            self.ledger.fits_capacity(resources)
        }

        fn totals(&self) -> $crate::Totals {
            self.ledger.totals()
        }

        fn visit(&self, f: &mut dyn FnMut(&$crate::WorkerInfo)) {
            self.ledger.visit(f);
        }
    };
}
pub(crate) use forward_to_ledger;
