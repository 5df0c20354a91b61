use serde::{Deserialize, Serialize};

use crate::{JobSpec, StepProgress};

/// One execution of all steps of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrence {
    /// Progress of each step; empty if all are done.
    pub steps: Vec<StepProgress>,
    /// Whether all tasks are done. Only snapshots hold such occurrences.
    pub is_done: bool,
}

impl Occurrence {
    pub(crate) fn new(spec: &JobSpec) -> Self {
        Self {
            steps: spec.steps.iter().map(StepProgress::new).collect(),
            is_done: false,
        }
    }

    pub(crate) fn done() -> Self {
        Self {
            steps: Vec::new(),
            is_done: true,
        }
    }

    /// Indexes of the tasks of a step that wait for a worker.
    pub fn waiting(&self, step: u32) -> Vec<u32> {
        let step = self.steps.get(step as usize);
        step.map(StepProgress::waiting).unwrap_or_default()
    }

    /// Tells of each step whether it is done.
    pub fn done_steps(&self) -> Vec<bool> {
        self.steps.iter().map(StepProgress::is_done).collect()
    }

    /// Returns whether no task has a run that may still be going on.
    pub fn is_idle(&self) -> bool {
        self.steps.iter().all(StepProgress::is_idle)
    }
}
