use std::{
    collections::HashMap,
    fmt,
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
};

use tarragon_names::{DomainName, Resources, WorkerName};
use tarragon_shard::Sharded;

use crate::{
    Totals, WorkerInfo, rack_shard::RackShard, resource_sums::ResourceSums, search::MAX_DOMAINS,
};

/// Number of shards. All workers of a rack are in one shard, so a decision about a rack takes one
/// lock.
pub(crate) const SHARD_COUNT: usize = 16;

/// Workers and their reservations, as used by all placers.
///
/// Lock order: a shard of `shards_by_worker`, `domains`, then `racks` in ascending order.
pub(crate) struct Ledger {
    /// Index of the shard in `racks` that contains each worker.
    shards_by_worker: Sharded<HashMap<WorkerName, usize>>,
    /// Failure domains by number. The number of a domain never changes.
    domains: Sharded<Vec<DomainName>>,
    pub(crate) racks: Sharded<RackShard>,
    workers: AtomicUsize,
    capacity: ResourceSums,
    pub(crate) reserved: ResourceSums,
}

impl Ledger {
    /// An empty ledger; `indexed` adds an index over free capacity.
    pub(crate) fn new(indexed: bool) -> Self {
        Self {
            shards_by_worker: Sharded::new(SHARD_COUNT, |_| HashMap::new()),
            domains: Sharded::new(1, |_| Vec::new()),
            racks: Sharded::new(SHARD_COUNT, |_| RackShard::new(indexed)),
            workers: AtomicUsize::new(0),
            capacity: ResourceSums::default(),
            reserved: ResourceSums::default(),
        }
    }

    pub(crate) fn upsert(&self, info: WorkerInfo) {
        let shard = self.racks.shard_of(&info.rack);
        self.shards_by_worker.with(&info.name.clone(), |shards| {
            if let Some(old) = shards.insert(info.name.clone(), shard) {
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
        self.shards_by_worker.with(worker, |shards| {
            shards
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
        self.shards_by_worker
            .with(worker, |shards| shards.get(worker).copied())
    }

    /// Number of a failure domain. All domains after the first `MAX_DOMAINS` share the last number.
    pub(crate) fn domain_number(&self, domain: &DomainName) -> u8 {
        self.domains.with_shard(0, |domains| {
            let known = domains.iter().position(|candidate| candidate == domain);
            known.unwrap_or_else(|| {
                if domains.len() < MAX_DOMAINS {
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
        let mut largest = Resources::ZERO;
        self.racks
            .for_each(|racks| largest = largest.max(&racks.largest_free()));
        largest
    }

    pub(crate) fn largest_capacity(&self) -> Resources {
        let mut largest = Resources::ZERO;
        self.visit(&mut |info| largest = largest.max(&info.capacity));
        largest
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
            .for_each(|racks| racks.workers.iter().for_each(|worker| f(&worker.info)));
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

/// Implements the methods of `Placer` that do not depend on the policy through the field `ledger`.
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
