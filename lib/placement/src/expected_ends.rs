use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use tarragon_names::{JobId, Millis, Resources, TaskId, WorkerName};
use tarragon_shard::Sharded;

use crate::{HeadReservation, PlaceRequest, Placer};

const SHARD_COUNT: usize = 16;

/// Minimum time for which an overdue task is expected to keep running.
const MIN_OVERDUE_REMAINDER: Millis = Millis(10_000);

/// Expected ends of running tasks, from which reservations at a later time are planned.
pub struct ExpectedEnds {
    workers: Sharded<HashMap<WorkerName, Vec<RunningTask>>>,
}

#[derive(Clone, Copy, Debug)]
struct RunningTask {
    task: TaskId,
    resources: Resources,
    ends: Millis,
}

impl ExpectedEnds {
    /// An empty record without running tasks.
    pub fn new() -> Self {
        Self {
            workers: Sharded::new(SHARD_COUNT, |_| HashMap::new()),
        }
    }

    /// Records the expected end of a task, or changes it if the task is already recorded.
    ///
    /// Costs O(tasks of the worker). Tasks without an expected end must not be recorded.
    pub fn record(&self, worker: &WorkerName, task: TaskId, resources: Resources, ends: Millis) {
        let new = RunningTask {
            task,
            resources,
            ends,
        };
        self.workers.with(worker, |shard| {
            let tasks = shard.entry(worker.clone()).or_default();
            match tasks.iter_mut().find(|recorded| recorded.task == task) {
                Some(recorded) => *recorded = new,
                None => tasks.push(new),
            }
        });
    }

    /// Removes a task that has ended; ignored if the task is not recorded.
    pub fn remove(&self, worker: &WorkerName, task: &TaskId) {
        self.workers.with(worker, |shard| {
            if let Some(tasks) = shard.get_mut(worker) {
                tasks.retain(|recorded| recorded.task != *task);
                if tasks.is_empty() {
                    shard.remove(worker);
                }
            }
        });
    }

    /// Earliest time at which all tasks of `req` are expected to fit, with the workers to use.
    ///
    /// `None` if they do not fit even after all recorded tasks have ended. Costs one pass over the
    /// running tasks, so the caller should keep the result until the head of the queue changes.
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
        let mut fit_times = Vec::new();
        let mut ends = Vec::new();
        for (index, (worker, free)) in workers.iter().enumerate() {
            self.collect_ends(now, worker, &mut ends);
            visit_fit_times(now, *free, &ends, req, |time| fit_times.push((time, index)));
        }
        let needed = req.tasks.max(1) as usize;
        if fit_times.len() < needed {
            return None;
        }
        fit_times.select_nth_unstable(needed - 1);
        let at = fit_times[needed - 1].0;
        let mut reservation = HeadReservation {
            job,
            at,
            workers: BTreeMap::new(),
        };
        for (_, index) in &fit_times[..needed] {
            *reservation
                .workers
                .entry(workers[*index].0.clone())
                .or_default() += 1;
        }
        Some(reservation)
    }

    /// Fills `ends` with the expected ends of the tasks on a worker, in order of time.
    fn collect_ends(&self, now: Millis, worker: &WorkerName, ends: &mut Vec<(Millis, Resources)>) {
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

/// Calls `f` for each task of `req` with the time from which it fits on a worker, as the tasks that
/// run there end.
fn visit_fit_times<F>(
    now: Millis,
    mut free: Resources,
    ends: &[(Millis, Resources)],
    req: &PlaceRequest,
    mut f: F,
) where
    F: FnMut(Millis),
{
    let mut tasks_left = req.tasks.max(1);
    let mut time = now;
    let mut ends = ends.iter();
    while tasks_left > 0 {
        while tasks_left > 0
            && let Some(remainder) = free.checked_sub(&req.resources)
        {
            free = remainder;
            tasks_left -= 1;
            f(time);
        }
        let Some((end, resources)) = ends.next() else {
            return;
        };
        free += *resources;
        time = *end;
    }
}

/// Expected end of a task that may be overdue: a task is expected to run on for as long as it is
/// overdue.
///
/// Without this rule, an overdue task would count as ending now, and the reservation of the job at
/// the head of the queue would be for a time at which the job still does not fit.
fn expected_end(now: Millis, ends: Millis) -> Millis {
    if ends > now {
        ends
    } else {
        now + now.since(ends).max(MIN_OVERDUE_REMAINDER)
    }
}

impl Default for ExpectedEnds {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for ExpectedEnds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Horizon")
            .field("workers", &self.workers)
            .finish()
    }
}
