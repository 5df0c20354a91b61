use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use tarragon_names::{IdempotencyKey, JobId, JobName, Millis};

use crate::{Answer, ClaimId};

/// Idempotency key of a service request.
pub(crate) type RequestKey = (JobName, IdempotencyKey);

/// State of a claimed key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum ClaimState {
    /// Claimed, no answer yet.
    Open,
    /// The claimant certainly did not send the request, so another may claim the key.
    Released,
    /// Answered.
    Stored {
        /// Status of the answer.
        status: u16,
        /// Body, absent if it was not kept.
        body: Option<Arc<[u8]>>,
    },
}

/// A claimed key of a service request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Claim {
    pub holder: ClaimId,
    pub digest: u64,
    pub claimed_ms: u64,
    pub timeout_ms: u64,
    pub state: ClaimState,
}

impl Claim {
    /// Answer to a claimant that finds the key taken.
    pub fn answer(&self, now_ms: u64) -> Answer {
        match &self.state {
            ClaimState::Stored { status, body } => Answer::Stored {
                status: *status,
                body: body.clone(),
            },
            ClaimState::Released => Answer::ClaimedByOther { in_progress: false },
            ClaimState::Open => Answer::ClaimedByOther {
                in_progress: now_ms < self.certainly_over_ms(),
            },
        }
    }

    /// The claimant counts its timeout from before the claim, so this is later than any send.
    fn certainly_over_ms(&self) -> u64 {
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
