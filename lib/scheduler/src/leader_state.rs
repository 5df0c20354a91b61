use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

use tarragon_cell::Command;
use tarragon_leases::{WorkerLeases, WorkerOrder};
use tarragon_names::{JobId, Millis, Resources, TaskId, WorkerName};
use tarragon_placement::{ExpectedEnds, HeadReservation};
use tarragon_queue::{JobQueue, QueueConfig};

use crate::{SchedAction, allocation::Allocation, worker_state::WorkerState};

/// Delay of a job after consecutive quick failures.
#[derive(Debug)]
pub(crate) struct Backoff {
    pub failures: u32,
    /// Time from which the job may be placed again.
    pub until: Millis,
}

/// State of the scheduler while its host leads; dropped as a whole when leadership is lost.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub elected_at: Millis,
    /// Scheduler clock minus log clock, in milliseconds.
    pub log_clock_offset: i128,
    /// Time up to which no other host can have been elected.
    pub leader_until: Millis,
    pub leases: WorkerLeases,
    pub queue: JobQueue,
    pub expected_ends: ExpectedEnds,
    pub workers: BTreeMap<WorkerName, WorkerState>,
    pub allocations: BTreeMap<TaskId, Allocation>,
    /// Tasks whose pending order is sent again, by the time of the resend.
    pub resends: BTreeSet<(Millis, TaskId)>,
    /// Jobs whose entry in the queue has to be rebuilt from the cell.
    pub dirty_jobs: BTreeSet<JobId>,
    /// Cancelled or refused jobs whose attempts have to stop, in the order of the log.
    pub jobs_to_stop: VecDeque<JobId>,
    pub backoffs: HashMap<JobId, Backoff>,
    /// Jobs kept out of the queue, by the time at which their backoff ends.
    pub backing_off: BTreeSet<(Millis, JobId)>,
    /// Urgent jobs for which running tasks were preempted, with the time of the preemption.
    pub recent_preemptions: HashMap<JobId, Millis>,
    /// Time of the last search for tasks to preempt.
    pub last_preemption_search: Option<Millis>,
    /// Workers reserved at a later time for the first job that does not fit now.
    pub head_reservation: Option<Arc<HeadReservation>>,
    /// Job and time of the last search for a head reservation.
    pub last_head_plan: Option<(JobId, Millis)>,
    /// Number of workers by capacity. Distinct capacities are few.
    pub capacity_counts: HashMap<Resources, u64>,
    /// Quarantined workers on which an attempt ended, possibly a probe without an outcome.
    pub unproven_workers: BTreeSet<WorkerName>,
    pub proposals: Vec<Command>,
    /// Ends of attempts whose proposal was refused; proposed again in the next tick.
    pub end_retries: Vec<Command>,
    pub actions: Vec<SchedAction>,
}

impl LeaderState {
    pub fn new(elected_at: Millis, log_clock_offset: i128, leases: WorkerLeases) -> Self {
        Self {
            elected_at,
            log_clock_offset,
            leader_until: Millis(0),
            leases,
            // The cell limits the number of jobs on acceptance; the queue must not refuse an
            // accepted job.
            queue: JobQueue::new(QueueConfig {
                max_jobs: usize::MAX,
                max_team_jobs: usize::MAX,
                ..QueueConfig::default()
            }),
            expected_ends: ExpectedEnds::new(),
            workers: BTreeMap::new(),
            allocations: BTreeMap::new(),
            resends: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            jobs_to_stop: VecDeque::new(),
            backoffs: HashMap::new(),
            backing_off: BTreeSet::new(),
            recent_preemptions: HashMap::new(),
            last_preemption_search: None,
            head_reservation: None,
            last_head_plan: None,
            capacity_counts: HashMap::new(),
            unproven_workers: BTreeSet::new(),
            proposals: Vec::new(),
            end_retries: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Allocations of the tasks of a job.
    pub fn allocations_of(&self, job: JobId) -> impl Iterator<Item = (&TaskId, &Allocation)> {
        let first = TaskId { job, index: 0 };
        let last = TaskId {
            job,
            index: u32::MAX,
        };
        self.allocations.range(first..=last)
    }

    /// Adds an allocation to the accounts of its worker, its team and the expected ends.
    ///
    /// The placer is not changed.
    pub fn add_allocation(&mut self, task: TaskId, allocation: Allocation) {
        let worker = self.workers.entry(allocation.worker.clone()).or_default();
        worker.tasks.insert(task);
        self.queue
            .add_usage(&allocation.summary.team, &allocation.reserved);
        if let Some(end) = allocation.expected_end() {
            self.expected_ends
                .record(&allocation.worker, task, allocation.reserved, end);
        }
        self.allocations.insert(task, allocation);
    }

    /// Removes an allocation; the caller releases its capacity in the placer.
    pub fn remove_allocation(&mut self, task: TaskId) -> Option<Allocation> {
        let allocation = self.allocations.remove(&task)?;
        if let Some(at) = allocation.resend_at {
            self.resends.remove(&(at, task));
        }
        if let Some(worker) = self.workers.get_mut(&allocation.worker) {
            worker.tasks.remove(&task);
        }
        self.queue
            .subtract_usage(&allocation.summary.team, &allocation.reserved);
        self.expected_ends.remove(&allocation.worker, &task);
        Some(allocation)
    }

    /// Sets the time at which the pending order of a task is sent again; `None` for no resend.
    pub fn set_resend_at(&mut self, task: TaskId, resend_at: Option<Millis>) {
        let Some(allocation) = self.allocations.get_mut(&task) else {
            return;
        };
        if let Some(old) = allocation.resend_at.take() {
            self.resends.remove(&(old, task));
        }
        allocation.resend_at = resend_at;
        if let Some(at) = resend_at {
            self.resends.insert((at, task));
        }
    }

    /// Number of tasks of this size that fit on all workers if they are empty, at most `needed`.
    pub fn fitting_tasks(&self, task: &Resources, needed: u64) -> u64 {
        let mut fitting = 0;
        for (capacity, workers) in &self.capacity_counts {
            fitting += tasks_that_fit(capacity, task) * workers;
            if fitting >= needed {
                return needed;
            }
        }
        fitting
    }

    /// Converts a time of the log to the queue's clock.
    ///
    /// The queue's clock is ahead of the scheduler's by `QUEUE_CLOCK_OFFSET`, so that jobs accepted
    /// before the start of this process keep their age.
    pub fn queue_time(&self, at_ms: u64) -> Millis {
        let time = i128::from(at_ms) + self.log_clock_offset + i128::from(QUEUE_CLOCK_OFFSET.0);
        Millis(u64::try_from(time).unwrap_or(0))
    }

    /// Adds an order to the actions of this step.
    pub fn push_order(&mut self, worker: &WorkerName, order: WorkerOrder) {
        self.actions.push(SchedAction::Order {
            worker: worker.clone(),
            order,
        });
    }
}

/// Queue clock minus scheduler clock: 90 days.
pub(crate) const QUEUE_CLOCK_OFFSET: Millis = Millis(90 * 24 * 3_600 * 1_000);

/// Number of tasks of this size that fit on one empty worker.
fn tasks_that_fit(capacity: &Resources, task: &Resources) -> u64 {
    let quotient = |capacity: u64, task: u64| capacity.checked_div(task).unwrap_or(u64::MAX);
    quotient(capacity.cpu_milli, task.cpu_milli)
        .min(quotient(capacity.memory_mb, task.memory_mb))
        .min(quotient(capacity.accelerators, task.accelerators))
        .min(u64::from(u32::MAX))
}
