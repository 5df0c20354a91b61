use std::fmt;

use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{Millis, Name};

use crate::StepSpec;

/// Most tasks in all occurrences of a job that are open at the same time.
const MAX_TASKS: u64 = 100_000;

/// Most steps of a job.
const MAX_STEPS: usize = 1_000;

/// A job as its caller described it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// What the tasks are given.
    pub payload: Name,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Unix time at which the first occurrence is due, in milliseconds.
    pub first_at_ms: u64,
    /// Time between two occurrences.
    pub interval: Millis,
    /// Number of occurrences; 0 for a job that runs once and at once.
    pub repeat_count: u32,
}

impl JobSpec {
    /// Finds what contradicts itself.
    pub fn check(&self) -> Outcome<()> {
        let bad = |cause: String| Err(Failure::new(Code::Malformed, cause));
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return bad(format!("a job has 1 to {MAX_STEPS} steps"));
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count));
        if tasks.sum::<u64>() > MAX_TASKS {
            return bad(format!("a job has at most {MAX_TASKS} tasks"));
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return bad(format!("step {i} has no tasks"));
            }
            if step.depends_on.iter().any(|after| *after as usize >= i) {
                return bad(format!("step {i} depends on a step that is not earlier"));
            }
        }
        Ok(())
    }

    /// Number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeat_count.max(1)
    }

    /// Unix time at which an occurrence is due, in milliseconds; 0 for at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.repeat_count == 0 {
            return 0;
        }
        self.first_at_ms
            .saturating_add(self.interval.0.saturating_mul(u64::from(occurrence)))
    }
}

/// The steps and times, for the log.
impl fmt::Display for JobSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.repeat_count > 0 {
            let (times, first) = (self.repeat_count, self.first_at_ms);
            write!(f, "{times} times, each {} from {first} on: ", self.interval)?;
        }
        for (i, step) in self.steps.iter().enumerate() {
            let gap = if i == 0 { "" } else { "; " };
            write!(f, "{gap}{step}")?;
        }
        Ok(())
    }
}
