use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use tarragon_names::{JobId, Millis, Resources, TaskId, WorkerName};
use tarragon_shard::Sharded;

use crate::{HeadReservation, PlaceRequest, Placer};

const SHARDS: usize = 16;

/// Least time that an overdue task is expected to run on.
const LEAST_OVERDUE: Millis = Millis(10_000);

/// Expected ends of running tasks, from which reservations in time are worked out.
pub struct ExpectedEnds {
    workers: Sharded<HashMap<WorkerName, Vec<Running>>>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    task: TaskId,
    resources: Resources,
    ends: Millis,
}

impl ExpectedEnds {
    /// A horizon without running tasks.
    pub fn new() -> Self {
        Self {
            workers: Sharded::new(SHARDS, |_| HashMap::new()),
        }
    }

    /// Records a task that is expected to end, or its new end if it is recorded already.
    ///
    /// Costs a pass over the tasks of the worker. A task without an end is not recorded.
    pub fn record(&self, worker: &WorkerName, task: TaskId, resources: Resources, ends: Millis) {
        let new = Running {
            task,
            resources,
            ends,
        };
        self.workers.with(worker, |shard| {
            let tasks = shard.entry(worker.clone()).or_default();
            match tasks.iter_mut().find(|known| known.task == task) {
                Some(known) => *known = new,
                None => tasks.push(new),
            }
        });
    }

    /// Removes a task.
    pub fn remove(&self, worker: &WorkerName, task: &TaskId) {
        self.workers.with(worker, |shard| {
            if let Some(tasks) = shard.get_mut(worker) {
                tasks.retain(|known| known.task != *task);
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
    pub fn plan_reservation(
        &self,
        now: Millis,
        job: JobId,
        req: &PlaceRequest,
        placer: &dyn Placer,
    ) -> Option<HeadReservation> {
        let mut workers = Vec::new();
        placer.visit(&mut |info| {
            if info.schedulable
                && req.resources.fits(&info.capacity)
                && !req.exclude.contains(&info.name)
            {
                workers.push((info.name.clone(), info.free()));
            }
        });
        let mut slots = Vec::new();
        let mut ends = Vec::new();
        for (index, (worker, free)) in workers.iter().enumerate() {
            self.ends(now, worker, &mut ends);
            fit_times(now, *free, &ends, req, |time| slots.push((time, index)));
        }
        let wanted = req.tasks.max(1) as usize;
        if slots.len() < wanted {
            return None;
        }
        slots.select_nth_unstable(wanted - 1);
        let at = slots[wanted - 1].0;
        let mut reservation = HeadReservation {
            job,
            at,
            workers: BTreeMap::new(),
        };
        for (_, index) in &slots[..wanted] {
            *reservation
                .workers
                .entry(workers[*index].0.clone())
                .or_default() += 1;
        }
        Some(reservation)
    }

    /// Fills `ends` with the expected ends on a worker in order.
    fn ends(&self, now: Millis, worker: &WorkerName, ends: &mut Vec<(Millis, Resources)>) {
        ends.clear();
        self.workers.with(worker, |shard| {
            let tasks = shard.get(worker).map_or(&[][..], Vec::as_slice);
            ends.extend(
                tasks
                    .iter()
                    .map(|task| (expected_end(now, task.ends), task.resources)),
            );
        });
        ends.sort_unstable_by_key(|(end, _)| *end);
    }
}

/// Calls `f` with one time for each task of `req` that fits on a worker as its tasks end.
fn fit_times<F>(
    now: Millis,
    mut free: Resources,
    ends: &[(Millis, Resources)],
    req: &PlaceRequest,
    mut f: F,
) where
    F: FnMut(Millis),
{
    let mut left = req.tasks.max(1);
    let mut time = now;
    let mut ends = ends.iter();
    while left > 0 {
        while left > 0
            && let Some(rest) = free.checked_sub(&req.resources)
        {
            free = rest;
            left -= 1;
            f(time);
        }
        let Some((end, resources)) = ends.next() else {
            return;
        };
        free += *resources;
        time = *end;
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

impl Default for ExpectedEnds {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for ExpectedEnds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ExpectedEnds")
            .field("workers", &self.workers)
            .finish()
    }
}
