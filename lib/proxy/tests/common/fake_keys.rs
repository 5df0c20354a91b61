use std::{collections::HashMap, sync::Arc};

use futures::FutureExt;
use parking_lot::Mutex;
use tarragon_cell::Answer;
use tarragon_codes::{Code, Failure};
use tarragon_front::BoxOutcome;
use tarragon_names::IdempotencyKey;
use tarragon_proxy::{KeyClaim, KeyLog};

#[derive(Debug)]
struct Claimed {
    claim: KeyClaim,
    done: Option<(u16, Option<Arc<[u8]>>)>,
}

/// The keys of a replicated log.
#[derive(Debug, Default)]
pub struct FakeKeys {
    claimed: Mutex<HashMap<IdempotencyKey, Claimed>>,
    /// Whether the time of each claim has passed.
    pub expired: Mutex<bool>,
    /// Failure of each claim, after it has been written.
    pub failure: Mutex<Option<Failure>>,
}

impl FakeKeys {
    /// Status under which a key is stored.
    pub fn stored(&self, key: &str) -> Option<u16> {
        let claimed = self.claimed.lock();
        claimed.get(key)?.done.as_ref().map(|(status, _)| *status)
    }

    fn take(&self, claim: KeyClaim) -> Answer {
        let mut claimed = self.claimed.lock();
        match claimed.get(&claim.key) {
            Some(known) if known.claim.digest != claim.digest => {
                return Answer::Failed(Failure::of(Code::KeyReused));
            }
            Some(Claimed {
                done: Some((status, body)),
                ..
            }) if *status != 0 => {
                return Answer::Stored {
                    status: *status,
                    body: body.clone(),
                };
            }
            Some(Claimed { done: None, .. }) => {
                return Answer::ClaimedByOther {
                    in_progress: !*self.expired.lock(),
                };
            }
            _ => {}
        }
        claimed.insert(claim.key.clone(), Claimed { claim, done: None });
        Answer::Claimed
    }
}

impl KeyLog for FakeKeys {
    fn claim(&self, claim: KeyClaim) -> BoxOutcome<'_, Answer> {
        let answer = self.take(claim);
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
            && known.claim.claim == claim.claim
        {
            known.done = Some((status, body));
        }
        async { Ok(()) }.boxed()
    }
}
