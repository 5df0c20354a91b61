use std::collections::HashMap;

use tarragon_names::{Resources, WorkerName};

use crate::{
    WorkerInfo,
    candidate::Candidate,
    free_index::{FreeIndex, Scan},
    search::Search,
    shard_worker::ShardWorker,
};

/// Workers of the racks that belong to one shard.
#[derive(Debug)]
pub(crate) struct RackShard {
    pub(crate) workers: Vec<ShardWorker>,
    by_name: HashMap<WorkerName, usize>,
    /// `None` for the baseline placers, which do not use it.
    index: Option<FreeIndex>,
    /// Cached result of `largest_free`; `None` after a change.
    largest: Option<Resources>,
}

impl RackShard {
    pub(crate) fn new(indexed: bool) -> Self {
        Self {
            workers: Vec::new(),
            by_name: HashMap::new(),
            index: indexed.then(FreeIndex::new),
            largest: None,
        }
    }

    /// Adds a worker that is not in the shard.
    pub(crate) fn insert(&mut self, info: WorkerInfo, domain: u8) {
        let position = self.workers.len();
        self.by_name.insert(info.name.clone(), position);
        self.workers.push(ShardWorker { info, domain });
        self.reindex(position);
    }

    pub(crate) fn remove(&mut self, worker: &WorkerName) -> Option<WorkerInfo> {
        let position = self.by_name.remove(worker)?;
        let last = self.workers.len() - 1;
        if let Some(index) = &mut self.index {
            index.set(position, None, false);
            index.set(last, None, false);
            index.truncate(last);
        }
        let removed = self.workers.swap_remove(position);
        self.largest = None;
        if position < last {
            self.by_name
                .insert(self.workers[position].info.name.clone(), position);
            self.reindex(position);
        }
        Some(removed.info)
    }

    pub(crate) fn get(&self, worker: &WorkerName) -> Option<&WorkerInfo> {
        self.by_name
            .get(worker)
            .map(|&position| &self.workers[position].info)
    }

    /// Runs `f` on a worker and updates the index.
    pub(crate) fn update<F, R>(&mut self, worker: &WorkerName, f: F) -> Option<R>
    where
        F: FnOnce(&mut WorkerInfo) -> R,
    {
        let position = *self.by_name.get(worker)?;
        let result = f(&mut self.workers[position].info);
        self.reindex(position);
        Some(result)
    }

    /// Reserves resources on the worker at `position`; the caller must check that they fit.
    pub(crate) fn reserve(&mut self, position: usize, resources: &Resources) {
        self.workers[position].info.reserved += *resources;
        self.reindex(position);
    }

    /// Reverts `reserve` on the worker at `position`.
    pub(crate) fn unreserve(&mut self, position: usize, resources: &Resources) {
        let info = &mut self.workers[position].info;
        info.reserved = info.reserved.saturating_sub(resources);
        self.reindex(position);
    }

    pub(crate) fn largest_free(&mut self) -> Resources {
        let workers = &self.workers;
        *self.largest.get_or_insert_with(|| {
            workers
                .iter()
                .filter(|worker| worker.info.schedulable)
                .fold(Resources::ZERO, |max, worker| max.max(&worker.info.free()))
        })
    }

    /// Candidate with the lowest score among those that the search compares.
    pub(crate) fn best(&self, search: &Search<'_>) -> Option<Candidate> {
        let index = self.index.as_ref()?;
        let mut best = None::<Candidate>;
        let mut compared = 0;
        index.scan(&search.req.resources, |position| {
            let Some(score) = search.score(&self.workers[position]) else {
                return Scan::Reject;
            };
            if best.is_none_or(|best| score < best.score) {
                best = Some(Candidate { position, score });
            }
            compared += 1;
            if compared >= search.max_candidates {
                Scan::Stop
            } else {
                Scan::Accept
            }
        });
        best
    }

    fn reindex(&mut self, position: usize) {
        self.largest = None;
        let info = &self.workers[position].info;
        if let Some(index) = &mut self.index {
            let free = info.schedulable.then(|| info.free());
            index.set(position, free.as_ref(), info.capacity.accelerators > 0);
        }
    }
}
