//! Idempotency keys of service requests.

use std::sync::Arc;

use tarragon_codes::{Code, Failure, Outcome};

use crate::{
    Answer, Cell, ClaimId, KEY_RETENTION_MS, MAX_KEYS, MAX_STORED_BODY, MAX_STORED_BYTES,
    constants::FULL_RETRY_MS,
    key_table::{Claim, ClaimState, RequestKey},
    registry::Registry,
};

impl Registry {
    /// Takes out the keys whose retention has passed.
    pub(crate) fn expired_keys(&mut self) -> Vec<RequestKey> {
        let now_ms = self.now_ms;
        let expired = self
            .keys
            .iter()
            .take_while(|(claimed, _)| claimed + KEY_RETENTION_MS <= now_ms)
            .count();
        self.keys.drain(..expired).map(|(_, key)| key).collect()
    }
}

impl Cell {
    /// Claims a key. A proposal that arrives twice finds its own claim and succeeds again.
    pub(crate) fn claim(
        &self,
        key: &RequestKey,
        digest: u64,
        claim: &ClaimId,
        timeout_ms: u64,
    ) -> Outcome<Answer> {
        let now_ms = self.now_ms();
        let fresh = Claim {
            holder: claim.clone(),
            digest,
            claimed_ms: now_ms,
            timeout_ms,
            state: ClaimState::Open,
        };
        let taken = self.keys.with(key, |keys| {
            let held = keys.requests.get_mut(key)?;
            Some(if held.digest != digest {
                Err(Failure::of(Code::KeyReused))
            } else if held.holder == *claim && held.state == ClaimState::Open {
                Ok(Answer::Claimed)
            } else if held.holder != *claim && held.state == ClaimState::Released {
                *held = fresh.clone();
                Ok(Answer::Claimed)
            } else {
                Ok(held.answer(now_ms))
            })
        });
        if let Some(answer) = taken {
            return answer;
        }
        {
            let mut registry = self.registry.lock();
            if registry.keys.len() >= MAX_KEYS {
                return Err(Failure::of(Code::KeyTableFull).retry_after(FULL_RETRY_MS));
            }
            registry.keys.push_back((now_ms, key.clone()));
        }
        self.keys
            .with(key, |keys| keys.requests.insert(key.clone(), fresh));
        Ok(Answer::Claimed)
    }

    /// Stores the answer of the claimant, or releases the key if nothing was sent.
    pub(crate) fn complete(
        &self,
        key: &RequestKey,
        claim: &ClaimId,
        status: u16,
        body: Option<&Arc<[u8]>>,
    ) -> Outcome<Answer> {
        let now_ms = self.now_ms();
        let room = MAX_STORED_BYTES.saturating_sub(self.registry.lock().stored_bytes);
        let body = body.filter(|body| body.len() <= MAX_STORED_BODY.min(room));
        let stored = self.keys.with(key, |keys| {
            let Some(held) = keys.requests.get_mut(key) else {
                return Err(Failure::new(
                    Code::OutcomeUnknown,
                    "the claim of the key expired",
                ));
            };
            if held.holder != *claim {
                return Ok((held.answer(now_ms), 0));
            }
            if held.state != ClaimState::Open {
                return Ok((Answer::Done, 0));
            }
            held.state = if status == 0 {
                ClaimState::Released
            } else {
                ClaimState::Stored {
                    status,
                    body: body.cloned(),
                }
            };
            let kept = body.filter(|_| status != 0).map_or(0, |body| body.len());
            Ok((Answer::Done, kept))
        });
        let (answer, bytes) = stored?;
        self.registry.lock().stored_bytes += bytes;
        Ok(answer)
    }

    pub(crate) fn drop_keys(&self, expired: &[RequestKey]) {
        for key in expired {
            let claim = self.keys.with(key, |keys| keys.requests.remove(key));
            if let Some(ClaimState::Stored {
                body: Some(body), ..
            }) = claim.map(|claim| claim.state)
            {
                self.registry.lock().stored_bytes -= body.len();
            }
        }
    }
}
