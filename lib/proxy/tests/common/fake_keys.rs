use std::{collections::HashMap, sync::Arc};

use futures::FutureExt;
use parking_lot::Mutex;
use tarragon_cell::Answer;
use tarragon_codes::{Code, Failure};
use tarragon_front::BoxOutcome;
use tarragon_names::IdempotencyKey;
use tarragon_proxy::{KeyClaim, KeyLog};

#[derive(Debug)]
struct ClaimedKey {
    claim: KeyClaim,
    completion: Option<(u16, Option<Arc<[u8]>>)>,
}

/// In-memory replacement for the idempotency keys of the replicated log.
#[derive(Debug, Default)]
pub struct FakeKeys {
    claimed: Mutex<HashMap<IdempotencyKey, ClaimedKey>>,
    /// Whether the time limits of all claims have passed.
    pub expired: Mutex<bool>,
    /// Failure returned for each claim, although the claim is stored.
    pub failure: Mutex<Option<Failure>>,
}

impl FakeKeys {
    /// Status of the completion of a key; `None` before the completion.
    pub fn stored_status(&self, key: &str) -> Option<u16> {
        let claimed = self.claimed.lock();
        claimed
            .get(key)?
            .completion
            .as_ref()
            .map(|(status, _)| *status)
    }

    fn try_claim(&self, claim: KeyClaim) -> Answer {
        let mut claimed = self.claimed.lock();
        match claimed.get(&claim.key) {
            Some(known) if known.claim.digest != claim.digest => {
                return Answer::Failed(Failure::of(Code::KeyReused));
            }
            Some(ClaimedKey {
                completion: Some((status, body)),
                ..
            }) if *status != 0 => {
                return Answer::Stored {
                    status: *status,
                    body: body.clone(),
                };
            }
            Some(ClaimedKey {
                completion: None, ..
            }) => {
                return Answer::ClaimedByOther {
                    in_progress: !*self.expired.lock(),
                };
            }
            _ => {}
        }
        claimed.insert(
            claim.key.clone(),
            ClaimedKey {
                claim,
                completion: None,
            },
        );
        Answer::Claimed
    }
}

impl KeyLog for FakeKeys {
    fn claim(&self, claim: KeyClaim) -> BoxOutcome<'_, Answer> {
        let answer = self.try_claim(claim);
        let failure = self.failure.lock().clone();
        async move { failure.map_or(Ok(answer), Err) }.boxed()
    }

    fn complete(
        &self,
        claim: KeyClaim,
        status: u16,
        body: Option<Arc<[u8]>>,
    ) -> BoxOutcome<'_, ()> {
        if let Some(known) = self.claimed.lock().get_mut(&claim.key)
            && known.claim.claim_id == claim.claim_id
        {
            known.completion = Some((status, body));
        }
        async { Ok(()) }.boxed()
    }
}
