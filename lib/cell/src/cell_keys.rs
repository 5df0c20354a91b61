//! Idempotency keys of service requests.

use std::sync::Arc;

use tarragon_codes::{Code, Failure, Outcome};

use crate::{
    Answer, Cell, ClaimId, MAX_REQUEST_KEYS, MAX_STORED_BODIES_BYTES, MAX_STORED_BODY_BYTES,
    REQUEST_KEY_RETENTION_MS,
    constants::RETRY_AFTER_FULL_MS,
    key_table::{Claim, ClaimState, RequestKey},
    registry::Registry,
};

impl Registry {
    /// Removes and returns the keys whose retention has passed.
    pub(crate) fn take_expired_keys(&mut self) -> Vec<RequestKey> {
        let now_ms = self.now_ms;
        let count = self
            .request_keys
            .iter()
            .take_while(|(claimed, _)| claimed + REQUEST_KEY_RETENTION_MS <= now_ms)
            .count();
        self.request_keys
            .drain(..count)
            .map(|(_, key)| key)
            .collect()
    }
}

impl Cell {
    /// Claims a key. A command that is committed twice finds its own claim and succeeds again.
    pub(crate) fn claim_key(
        &self,
        key: &RequestKey,
        digest: u64,
        claim: &ClaimId,
        timeout_ms: u64,
    ) -> Outcome<Answer> {
        let now_ms = self.now_ms();
        let new_claim = Claim {
            holder: claim.clone(),
            digest,
            claimed_ms: now_ms,
            timeout_ms,
            state: ClaimState::Open,
        };
        let answer = self.keys.with(key, |keys| {
            let current = keys.requests.get_mut(key)?;
            Some(if current.digest != digest {
                Err(Failure::of(Code::KeyReused))
            } else if current.holder == *claim && current.state == ClaimState::Open {
                Ok(Answer::Claimed)
            } else if current.holder != *claim && current.state == ClaimState::Released {
                *current = new_claim.clone();
                Ok(Answer::Claimed)
            } else {
                Ok(current.answer(now_ms))
            })
        });
        if let Some(answer) = answer {
            return answer;
        }
        {
            let mut registry = self.registry.lock();
            if registry.request_keys.len() >= MAX_REQUEST_KEYS {
                return Err(Failure::of(Code::KeyTableFull).retry_after(RETRY_AFTER_FULL_MS));
            }
            registry.request_keys.push_back((now_ms, key.clone()));
        }
        self.keys
            .with(key, |keys| keys.requests.insert(key.clone(), new_claim));
        Ok(Answer::Claimed)
    }

    /// Stores the answer that the claimant received, or releases the key if `status` is 0.
    pub(crate) fn complete_key(
        &self,
        key: &RequestKey,
        claim: &ClaimId,
        status: u16,
        body: Option<&Arc<[u8]>>,
    ) -> Outcome<Answer> {
        let now_ms = self.now_ms();
        let free_bytes =
            MAX_STORED_BODIES_BYTES.saturating_sub(self.registry.lock().stored_body_bytes);
        let body = body.filter(|body| body.len() <= MAX_STORED_BODY_BYTES.min(free_bytes));
        let completed = self.keys.with(key, |keys| {
            let Some(current) = keys.requests.get_mut(key) else {
                return Err(Failure::new(
                    Code::OutcomeUnknown,
                    "the claim of the key expired",
                ));
            };
            if current.holder != *claim {
                return Ok((current.answer(now_ms), 0));
            }
            if current.state != ClaimState::Open {
                return Ok((Answer::Done, 0));
            }
            current.state = if status == 0 {
                ClaimState::Released
            } else {
                ClaimState::Stored {
                    status,
                    body: body.cloned(),
                }
            };
            let stored_bytes = body.filter(|_| status != 0).map_or(0, |body| body.len());
            Ok((Answer::Done, stored_bytes))
        });
        let (answer, bytes) = completed?;
        self.registry.lock().stored_body_bytes += bytes;
        Ok(answer)
    }

    pub(crate) fn remove_keys(&self, expired: &[RequestKey]) {
        for key in expired {
            let claim = self.keys.with(key, |keys| keys.requests.remove(key));
            if let Some(ClaimState::Stored {
                body: Some(body), ..
            }) = claim.map(|claim| claim.state)
            {
                self.registry.lock().stored_body_bytes -= body.len();
            }
        }
    }
}
