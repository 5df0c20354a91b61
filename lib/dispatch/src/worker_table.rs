use std::collections::{BTreeMap, BTreeSet, btree_map};

use tarragon_names::WorkerName;
use tarragon_workflow::WorkerIncarnation;

use crate::worker_state::WorkerState;

/// The state of all workers, and the set of workers that changed since their orders and polls were
/// last considered.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerTable {
    by_name: BTreeMap<WorkerName, WorkerState>,
    changed: BTreeSet<WorkerName>,
}

impl WorkerTable {
    pub(crate) fn get(&self, worker: &WorkerName) -> Option<&WorkerState> {
        self.by_name.get(worker)
    }

    /// Returns a worker for changes and marks it as changed, so that its orders and polls are
    /// considered again.
    pub(crate) fn get_mut(&mut self, worker: &WorkerName) -> Option<&mut WorkerState> {
        let state = self.by_name.get_mut(worker)?;
        if !self.changed.contains(worker) {
            self.changed.insert(worker.clone());
        }
        Some(state)
    }

    /// Like `get_mut`, but returns `None` if another incarnation has replaced this one.
    pub(crate) fn get_incarnation_mut(
        &mut self,
        incarnation: &WorkerIncarnation,
    ) -> Option<&mut WorkerState> {
        self.get_mut(&incarnation.worker)
            .filter(|state| state.incarnation() == incarnation)
    }

    pub(crate) fn insert(&mut self, worker: WorkerName, state: WorkerState) {
        self.changed.insert(worker.clone());
        self.by_name.insert(worker, state);
    }

    pub(crate) fn remove(&mut self, worker: &WorkerName) -> Option<WorkerState> {
        self.changed.remove(worker);
        self.by_name.remove(worker)
    }

    pub(crate) fn iter(&self) -> btree_map::Iter<'_, WorkerName, WorkerState> {
        self.by_name.iter()
    }

    /// Calls `f` for each of the given workers, without marking them as changed.
    pub(crate) fn for_each_mut<F>(&mut self, workers: &BTreeSet<WorkerName>, mut f: F)
    where
        F: FnMut(&WorkerName, &mut WorkerState),
    {
        for worker in workers {
            if let Some(state) = self.by_name.get_mut(worker) {
                f(worker, state);
            }
        }
    }

    /// Iterates over all workers, without marking them as changed.
    pub(crate) fn iter_mut(&mut self) -> btree_map::IterMut<'_, WorkerName, WorkerState> {
        self.by_name.iter_mut()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    pub(crate) fn clear(&mut self) {
        self.by_name.clear();
        self.changed.clear();
    }

    /// Marks all workers as changed.
    pub(crate) fn mark_all_changed(&mut self) {
        self.changed = self.by_name.keys().cloned().collect();
    }

    /// Returns the changed workers and clears the set.
    pub(crate) fn take_changed(&mut self) -> BTreeSet<WorkerName> {
        std::mem::take(&mut self.changed)
    }
}
