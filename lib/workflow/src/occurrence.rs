use serde::{Deserialize, Serialize};

use crate::{JobSpec, StepProgress};

/// One time that the steps of a job run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrence {
    /// The steps; empty once all are done, to save memory.
    pub steps: Vec<StepProgress>,
    /// All tasks are done.
    pub is_done: bool,
}

impl Occurrence {
    pub(crate) fn new(spec: &JobSpec) -> Self {
        Self {
            steps: spec.steps.iter().map(StepProgress::new).collect(),
            is_done: false,
        }
    }

    /// Tells whether the steps that a step depends on are done.
    pub fn is_ready(&self, spec: &JobSpec, step: u32) -> bool {
        let after = spec.steps[step as usize].depends_on.iter();
        !self.is_done
            && after
                .map(|after| &self.steps[*after as usize])
                .all(StepProgress::is_done)
    }

    /// Tells whether no run of a task is known to go on.
    pub fn is_idle(&self) -> bool {
        self.steps.iter().all(StepProgress::is_idle)
    }
}
