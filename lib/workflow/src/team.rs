use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{Resources, TeamName};

use crate::{JobSpec, KeyDigest, StepSpec};

/// Size of a team in the state apart from its name and its keys, in bytes.
const TEAM_BYTES: usize = 128;

/// A team of callers that shares the workers with other teams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Name chosen by the operator.
    pub name: TeamName,
    /// Digests of the keys that its callers may use.
    pub keys: Vec<KeyDigest>,
    /// Share of the workers when they are full, relative to the weights of the other teams. The sum of
    /// all weights may exceed the range of the type.
    pub weight: u64,
    /// Resources that the team may have running on all workers together; `u64::MAX` for no limit.
    pub cap: Resources,
}

impl Team {
    /// Size of the team in the state, in bytes; the same on every replica.
    pub(crate) fn state_bytes(&self) -> usize {
        TEAM_BYTES + self.name.len() + size_of_val(self.keys.as_slice())
    }

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
