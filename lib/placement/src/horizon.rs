use std::{collections::HashMap, fmt};

use tarragon_names::{JobId, Millis, Resources, TaskId, WorkerName};
use tarragon_shard::Sharded;

use crate::{HeadReservation, PlaceRequest, Placer};

const SHARDS: usize = 16;

/// Least time that an overdue task is expected to run on.
const LEAST_OVERDUE: Millis = Millis(10_000);

/// Expected ends of running tasks, from which reservations in time are worked out.
pub struct Horizon {
    workers: Sharded<HashMap<WorkerName, HashMap<TaskId, Running>>>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    resources: Resources,
    ends: Millis,
}

impl Horizon {
    /// A horizon without running tasks.
    pub fn new() -> Self {
        Self {
            workers: Sharded::new(SHARDS, |_| HashMap::new()),
        }
    }

    /// Records a task that is expected to end; a task without an end is not recorded.
    pub fn started(&self, worker: &WorkerName, task: TaskId, resources: Resources, ends: Millis) {
        self.workers.with(worker, |shard| {
            shard
                .entry(worker.clone())
                .or_default()
                .insert(task, Running { resources, ends });
        });
    }

    /// Removes a task.
    pub fn ended(&self, worker: &WorkerName, task: &TaskId) {
        self.workers.with(worker, |shard| {
            if let Some(tasks) = shard.get_mut(worker) {
                tasks.remove(task);
                if tasks.is_empty() {
                    shard.remove(worker);
                }
            }
        });
    }

    /// Earliest time and workers at which all tasks of `req` fit, by the expected ends.
    ///
    /// `None` if they do not fit even after every task with a known end has ended. Costs one pass
    /// over the running tasks, so the caller keeps the result until the head of the queue changes.
    pub fn plan(
        &self,
        now: Millis,
        job: JobId,
        req: &PlaceRequest,
        placer: &dyn Placer,
    ) -> Option<HeadReservation> {
        let mut slots = Vec::new();
        placer.visit(&mut |info| {
            if info.schedulable
                && req.resources.fits(&info.capacity)
                && !req.exclude.contains(&info.name)
            {
                self.fit_times(now, &info.name, info.free(), req, &mut slots);
            }
        });
        let wanted = req.tasks.max(1) as usize;
        if slots.len() < wanted {
            return None;
        }
        slots.sort_unstable();
        slots.truncate(wanted);
        let at = slots.last().map_or(now, |(time, _)| *time);
        let mut reservation = HeadReservation {
            job,
            at,
            workers: std::collections::BTreeMap::new(),
        };
        for (_, worker) in slots {
            *reservation.workers.entry(worker).or_default() += 1;
        }
        Some(reservation)
    }

    /// Adds one time to `slots` for each task of `req` that fits on the worker as tasks end.
    fn fit_times(
        &self,
        now: Millis,
        worker: &WorkerName,
        mut free: Resources,
        req: &PlaceRequest,
        slots: &mut Vec<(Millis, WorkerName)>,
    ) {
        let mut running = self.workers.with(worker, |shard| {
            shard
                .get(worker)
                .map(|tasks| tasks.values().copied().collect::<Vec<_>>())
                .unwrap_or_default()
        });
        running.sort_unstable_by_key(|task| expected_end(now, task.ends));
        let mut left = req.tasks.max(1);
        let mut time = now;
        let mut ends = running.into_iter();
        while left > 0 {
            while left > 0
                && let Some(rest) = free.checked_sub(&req.resources)
            {
                free = rest;
                left -= 1;
                slots.push((time, worker.clone()));
            }
            let Some(task) = ends.next() else { return };
            free += task.resources;
            time = time.max(expected_end(now, task.ends));
        }
    }
}

/// End of a task that may be overdue: one that is late by some time takes as long again.
///
/// Without this rule a late task counts as ending now, and the job at the head of the queue waits
/// for it without a reservation that means anything.
fn expected_end(now: Millis, ends: Millis) -> Millis {
    if ends > now {
        ends
    } else {
        now + now.since(ends).max(LEAST_OVERDUE)
    }
}

impl Default for Horizon {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Horizon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Horizon")
            .field("workers", &self.workers)
            .finish()
    }
}
