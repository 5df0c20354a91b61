use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tarragon_names::{Millis, Resources, WorkerName};
use tarragon_workflow::{JobSpec, Queue, StepKey, StepSpec};

use crate::{advice::Advice, wait::Wait};

/// Part of the time until its objective, in percent, that a step leaves to more urgent steps.
const LONG_WAIT_PERCENT: u64 = 25;

/// A step with tasks that wait for workers.
#[derive(Clone, Debug)]
pub(crate) struct StepPlan {
    pub(crate) key: StepKey,
    pub(crate) queue: Arc<Queue>,
    pub(crate) spec: Arc<JobSpec>,
    /// Unix time at which the job was accepted or, if later, its occurrence was due.
    pub(crate) due_ms: u64,
    /// Unix time by which the job must end to count in full.
    pub(crate) objective_ms: u64,
    pub(crate) waiting: Vec<u32>,
    /// Waiting tasks that have run before.
    pub(crate) restarted: BTreeSet<u32>,
    pub(crate) advice: Advice,
    /// Workers on which a task of the step failed or took too long.
    pub(crate) failed_on: BTreeSet<WorkerName>,
    /// Workers on which a run of a task failed, by task, until the task is done.
    pub(crate) failed_tasks: BTreeMap<u32, BTreeSet<WorkerName>>,
    /// Number of tasks for which capacity is reserved, by worker.
    pub(crate) reserved: BTreeMap<WorkerName, u32>,
    /// No placement before this time, after a refusal.
    pub(crate) not_before: Millis,
    /// No preemption for the step before this time.
    pub(crate) next_preemption_at: Millis,
    /// Time by which the runs that were stopped for the step have ended.
    pub(crate) capacity_by: Millis,
    pub(crate) wait: Wait,
}

impl StepPlan {
    pub(crate) fn step(&self) -> &StepSpec {
        &self.spec.steps[self.key.step as usize]
    }

    /// Returns whether the job has used so much of the time until its objective that it waits for no
    /// other steps any more.
    pub(crate) fn has_waited_long(&self, now_ms: u64) -> bool {
        let allowed = self.objective_ms.saturating_sub(self.due_ms);
        now_ms.saturating_sub(self.due_ms) > allowed * LONG_WAIT_PERCENT / 100
    }

    /// Returns whether a task waits that has run before, while others of its step need not run again.
    pub(crate) fn has_retries(&self) -> bool {
        let is_wide = self.step().count > 1 && !self.step().gang;
        is_wide && self.waiting.iter().any(|i| self.restarted.contains(i))
    }

    /// Resources that all waiting tasks need.
    pub(crate) fn waiting_need(&self) -> Resources {
        self.step().reserved().times(self.waiting.len() as u64)
    }

    /// Resources that a request for advice about this number of workers asks for on each of them, on
    /// the mean.
    pub(crate) fn asked_on_each(&self, workers: usize) -> Resources {
        let workers = workers.max(1) as u64;
        let all = self.waiting_need();
        Resources::new(
            all.cpu_milli / workers,
            all.memory_mb / workers,
            all.accelerators / workers,
        )
    }

    /// Sort key for placement: urgent queues come first; within a queue priority, jobs that can no
    /// longer meet their objective come last.
    pub(crate) fn rank(&self, now_ms: u64) -> (u32, bool, u64, StepKey) {
        let left = self.objective_ms.saturating_sub(now_ms);
        let is_late = left < self.step().estimate.0;
        (self.queue.priority, is_late, self.due_ms, self.key)
    }
}
