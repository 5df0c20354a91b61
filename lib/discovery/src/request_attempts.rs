use tarragon_codes::{Code, Failure};

/// What a host knows of a request that it sends to the leader, or to one leader after the other, until
/// it is answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestAttempts {
    may_have_taken_effect: bool,
}

impl RequestAttempts {
    /// Records an attempt that ended with this code and is followed by another one.
    pub fn failed(&mut self, code: Code) {
        self.may_have_taken_effect |= code == Code::NotConfirmed;
    }

    /// Returns whether an earlier attempt may have taken effect, or may do so later.
    pub fn may_have_taken_effect(&self) -> bool {
        self.may_have_taken_effect
    }

    /// Code for a caller whose request no leader answered in time.
    pub fn unanswered(&self) -> Code {
        if self.may_have_taken_effect {
            Code::NotConfirmed
        } else {
            Code::NoLeader
        }
    }

    /// Returns the answer to a caller whose last attempt was refused. A refusal of a submission promises
    /// that its job never runs, so it is passed on only if no earlier attempt may be accepted.
    pub fn refused(&self, refusal: Failure) -> Failure {
        if !self.may_have_taken_effect {
            return refusal;
        }
        Failure {
            code: Code::NotConfirmed,
            cause: format!(
                "an earlier attempt may be accepted; the last: {}",
                refusal.cause
            ),
            ..refusal
        }
    }
}
