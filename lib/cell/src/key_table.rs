use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use tarragon_names::{IdempotencyKey, JobId, JobName, Millis};

use crate::{Answer, ClaimId};

/// Name of a service request with its idempotency key, which is unique only within the name.
pub(crate) type RequestKey = (JobName, IdempotencyKey);

/// State of a claimed idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum ClaimState {
    /// Claimed; no answer is stored.
    Open,
    /// The claimant certainly did not send the request, so another claim may hold the key.
    Released,
    /// The answer is stored.
    Stored {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer; `None` if it was too large to store.
        body: Option<Arc<[u8]>>,
    },
}

/// Claim of an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Claim {
    pub holder: ClaimId,
    pub digest: u64,
    pub claimed_ms: u64,
    pub timeout_ms: u64,
    pub state: ClaimState,
}

impl Claim {
    /// Answer to a command that cannot claim or complete the key at `now_ms`.
    pub fn answer(&self, now_ms: u64) -> Answer {
        match &self.state {
            ClaimState::Stored { status, body } => Answer::Stored {
                status: *status,
                body: body.clone(),
            },
            ClaimState::Released => Answer::ClaimedByOther { in_progress: false },
            ClaimState::Open => Answer::ClaimedByOther {
                in_progress: now_ms < self.claimant_stopped_ms(),
            },
        }
    }

    /// Time from which the claimant certainly no longer sends the request, since its timeout
    /// started before the claim was committed.
    fn claimant_stopped_ms(&self) -> u64 {
        self.claimed_ms
            .saturating_add(Millis(self.timeout_ms).with_clock_margin().0)
    }
}

/// One shard of the idempotency keys.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    pub requests: BTreeMap<RequestKey, Claim>,
    pub jobs: BTreeMap<IdempotencyKey, JobId>,
}
