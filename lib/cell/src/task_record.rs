use serde::{Deserialize, Serialize};
use tarragon_names::{Attempt, WorkerName};

use crate::{AttemptEnd, TaskState};

/// How certain it is that an attempt of a task began.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum StartCertainty {
    /// No attempt began.
    #[default]
    Never,
    /// The lease of an attempt ended, so the attempt may have run partly or completely.
    Maybe,
    /// At least one attempt began.
    Certainly,
}

/// Rules for a new attempt after an attempt of a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryPolicy {
    /// Whether every end leads to a new attempt, as for a service.
    pub restarts_always: bool,
    /// Whether the job may start new attempts at all.
    pub is_allowed: bool,
    /// Number of failed or lost attempts after which the task ends.
    pub max_attempts: u32,
}

/// Replicated state of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRecord {
    /// Last assigned attempt; 0 before the first.
    pub attempt: Attempt,
    /// Whether the task waits, is assigned or has ended.
    pub state: TaskState,
    /// How certain it is that any attempt so far began.
    pub began: StartCertainty,
    /// Number of attempts that failed or were lost.
    pub failures: u32,
    /// End of the last attempt that ended; `None` before the first end.
    pub last_end: Option<AttemptEnd>,
}

impl Default for TaskRecord {
    fn default() -> Self {
        Self {
            attempt: Attempt(0),
            state: TaskState::Waiting,
            began: StartCertainty::Never,
            failures: 0,
            last_end: None,
        }
    }
}

impl TaskRecord {
    /// Worker of the current attempt; `None` if the task is not assigned.
    pub fn worker(&self) -> Option<&WorkerName> {
        match &self.state {
            TaskState::Assigned(worker) => Some(worker),
            _ => None,
        }
    }

    /// Assigns the next attempt. Returns false and changes nothing unless the task waits and
    /// `attempt` is the next one.
    pub(crate) fn assign(&mut self, attempt: Attempt, worker: WorkerName) -> bool {
        if self.state != TaskState::Waiting || attempt != self.attempt.next() {
            return false;
        }
        self.attempt = attempt;
        self.state = TaskState::Assigned(worker);
        true
    }

    /// Returns whether [`record_end`](Self::record_end) would record this end of an attempt.
    ///
    /// The true end of an attempt may arrive after its lease ended. That end is accepted until a
    /// further attempt is assigned, so that finished work is not repeated.
    pub fn accepts_end(&self, attempt: Attempt, ended: AttemptEnd) -> bool {
        let is_true_end =
            self.last_end == Some(AttemptEnd::LeaseEnded) && ended != AttemptEnd::LeaseEnded;
        attempt == self.attempt && (self.worker().is_some() || is_true_end)
    }

    /// Records the end of an attempt; returns whether the end was accepted.
    pub(crate) fn record_end(
        &mut self,
        attempt: Attempt,
        ended: AttemptEnd,
        retry: RetryPolicy,
    ) -> bool {
        if !self.accepts_end(attempt, ended) {
            return false;
        }
        let was_lost = self.worker().is_none();
        if was_lost {
            self.failures = self.failures.saturating_sub(1);
        }
        self.last_end = Some(ended);
        self.began = self.began.max(match ended {
            AttemptEnd::Exited(_) | AttemptEnd::Stopped | AttemptEnd::Checkpointed => {
                StartCertainty::Certainly
            }
            AttemptEnd::NeverBegan => StartCertainty::Never,
            AttemptEnd::LeaseEnded => StartCertainty::Maybe,
        });
        // An attempt that never began or that was stopped or checkpointed is no failure of the
        // task, so it does not count towards `max_attempts`.
        let failed = match ended {
            AttemptEnd::Exited(status) => status != 0,
            AttemptEnd::LeaseEnded => true,
            AttemptEnd::Stopped | AttemptEnd::Checkpointed | AttemptEnd::NeverBegan => false,
        };
        if failed {
            self.failures += 1;
        }
        let done = ended == AttemptEnd::Exited(0) || self.failures >= retry.max_attempts;
        let has_next_attempt = retry.is_allowed && (retry.restarts_always || !done);
        self.state = if has_next_attempt {
            TaskState::Waiting
        } else {
            TaskState::Ended(ended)
        };
        true
    }

    /// Ends the task if it waits, because its job starts no more attempts.
    pub(crate) fn end_waiting(&mut self) {
        if self.state == TaskState::Waiting {
            self.state = TaskState::Ended(self.last_end.unwrap_or(AttemptEnd::NeverBegan));
        }
    }
}
