use std::time::Duration;

use tarragon_codes::Code;

use crate::{LeaderAnswer, RequestAttempts};

/// Times of a call to the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallTimes {
    /// Time after which the call ends without an answer.
    pub timeout: Duration,
    /// Time that a host gets to answer one attempt.
    pub attempt_timeout: Duration,
    /// Time for which a call that certainly had no effect waits for a leader.
    pub max_leader_wait: Duration,
    /// Delay between two attempts.
    pub retry_delay: Duration,
}

/// What follows an attempt that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AfterFailure {
    /// Another attempt, after the retry delay.
    Retry,
    /// The call fails as the attempt did.
    Refused,
    /// The call fails with this code, whatever the code of the attempt.
    GiveUp(Code),
}

/// Decisions about the attempts of one call to the leader.
#[derive(Clone, Debug)]
pub struct LeaderCall {
    times: CallTimes,
    changes_state: bool,
    attempts: RequestAttempts,
}

impl LeaderCall {
    /// Begins a call; `changes_state` tells whether the leader commits anything for it.
    pub fn new(times: CallTimes, changes_state: bool) -> Self {
        Self {
            times,
            changes_state,
            attempts: RequestAttempts::default(),
        }
    }

    /// Returns the time for an attempt that begins `waited` after the call.
    pub fn attempt_timeout(&self, waited: Duration) -> Duration {
        let remaining = self.times.timeout.saturating_sub(waited);
        remaining.min(self.times.attempt_timeout)
    }

    /// Returns what a failed attempt with this timeout says of the host that was called, or `None` if
    /// it says nothing. A host that had little time to answer may lead all the same.
    pub fn host_answer(&self, code: Code, attempt_timeout: Duration) -> Option<LeaderAnswer> {
        let had_time = attempt_timeout >= self.times.attempt_timeout;
        let is_missing = is_retried(code) && (had_time || code != Code::NotConfirmed);
        is_missing.then_some(LeaderAnswer::Missing)
    }

    /// Decides what follows an attempt that failed with `code`, `waited` after the call began.
    ///
    /// A refusal says that the refused attempt had no effect. It says nothing about an earlier
    /// attempt that may have been committed.
    pub fn attempt_failed(&mut self, code: Code, waited: Duration) -> AfterFailure {
        if !is_retried(code) {
            return if self.attempts.may_have_taken_effect() && self.changes_state {
                AfterFailure::GiveUp(Code::NotConfirmed)
            } else {
                AfterFailure::Refused
            };
        }
        self.attempts.failed(code);
        let max_wait = if self.attempts.may_have_taken_effect() {
            self.times.timeout
        } else {
            self.times.max_leader_wait.min(self.times.timeout)
        };
        if waited + self.times.retry_delay >= max_wait {
            AfterFailure::GiveUp(self.attempts.unanswered())
        } else {
            AfterFailure::Retry
        }
    }
}

/// Returns whether a call that failed with `code` is sent again, to the next known leader.
fn is_retried(code: Code) -> bool {
    matches!(
        code,
        Code::NoLeader | Code::NotLeader | Code::HostUnreachable | Code::NotConfirmed
    )
}
