use std::sync::Arc;

use bytes::Bytes;
use tarragon_cell::{Answer, ClaimId};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::ServiceReply;
use tarragon_names::IdempotencyKey;
use tokio::time::timeout_at;

use crate::{KeyClaim, Proxy, delivery::Delivery, digest::digest, proxy::Job};

/// Most bytes of an answer that are kept in the replicated log.
const STORED_BYTES: usize = 16 * 1_024;

impl Proxy {
    /// Runs a request with an idempotency key: the key is claimed in the log before the request is
    /// sent, and nothing is sent after the deadline that was counted from before the claim.
    pub(crate) async fn serve_keyed(
        &self,
        job: &Job<'_>,
        key: IdempotencyKey,
        timeout_ms: u64,
    ) -> Outcome<ServiceReply> {
        let claim = KeyClaim {
            name: job.call.name.clone(),
            key,
            digest: digest(job.call.name.as_str(), &job.call.body),
            claim: ClaimId {
                host: self.cfg.host.clone(),
                boot: self.cfg.boot,
                request: self.next_request(),
            },
            timeout_ms,
        };
        let until = self.dispatch.instant(job.deadline);
        let claimed = timeout_at(until, self.keys.claim(claim.clone()))
            .await
            .unwrap_or_else(|_| Err(Failure::of(Code::NotConfirmed)));
        match claimed {
            Ok(Answer::Claimed) => {}
            Ok(answer) => {
                return told(answer, job.deadline.0.saturating_sub(self.dispatch.now().0));
            }
            Err(failure) => {
                if failure.code == Code::NotConfirmed {
                    // The claim may be in the log all the same; nothing was sent for it.
                    self.complete(claim, 0, None);
                }
                return Err(failure);
            }
        }
        match self.deliver(job).await {
            Delivery::Answer(reply) => {
                let body = (reply.body.len() <= STORED_BYTES).then(|| reply.body.as_ref().into());
                self.complete(claim, reply.status, body);
                Ok(reply)
            }
            Delivery::NotSent(failure) => {
                self.complete(claim, 0, None);
                Err(failure)
            }
            // Without a completion the log says "not known" once the claim's time has passed.
            Delivery::Lost(failure) => Err(failure),
        }
    }

    /// Stores an outcome beside the answer to the caller, which need not wait for the log.
    fn complete(&self, claim: KeyClaim, status: u16, body: Option<Arc<[u8]>>) {
        let keys = Arc::clone(&self.keys);
        self.tracker.spawn(async move {
            // A completion that is lost leaves the key at "not known", which is safe.
            let _stored = keys.complete(claim, status, body).await;
        });
    }
}

/// What the log says of a key that another request has claimed.
fn told(answer: Answer, left_ms: u64) -> Outcome<ServiceReply> {
    match answer {
        Answer::ClaimedByOther { in_progress: true } => {
            Err(Failure::of(Code::InProgress).retry_after(left_ms.max(1)))
        }
        Answer::ClaimedByOther { in_progress: false } => Err(Failure::of(Code::OutcomeUnknown)),
        Answer::Stored {
            status,
            body: Some(body),
        } => Ok(ServiceReply {
            status,
            content_type: None,
            body: Bytes::copy_from_slice(&body),
            stored: true,
        }),
        Answer::Stored { status, body: None } => Err(Failure::new(
            Code::CutShort,
            format!(
                "the request ran and was answered with status {status}; \
                 its answer has more than {STORED_BYTES} bytes and was not kept"
            ),
        )),
        Answer::Failed(failure) => Err(failure),
        other => Err(Failure::new(
            Code::Internal,
            format!("unexpected answer to a claim: {other:.80?}"),
        )),
    }
}
