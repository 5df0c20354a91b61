use std::{collections::HashMap, fmt};

use tarragon_names::{Resources, WorkerName};
use tarragon_shard::Sharded;

use crate::{Totals, WorkerInfo, rack_shard::RackShard};

/// Number of shards. Workers of a rack share one, so a decision about a rack takes one lock.
const SHARDS: usize = 16;

/// Workers and their reservations, which all placers keep in the same way.
///
/// Lock order: a directory shard, then worker shards in ascending order.
pub(crate) struct Ledger {
    directory: Sharded<HashMap<WorkerName, usize>>,
    pub(crate) racks: Sharded<RackShard>,
}

impl Ledger {
    pub(crate) fn new() -> Self {
        Self {
            directory: Sharded::new(SHARDS, |_| HashMap::new()),
            racks: Sharded::new(SHARDS, |_| RackShard::default()),
        }
    }

    pub(crate) fn upsert(&self, info: WorkerInfo) {
        let shard = self.racks.shard_of(&info.rack);
        self.directory.with(&info.name.clone(), |directory| {
            if let Some(old) = directory.insert(info.name.clone(), shard)
                && old != shard
            {
                self.racks.with_shard(old, |racks| racks.remove(&info.name));
            }
            self.racks.with_shard(shard, |racks| racks.upsert(info));
        });
    }

    pub(crate) fn remove(&self, worker: &WorkerName) -> bool {
        self.directory.with(worker, |directory| {
            directory
                .remove(worker)
                .is_some_and(|shard| self.racks.with_shard(shard, |racks| racks.remove(worker)))
        })
    }

    pub(crate) fn update<F, R>(&self, worker: &WorkerName, f: F) -> Option<R>
    where
        F: FnOnce(&mut WorkerInfo) -> R,
    {
        let shard = self
            .directory
            .with(worker, |directory| directory.get(worker).copied())?;
        self.racks
            .with_shard(shard, |racks| racks.update(worker, f))
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
        let shard = self
            .directory
            .with(worker, |directory| directory.get(worker).copied())?;
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
        let mut totals = Totals::default();
        self.visit(&mut |info| {
            totals.workers += 1;
            totals.capacity += info.capacity;
            totals.reserved += info.reserved;
        });
        totals
    }

    pub(crate) fn visit(&self, f: &mut dyn FnMut(&WorkerInfo)) {
        self.racks
            .for_each(|racks| racks.slots.iter().for_each(&mut *f));
    }
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ledger")
            .field("racks", &self.racks)
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
