use std::collections::HashMap;

use tarragon_names::{Resources, WorkerName};

use crate::{
    WorkerInfo,
    candidate::Candidate,
    free_index::{FreeIndex, Scan},
    search::Search,
    slot::Slot,
};

/// Workers of the racks that belong to one shard.
#[derive(Debug)]
pub(crate) struct RackShard {
    pub(crate) slots: Vec<Slot>,
    by_name: HashMap<WorkerName, usize>,
    /// Baselines that look through the slots in order do without.
    index: Option<FreeIndex>,
    /// Greatest free amounts, worked out on demand after a change.
    largest: Option<Resources>,
}

impl RackShard {
    pub(crate) fn new(indexed: bool) -> Self {
        Self {
            slots: Vec::new(),
            by_name: HashMap::new(),
            index: indexed.then(FreeIndex::new),
            largest: None,
        }
    }

    /// Adds a worker that the shard does not hold.
    pub(crate) fn insert(&mut self, info: WorkerInfo, domain: u8) {
        let slot = self.slots.len();
        self.by_name.insert(info.name.clone(), slot);
        self.slots.push(Slot { info, domain });
        self.changed(slot);
    }

    pub(crate) fn remove(&mut self, worker: &WorkerName) -> Option<WorkerInfo> {
        let slot = self.by_name.remove(worker)?;
        let last = self.slots.len() - 1;
        if let Some(index) = &mut self.index {
            index.set(slot, None, false);
            index.set(last, None, false);
            index.shrink(last);
        }
        let removed = self.slots.swap_remove(slot);
        self.largest = None;
        if slot < last {
            self.by_name
                .insert(self.slots[slot].info.name.clone(), slot);
            self.changed(slot);
        }
        Some(removed.info)
    }

    pub(crate) fn get(&self, worker: &WorkerName) -> Option<&WorkerInfo> {
        self.by_name.get(worker).map(|&slot| &self.slots[slot].info)
    }

    /// Runs `f` on a worker and brings the index up to date with what it changed.
    pub(crate) fn update<F, R>(&mut self, worker: &WorkerName, f: F) -> Option<R>
    where
        F: FnOnce(&mut WorkerInfo) -> R,
    {
        let slot = *self.by_name.get(worker)?;
        let result = f(&mut self.slots[slot].info);
        self.changed(slot);
        Some(result)
    }

    /// Reserves on a slot; the caller has checked that it fits.
    pub(crate) fn take(&mut self, slot: usize, resources: &Resources) {
        self.slots[slot].info.reserved += *resources;
        self.changed(slot);
    }

    /// Undoes `take` on the same slot.
    pub(crate) fn give_back(&mut self, slot: usize, resources: &Resources) {
        let info = &mut self.slots[slot].info;
        info.reserved = info.reserved.saturating_sub(resources);
        self.changed(slot);
    }

    pub(crate) fn largest_free(&mut self) -> Resources {
        let slots = &self.slots;
        *self.largest.get_or_insert_with(|| {
            slots
                .iter()
                .filter(|slot| slot.info.schedulable)
                .fold(Resources::ZERO, |most, slot| most.max(&slot.info.free()))
        })
    }

    /// Slot with the lowest score among those that the search compares.
    pub(crate) fn best(&self, search: &Search<'_>) -> Option<Candidate> {
        let index = self.index.as_ref()?;
        let mut best = None::<Candidate>;
        let mut compared = 0;
        index.scan(&search.req.resources, |slot| {
            let Some(score) = search.score(&self.slots[slot]) else {
                return Scan::Next;
            };
            if best.is_none_or(|best| score < best.score) {
                best = Some(Candidate { slot, score });
            }
            compared += 1;
            if compared >= search.budget {
                Scan::Enough
            } else {
                Scan::Found
            }
        });
        best
    }

    fn changed(&mut self, slot: usize) {
        self.largest = None;
        let info = &self.slots[slot].info;
        if let Some(index) = &mut self.index {
            let free = info.schedulable.then(|| info.free());
            index.set(slot, free.as_ref(), info.capacity.accelerators > 0);
        }
    }
}
