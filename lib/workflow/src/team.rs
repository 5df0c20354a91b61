use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{Resources, TeamName};

use crate::{JobSpec, KeyDigest, StepSpec};

/// A team of callers that shares the workers with other teams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Name chosen by the operator.
    pub name: TeamName,
    /// Digests of the keys that its callers may use.
    pub keys: Vec<KeyDigest>,
    /// Share of the workers when they are full, relative to the weights of the other teams.
    pub weight: u64,
    /// Resources that the team may have running on all workers together; `u64::MAX` for no limit.
    pub cap: Resources,
}

impl Team {
    /// Refuses a job of which a task, or a whole gang, exceeds the cap. It would wait for ever.
    pub fn check_job(&self, spec: &JobSpec) -> Outcome<()> {
        for (step, number) in spec.steps.iter().zip(0..) {
            let need = least_need(step);
            if !need.fits(&self.cap) {
                let cause = format!(
                    "step {number} needs {need} at once, the cap of team {} is {}",
                    self.name, self.cap
                );
                return Err(Failure::new(Code::QuotaExceeded, cause));
            }
        }
        Ok(())
    }
}

/// Resources that a step needs before any of its tasks can start.
fn least_need(step: &StepSpec) -> Resources {
    let tasks = if step.gang { step.count } else { 1 };
    step.reserved().times(u64::from(tasks))
}
