use serde::{Deserialize, Serialize};
use tarragon_names::{Attempt, WorkerName};

use crate::{AttemptEnd, TaskState};

/// What is known of whether an attempt of a task ever began.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum StartCertainty {
    /// No attempt began.
    #[default]
    Never,
    /// The lease of an attempt ended, so the attempt may have run in part or whole.
    Maybe,
    /// An attempt began.
    Certainly,
}

/// Where a task goes after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retry {
    /// Whether any end leads to a new attempt, as for a service.
    pub always: bool,
    /// Whether a new attempt may start at all.
    pub allowed: bool,
    /// Attempts that may fail or be lost before the task ends.
    pub max_attempts: u32,
}

/// A task as the log keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRecord {
    /// Attempts assigned so far; 0 before the first.
    pub attempt: Attempt,
    /// State.
    pub state: TaskState,
    /// Whether an attempt ever began.
    pub began: StartCertainty,
    /// Attempts that failed or were lost.
    pub failures: u32,
    /// End of the last attempt.
    pub last: Option<AttemptEnd>,
}

impl Default for TaskRecord {
    fn default() -> Self {
        Self {
            attempt: Attempt(0),
            state: TaskState::Waiting,
            began: StartCertainty::Never,
            failures: 0,
            last: None,
        }
    }
}

impl TaskRecord {
    /// Worker that the current attempt is assigned to.
    pub fn worker(&self) -> Option<&WorkerName> {
        match &self.state {
            TaskState::Assigned(worker) => Some(worker),
            _ => None,
        }
    }

    /// Assigns the next attempt; refused unless the task waits and `attempt` is the next one.
    pub(crate) fn assign(&mut self, attempt: Attempt, worker: WorkerName) -> bool {
        if self.state != TaskState::Waiting || attempt != self.attempt.next() {
            return false;
        }
        self.attempt = attempt;
        self.state = TaskState::Assigned(worker);
        true
    }

    /// Tells whether the end of an attempt would be recorded.
    ///
    /// An attempt whose lease ended may report its true end later. That end counts as long as no
    /// further attempt is assigned, so work that was done is not repeated.
    pub fn accepts_end(&self, attempt: Attempt, ended: AttemptEnd) -> bool {
        let lost = self.last == Some(AttemptEnd::LeaseEnded) && ended != AttemptEnd::LeaseEnded;
        attempt == self.attempt && (self.worker().is_some() || lost)
    }

    /// Records the end of an attempt and tells whether the record changed.
    pub(crate) fn end(&mut self, attempt: Attempt, ended: AttemptEnd, retry: Retry) -> bool {
        if !self.accepts_end(attempt, ended) {
            return false;
        }
        let refined = self.worker().is_none();
        if refined {
            self.failures = self.failures.saturating_sub(1);
        }
        self.last = Some(ended);
        self.began = self.began.max(match ended {
            AttemptEnd::Exited(_) | AttemptEnd::Stopped | AttemptEnd::Checkpointed => {
                StartCertainty::Certainly
            }
            AttemptEnd::NeverBegan => StartCertainty::Never,
            AttemptEnd::LeaseEnded => StartCertainty::Maybe,
        });
        // A start that was withdrawn or an attempt that was stopped or checkpointed was no fault
        // of the task, so it does not use up the attempts.
        let failed = match ended {
            AttemptEnd::Exited(status) => status != 0,
            AttemptEnd::LeaseEnded => true,
            AttemptEnd::Stopped | AttemptEnd::Checkpointed | AttemptEnd::NeverBegan => false,
        };
        if failed {
            self.failures += 1;
        }
        let done = ended == AttemptEnd::Exited(0) || self.failures >= retry.max_attempts;
        let again = retry.allowed && (retry.always || !done);
        self.state = if again {
            TaskState::Waiting
        } else {
            TaskState::Ended(ended)
        };
        true
    }

    /// Ends a waiting task that will not start any more.
    pub(crate) fn give_up(&mut self) {
        if self.state == TaskState::Waiting {
            self.state = TaskState::Ended(self.last.unwrap_or(AttemptEnd::NeverBegan));
        }
    }
}
