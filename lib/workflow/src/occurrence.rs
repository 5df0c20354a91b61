use serde::{Deserialize, Serialize};

use crate::{JobSpec, StepProgress};

/// One execution of all steps of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrence {
    /// Progress of each step; emptied when all are done, to save memory.
    pub steps: Vec<StepProgress>,
    /// Whether all tasks are done.
    pub is_done: bool,
}

impl Occurrence {
    pub(crate) fn new(spec: &JobSpec) -> Self {
        Self {
            steps: spec.steps.iter().map(StepProgress::new).collect(),
            is_done: false,
        }
    }

    /// Returns whether all steps that the step with this number depends on are done.
    pub fn is_ready(&self, spec: &JobSpec, step: u32) -> bool {
        let earlier_steps = spec.steps[step as usize].depends_on.iter();
        !self.is_done
            && earlier_steps
                .map(|earlier| &self.steps[*earlier as usize])
                .all(StepProgress::is_done)
    }

    /// Returns whether no task has a run that may still be going on.
    pub fn is_idle(&self) -> bool {
        self.steps.iter().all(StepProgress::is_idle)
    }
}
