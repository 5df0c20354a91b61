use std::fmt;

use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{Millis, Name};

use crate::StepSpec;

/// Maximum number of tasks in all steps of a job.
const MAX_TASKS: u64 = 100_000;

/// Maximum number of steps in a job.
const MAX_STEPS: usize = 1_000;

/// Description of a job as sent by its caller.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Opaque text that is passed to every task.
    pub payload: Name,
    /// Steps of the job; each may depend only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Unix time at which the first occurrence is due, in milliseconds.
    pub first_at_ms: u64,
    /// Time between the due times of two consecutive occurrences.
    pub interval: Millis,
    /// Number of occurrences; 0 for a job that runs once, as soon as possible.
    pub repeat_count: u32,
}

impl JobSpec {
    /// Checks the limits on steps and tasks and the dependencies between the steps.
    pub fn check(&self) -> Outcome<()> {
        let malformed = |cause: String| Err(Failure::new(Code::Malformed, cause));
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return malformed(format!("a job must have 1 to {MAX_STEPS} steps"));
        }
        if self.tasks() > MAX_TASKS {
            return malformed(format!("a job may have at most {MAX_TASKS} tasks"));
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return malformed(format!("step {i} has no tasks"));
            }
            if step.depends_on.iter().any(|earlier| *earlier as usize >= i) {
                return malformed(format!("step {i} may depend on earlier steps only"));
            }
        }
        Ok(())
    }

    /// Number of tasks in all steps.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Number of times that all steps run; at least 1.
    pub fn occurrences(&self) -> u32 {
        self.repeat_count.max(1)
    }

    /// Unix time at which the first occurrence after `now_ms` is due, in milliseconds; `None` if none
    /// follows.
    pub fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        if self.repeat_count == 0 {
            return None;
        }
        let passed = match now_ms.checked_sub(self.first_at_ms) {
            None => 0,
            Some(elapsed) => elapsed.checked_div(self.interval.0)?.saturating_add(1),
        };
        let next = u32::try_from(passed).ok()?;
        (next < self.occurrences()).then(|| self.due_ms(next))
    }

    /// Unix time at which an occurrence is due, in milliseconds; 0 for a job that runs once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.repeat_count == 0 {
            return 0;
        }
        self.first_at_ms
            .saturating_add(self.interval.0.saturating_mul(u64::from(occurrence)))
    }
}

/// Writes the schedule and the steps for the log.
impl fmt::Display for JobSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.repeat_count > 0 {
            let (count, first) = (self.repeat_count, self.first_at_ms);
            write!(
                f,
                "{count} times, every {} from {first} on: ",
                self.interval
            )?;
        }
        for (i, step) in self.steps.iter().enumerate() {
            let gap = if i == 0 { "" } else { "; " };
            write!(f, "{gap}{step}")?;
        }
        Ok(())
    }
}
