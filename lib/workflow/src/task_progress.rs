use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::{FailedRuns, TaskHistory, TaskKey, WorkerIncarnation};

/// Assignment of a run to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Number of the run within the task, from 1.
    pub run: u32,
    /// Incarnation of the worker that runs the task.
    pub incarnation: WorkerIncarnation,
}

/// Phase of a task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskPhase {
    /// No run is placed; the task waits for a worker.
    #[default]
    Waiting,
    /// A run is placed on a worker and its end is not recorded.
    Placed(Placement),
    /// The work of the task is done.
    Done,
}

/// Progress of one task of an occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskProgress {
    /// Current phase.
    pub phase: TaskPhase,
    /// Number of the last run; 0 before the first.
    pub last_run: u32,
    /// Failed runs.
    pub failed_runs: FailedRuns,
    /// Checkpoint of the latest run that saved one; None before the first.
    pub checkpoint: Option<Name>,
    /// Run that saved the checkpoint; 0 if it is not known. [`TaskHistory`](crate::TaskHistory) holds
    /// it in a snapshot.
    #[serde(skip)]
    pub checkpoint_run: u32,
}

impl TaskProgress {
    /// Returns whether a run of the task has certainly been started.
    pub fn has_started(&self) -> bool {
        self.phase == TaskPhase::Done || self.failed_runs.count() > 0 || self.checkpoint.is_some()
    }

    /// Returns the run that is placed on a worker, if there is one.
    pub fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            TaskPhase::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    /// Number of the last run whose end is recorded.
    pub(crate) fn last_ended_run(&self) -> u32 {
        match &self.phase {
            TaskPhase::Placed(placement) => placement.run.saturating_sub(1),
            _ => self.last_run,
        }
    }

    /// Takes over the checkpoint of a run, unless a later run saved one. Ends come late and again.
    pub(crate) fn save_checkpoint(&mut self, run: u32, checkpoint: &Name) {
        if run >= self.checkpoint_run {
            self.checkpoint = Some(checkpoint.clone());
            self.checkpoint_run = run;
        }
    }

    /// Marks the task as done, and frees what only an open task needs.
    pub(crate) fn complete(&mut self) {
        *self = Self {
            phase: TaskPhase::Done,
            last_run: self.last_run,
            ..Self::default()
        };
    }

    /// Returns what the serialized form of the task leaves out; None if that is nothing.
    pub(crate) fn history(&self, task: TaskKey) -> Option<TaskHistory> {
        let history = TaskHistory {
            task,
            failed_runs: self.failed_runs.details().cloned(),
            checkpoint_run: self.checkpoint_run,
        };
        let is_empty = history.failed_runs.is_none() && history.checkpoint_run == 0;
        (!is_empty).then_some(history)
    }

    pub(crate) fn restore_history(&mut self, history: TaskHistory) {
        if let Some(failed_runs) = history.failed_runs {
            self.failed_runs.restore(failed_runs);
        }
        self.checkpoint_run = history.checkpoint_run;
    }

    /// Completes a task of a snapshot without histories.
    pub(crate) fn assume_history(&mut self) {
        let last_run = self.last_ended_run();
        self.failed_runs.assume_up_to(last_run);
    }

    /// Returns whether the run with this number is the one that is placed.
    pub fn is_placed_as(&self, run: u32) -> bool {
        self.placement()
            .is_some_and(|placement| placement.run == run)
    }
}
