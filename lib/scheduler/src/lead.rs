use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

use tarragon_cell::Command;
use tarragon_leases::{WorkerLeases, WorkerOrder};
use tarragon_names::{JobId, Millis, Resources, TaskId, WorkerName};
use tarragon_placement::{ExpectedEnds, HeadReservation};
use tarragon_queue::{JobQueue, QueueConfig};

use crate::{SchedAction, hold::Hold, worker_state::WorkerState};

/// Consecutive quick failures of a job and the time from which it is placed again.
#[derive(Debug)]
pub(crate) struct Backoff {
    pub failures: u32,
    pub until: Millis,
}

/// State of the scheduler while its host leads; dropped whole when it no longer does.
#[derive(Debug)]
pub(crate) struct Lead {
    pub elected: Millis,
    /// Difference between the scheduler's readings and the times of the log.
    pub offset: i128,
    /// Time up to which no other host can have been elected.
    pub leader_until: Millis,
    pub leases: WorkerLeases,
    pub queue: JobQueue,
    pub horizon: ExpectedEnds,
    pub workers: BTreeMap<WorkerName, WorkerState>,
    pub holds: BTreeMap<TaskId, Hold>,
    /// Attempts by the time at which their order is sent again.
    pub due: BTreeSet<(Millis, TaskId)>,
    /// Jobs whose queue state is to be worked out again.
    pub dirty: BTreeSet<JobId>,
    /// Jobs that must stop, in the order of their cancellation.
    pub closing: VecDeque<JobId>,
    pub backoffs: HashMap<JobId, Backoff>,
    pub parked: BTreeSet<(Millis, JobId)>,
    /// Urgent jobs for which work was told to give way, and when.
    pub preempted: HashMap<JobId, Millis>,
    /// Time of the last search for such work.
    pub searched: Option<Millis>,
    /// Reservation in time of the first job that does not fit.
    pub head: Option<Arc<HeadReservation>>,
    /// Last search for such a reservation.
    pub planned: Option<(JobId, Millis)>,
    /// Distinct capacities of the workers, of which there are few, and how many have each.
    pub kinds: HashMap<Resources, u64>,
    /// Quarantined workers of which an attempt ended, maybe a probe without an outcome.
    pub unproven: BTreeSet<WorkerName>,
    pub proposals: Vec<Command>,
    /// Commands that were refused and are proposed again.
    pub retries: Vec<Command>,
    pub out: Vec<SchedAction>,
}

impl Lead {
    pub fn new(elected: Millis, offset: i128, leases: WorkerLeases) -> Self {
        Self {
            elected,
            offset,
            leader_until: Millis(0),
            leases,
            // The cell bounds the jobs that it accepts; an accepted job must always find room.
            queue: JobQueue::new(QueueConfig {
                max_jobs: usize::MAX,
                max_team_jobs: usize::MAX,
                ..QueueConfig::default()
            }),
            horizon: ExpectedEnds::new(),
            workers: BTreeMap::new(),
            holds: BTreeMap::new(),
            due: BTreeSet::new(),
            dirty: BTreeSet::new(),
            closing: VecDeque::new(),
            backoffs: HashMap::new(),
            parked: BTreeSet::new(),
            preempted: HashMap::new(),
            searched: None,
            head: None,
            planned: None,
            kinds: HashMap::new(),
            unproven: BTreeSet::new(),
            proposals: Vec::new(),
            retries: Vec::new(),
            out: Vec::new(),
        }
    }

    /// Attempts of a job that hold capacity.
    pub fn holds_of(&self, job: JobId) -> impl Iterator<Item = (&TaskId, &Hold)> {
        let first = TaskId { job, index: 0 };
        let last = TaskId {
            job,
            index: u32::MAX,
        };
        self.holds.range(first..=last)
    }

    /// Adds an attempt that holds capacity.
    pub fn add_hold(&mut self, task: TaskId, hold: Hold) {
        let worker = self.workers.entry(hold.worker.clone()).or_default();
        worker.tasks.insert(task);
        self.queue.add_usage(&hold.brief.team, &hold.reserved);
        if let Some(ends) = hold.ends() {
            self.horizon.record(&hold.worker, task, hold.reserved, ends);
        }
        self.holds.insert(task, hold);
    }

    /// Removes an attempt; the caller releases its capacity.
    pub fn remove_hold(&mut self, task: TaskId) -> Option<Hold> {
        let hold = self.holds.remove(&task)?;
        if let Some(due) = hold.due {
            self.due.remove(&(due, task));
        }
        if let Some(worker) = self.workers.get_mut(&hold.worker) {
            worker.tasks.remove(&task);
        }
        self.queue.subtract_usage(&hold.brief.team, &hold.reserved);
        self.horizon.remove(&hold.worker, &task);
        Some(hold)
    }

    /// Sets when the order of an attempt is sent again.
    pub fn set_due(&mut self, task: TaskId, due: Option<Millis>) {
        let Some(hold) = self.holds.get_mut(&task) else {
            return;
        };
        if let Some(old) = hold.due.take() {
            self.due.remove(&(old, task));
        }
        hold.due = due;
        if let Some(due) = due {
            self.due.insert((due, task));
        }
    }

    /// Tasks of a size that the workers could hold together if they were empty, at most `needed`.
    pub fn holds_at_most(&self, task: &Resources, needed: u64) -> u64 {
        let mut room = 0;
        for (capacity, workers) in &self.kinds {
            room += holds(capacity, task) * workers;
            if room >= needed {
                return needed;
            }
        }
        room
    }

    /// Time of the log as the queue counts it.
    ///
    /// The queue's readings start far from zero, so that jobs from before the start of this
    /// process keep their age.
    pub fn queue_time(&self, at_ms: u64) -> Millis {
        let time = i128::from(at_ms) + self.offset + i128::from(QUEUE_EPOCH.0);
        Millis(u64::try_from(time).unwrap_or(0))
    }

    /// Queues an order to a worker.
    pub fn order(&mut self, worker: &WorkerName, order: WorkerOrder) {
        self.out.push(SchedAction::Order {
            worker: worker.clone(),
            order,
        });
    }
}

/// Reading of the queue's clock when the scheduler's is zero.
pub(crate) const QUEUE_EPOCH: Millis = Millis(90 * 24 * 3_600 * 1_000);

/// Number of tasks that an empty worker holds.
fn holds(capacity: &Resources, task: &Resources) -> u64 {
    let times = |capacity: u64, task: u64| capacity.checked_div(task).unwrap_or(u64::MAX);
    times(capacity.cpu_milli, task.cpu_milli)
        .min(times(capacity.memory_mb, task.memory_mb))
        .min(times(capacity.accelerators, task.accelerators))
        .min(u64::from(u32::MAX))
}
