use std::collections::{BTreeMap, BTreeSet, btree_map};

use tarragon_names::{Millis, PoolName, WorkerName};
use tarragon_workflow::WorkerIncarnation;

use crate::worker_state::WorkerState;

/// Processor time that is available on a worker, in thousandths of a core, and the worker.
type Available = (u64, WorkerName);

/// The state of all workers, the set of workers that changed since their orders and polls were last
/// considered, and an index of the workers by their available processor time.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerTable {
    by_name: BTreeMap<WorkerName, WorkerState>,
    changed: BTreeSet<WorkerName>,
    by_available: BTreeMap<PoolName, BTreeSet<Available>>,
    /// Processor time of all workers, by pool.
    capacity_by_pool: BTreeMap<PoolName, u64>,
    /// Sums of the available processor time in the index, by pool.
    available_by_pool: BTreeMap<PoolName, u64>,
    /// Workers that changed since the index was brought up to date.
    unindexed: Vec<WorkerName>,
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
        if !state.is_unindexed {
            state.is_unindexed = true;
            self.unindexed.push(worker.clone());
        }
        Some(state)
    }

    /// Brings the index and the totals of the workers up to date. Its cost depends on the number of
    /// workers that changed. Nothing is available on a worker that is not usable.
    pub(crate) fn update_index(&mut self, now: Millis) {
        for worker in std::mem::take(&mut self.unindexed) {
            let Some(state) = self.by_name.get_mut(&worker) else {
                continue;
            };
            state.is_unindexed = false;
            state.update_totals();
            let available = if state.is_usable(now) {
                state.available().cpu_milli
            } else {
                0
            };
            let indexed = (state.record.pool.clone(), available);
            if state.indexed.as_ref() == Some(&indexed) {
                continue;
            }
            let previous = state.indexed.replace(indexed.clone());
            self.remove_from_index(previous, &worker);
            let (pool, available) = indexed;
            *self.available_by_pool.entry(pool.clone()).or_default() += available;
            let workers = self.by_available.entry(pool).or_default();
            workers.insert((available, worker));
        }
    }

    /// Iterates over the workers of a pool, those with the most available processor time first, as
    /// of the last update of the index.
    pub(crate) fn most_available(&self, pool: &PoolName) -> impl Iterator<Item = &WorkerState> {
        let workers = self.by_available.get(pool).into_iter().flatten().rev();
        workers.filter_map(|(_, worker)| self.by_name.get(worker))
    }

    /// Processor time that is available on the usable workers of a pool, in thousandths of a core, as
    /// of the last update of the index.
    pub(crate) fn available_in(&self, pool: &PoolName) -> u64 {
        self.available_by_pool.get(pool).copied().unwrap_or(0)
    }

    /// Processor time of all workers of a pool, in thousandths of a core.
    pub(crate) fn capacity_of(&self, pool: &PoolName) -> u64 {
        self.capacity_by_pool.get(pool).copied().unwrap_or(0)
    }

    fn remove_from_index(&mut self, indexed: Option<(PoolName, u64)>, worker: &WorkerName) {
        let Some((pool, available)) = indexed else {
            return;
        };
        if let Some(workers) = self.by_available.get_mut(&pool) {
            workers.remove(&(available, worker.clone()));
        }
        if let Some(sum) = self.available_by_pool.get_mut(&pool) {
            *sum = sum.saturating_sub(available);
        }
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
        self.remove(&worker);
        self.changed.insert(worker.clone());
        self.unindexed.push(worker.clone());
        let capacity = self.capacity_by_pool.entry(state.record.pool.clone());
        let capacity = capacity.or_default();
        *capacity = capacity.saturating_add(state.record.capacity.cpu_milli);
        self.by_name.insert(worker, state);
    }

    pub(crate) fn remove(&mut self, worker: &WorkerName) -> Option<WorkerState> {
        self.changed.remove(worker);
        let mut state = self.by_name.remove(worker)?;
        state.release_usage();
        if let Some(capacity) = self.capacity_by_pool.get_mut(&state.record.pool) {
            *capacity = capacity.saturating_sub(state.record.capacity.cpu_milli);
        }
        self.remove_from_index(state.indexed.take(), worker);
        Some(state)
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
        self.by_available.clear();
        self.available_by_pool.clear();
        self.capacity_by_pool.clear();
        self.unindexed.clear();
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
