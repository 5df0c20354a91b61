use std::{fmt::Debug, sync::Arc};

use tarragon_cell::{Answer, ClaimId, Command};
use tarragon_front::BoxOutcome;
use tarragon_names::{IdempotencyKey, JobName};

/// A claim of an idempotency key for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyClaim {
    /// Name of the request.
    pub name: JobName,
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of name and body.
    pub digest: u64,
    /// Who claims.
    pub claim: ClaimId,
    /// Time limit of the request in milliseconds.
    pub timeout_ms: u64,
}

impl KeyClaim {
    /// The command that completes this claim; status 0 says that the request was certainly not sent.
    pub fn completion(&self, status: u16, body: Option<Arc<[u8]>>) -> Command {
        Command::CompleteKey {
            name: self.name.clone(),
            key: self.key.clone(),
            claim: self.claim.clone(),
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
            claim: claim.claim,
            timeout_ms: claim.timeout_ms,
        }
    }
}

/// Idempotency keys in the replicated log.
pub trait KeyLog: Debug + Send + Sync {
    /// Claims a key. Only `Answer::Claimed` allows the request to be sent.
    fn claim(&self, claim: KeyClaim) -> BoxOutcome<'_, Answer>;

    /// Stores the outcome of a claimed request.
    fn complete(&self, claim: KeyClaim, status: u16, body: Option<Arc<[u8]>>)
    -> BoxOutcome<'_, ()>;
}
