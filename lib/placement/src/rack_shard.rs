use std::collections::HashMap;

use tarragon_names::{Resources, WorkerName};

use crate::WorkerInfo;

/// Workers of the racks that belong to one shard.
#[derive(Debug, Default)]
pub(crate) struct RackShard {
    pub(crate) slots: Vec<WorkerInfo>,
    by_name: HashMap<WorkerName, usize>,
}

impl RackShard {
    pub(crate) fn upsert(&mut self, info: WorkerInfo) {
        if let Some(&slot) = self.by_name.get(&info.name) {
            self.slots[slot] = info;
            return;
        }
        self.by_name.insert(info.name.clone(), self.slots.len());
        self.slots.push(info);
    }

    pub(crate) fn remove(&mut self, worker: &WorkerName) -> bool {
        let Some(slot) = self.by_name.remove(worker) else {
            return false;
        };
        self.slots.swap_remove(slot);
        if let Some(moved) = self.slots.get(slot) {
            self.by_name.insert(moved.name.clone(), slot);
        }
        true
    }

    pub(crate) fn get(&self, worker: &WorkerName) -> Option<&WorkerInfo> {
        self.by_name.get(worker).map(|&slot| &self.slots[slot])
    }

    /// Runs `f` on a worker and brings the shard up to date with what it changed.
    pub(crate) fn update<F, R>(&mut self, worker: &WorkerName, f: F) -> Option<R>
    where
        F: FnOnce(&mut WorkerInfo) -> R,
    {
        let slot = *self.by_name.get(worker)?;
        Some(f(&mut self.slots[slot]))
    }

    /// Reserves on a slot; the caller has checked that it fits.
    pub(crate) fn take(&mut self, slot: usize, resources: &Resources) {
        self.slots[slot].reserved += *resources;
    }

    /// Undoes `take` on the same slot.
    pub(crate) fn give_back(&mut self, slot: usize, resources: &Resources) {
        let info = &mut self.slots[slot];
        info.reserved = info.reserved.saturating_sub(resources);
    }

    pub(crate) fn largest_free(&self) -> Resources {
        self.slots
            .iter()
            .filter(|info| info.schedulable)
            .fold(Resources::ZERO, |most, info| most.max(&info.free()))
    }
}
