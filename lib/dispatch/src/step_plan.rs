use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{JobSpec, Queue, StepKey, StepSpec};

use crate::advice::Advice;

/// A step with tasks that wait for workers.
#[derive(Clone, Debug)]
pub(crate) struct StepPlan {
    pub(crate) key: StepKey,
    pub(crate) queue: Arc<Queue>,
    pub(crate) spec: Arc<JobSpec>,
    /// Unix time at which the job was accepted or its occurrence was due.
    pub(crate) asked_ms: u64,
    /// Unix time up to which the job earns in full.
    pub(crate) objective_ms: u64,
    pub(crate) waiting: Vec<u32>,
    pub(crate) advice: Advice,
    /// Workers on which a task of the step failed.
    pub(crate) failed_on: BTreeSet<WorkerName>,
    /// Tasks for which room is reserved, by worker.
    pub(crate) reserved: BTreeMap<WorkerName, u32>,
    /// No placement before this time, after a refusal.
    pub(crate) not_before: Millis,
    /// No try to make room before this time.
    pub(crate) preempt_at: Millis,
    /// Time by which runs that were stopped for the step have ended.
    pub(crate) room_by: Millis,
}

impl StepPlan {
    pub(crate) fn step(&self) -> &StepSpec {
        &self.spec.steps[self.key.step as usize]
    }

    /// Order in which steps are placed: urgent queues first; jobs that can no longer meet their
    /// objective come after those that can.
    pub(crate) fn rank(&self, now_ms: u64) -> (u32, bool, u64, StepKey) {
        let left = self.objective_ms.saturating_sub(now_ms);
        let is_late = left < self.step().estimate.0;
        (self.queue.priority, is_late, self.asked_ms, self.key)
    }
}
