use std::sync::Arc;

use bytes::Bytes;
use tarragon_cell::{Answer, ClaimId};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::ServiceReply;
use tarragon_names::IdempotencyKey;
use tokio::time::timeout_at;

use crate::{
    KeyClaim, Proxy, delivery_outcome::DeliveryOutcome, digest::digest, proxy::AdmittedRequest,
};

/// Maximum size of a response body that is stored in the replicated log.
const MAX_STORED_BYTES: usize = 16 * 1_024;

impl Proxy {
    /// Serves a request with an idempotency key.
    ///
    /// The key is claimed in the log before the request is sent. The deadline is counted from the
    /// arrival of the request, before the claim, and nothing is sent after it.
    pub(crate) async fn serve_keyed(
        &self,
        request: &AdmittedRequest<'_>,
        key: IdempotencyKey,
        timeout_ms: u64,
    ) -> Outcome<ServiceReply> {
        let claim = KeyClaim {
            name: request.call.name.clone(),
            key,
            digest: digest(request.call.name.as_str(), &request.call.body),
            claim_id: ClaimId {
                host: self.cfg.host.clone(),
                boot: self.cfg.boot,
                request: self.next_request_number(),
            },
            timeout_ms,
        };
        let deadline = self.dispatcher.instant(request.deadline);
        let claimed = timeout_at(deadline, self.key_log.claim(claim.clone()))
            .await
            .unwrap_or_else(|_| Err(Failure::of(Code::NotConfirmed)));
        match claimed {
            Ok(Answer::Claimed) => {}
            Ok(answer) => {
                return reply_to_refused_claim(
                    answer,
                    request.deadline.0.saturating_sub(self.dispatcher.now().0),
                );
            }
            Err(failure) => {
                if failure.code == Code::NotConfirmed {
                    // The claim may still reach the log. Completing it with status 0 frees the key,
                    // because nothing was sent.
                    self.complete(claim, 0, None);
                }
                return Err(failure);
            }
        }
        match self.deliver(request).await {
            DeliveryOutcome::Answered(reply) => {
                let body =
                    (reply.body.len() <= MAX_STORED_BYTES).then(|| reply.body.as_ref().into());
                self.complete(claim, reply.status, body);
                Ok(reply)
            }
            DeliveryOutcome::NotSent(failure) => {
                self.complete(claim, 0, None);
                Err(failure)
            }
            // Without a completion the log answers "not known" once the time limit of the claim has
            // passed.
            DeliveryOutcome::Lost(failure) => Err(failure),
        }
    }

    /// Stores an outcome in the background, so that the caller does not wait for the log.
    fn complete(&self, claim: KeyClaim, status: u16, body: Option<Arc<[u8]>>) {
        let key_log = Arc::clone(&self.key_log);
        self.tracker.spawn(async move {
            // If the completion is lost, the key stays at "not known", which is safe.
            let _stored = key_log.complete(claim, status, body).await;
        });
    }
}

/// Converts the answer of the log to a refused claim into the reply to the caller.
fn reply_to_refused_claim(answer: Answer, remaining_ms: u64) -> Outcome<ServiceReply> {
    match answer {
        Answer::ClaimedByOther { in_progress: true } => {
            Err(Failure::of(Code::InProgress).retry_after(remaining_ms.max(1)))
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
                 its response has more than {MAX_STORED_BYTES} bytes and was not stored"
            ),
        )),
        Answer::Failed(failure) => Err(failure),
        other => Err(Failure::new(
            Code::Internal,
            format!("unexpected answer to a claim: {other:.80?}"),
        )),
    }
}
