use std::{fmt::Debug, sync::Arc};

use tarragon_cell::{Answer, ClaimId, Command};
use tarragon_front::BoxOutcome;
use tarragon_names::{IdempotencyKey, JobName};

/// A claim of an idempotency key for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyClaim {
    /// Name of the request; keys of different names do not collide.
    pub name: JobName,
    /// Idempotency key that the caller chose.
    pub key: IdempotencyKey,
    /// Digest of the name and the body, which detects reuse of the key for another request.
    pub digest: u64,
    /// Identifies this claim; only its completion is accepted.
    pub claim_id: ClaimId,
    /// Time limit of the request in milliseconds.
    pub timeout_ms: u64,
}

impl KeyClaim {
    /// Creates the command that completes this claim. Status 0 means that the request was certainly not
    /// sent.
    pub fn completion(&self, status: u16, body: Option<Arc<[u8]>>) -> Command {
        Command::CompleteKey {
            name: self.name.clone(),
            key: self.key.clone(),
            claim: self.claim_id.clone(),
            status,
            body,
        }
    }
}

impl From<KeyClaim> for Command {
    fn from(claim: KeyClaim) -> Self {
        Self::ClaimKey {
            name: claim.name,
            key: claim.key,
            digest: claim.digest,
            claim: claim.claim_id,
            timeout_ms: claim.timeout_ms,
        }
    }
}

/// Idempotency keys in the replicated log.
pub trait KeyLog: Debug + Send + Sync {
    /// Claims a key. The request may be sent only if the answer is `Answer::Claimed`.
    fn claim(&self, claim: KeyClaim) -> BoxOutcome<'_, Answer>;

    /// Stores the outcome of a claimed request; `body` is `None` if the response is too large to keep.
    fn complete(&self, claim: KeyClaim, status: u16, body: Option<Arc<[u8]>>)
    -> BoxOutcome<'_, ()>;
}
