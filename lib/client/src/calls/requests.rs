use bytes::Bytes;
use hyper::{Method, header::HeaderName};
use tarragon_codes::{Code, Outcome};
use tarragon_front::percent::encode;
use tarragon_names::{IdempotencyKey, JobName};

use crate::{Client, RequestReply, call::Call};

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-tarragon-timeout-ms");

impl Client {
    /// Sends a service request. Without a key, a request that may have arrived at one host is not
    /// sent to another.
    pub async fn request(
        &self,
        name: &JobName,
        body: Bytes,
        key: Option<&IdempotencyKey>,
        timeout_ms: Option<u64>,
    ) -> Outcome<RequestReply> {
        let mut call = Call::new(Method::POST, format!("/v1/requests/{}", encode(name)));
        call.body = body;
        if let Some(ms) = timeout_ms {
            call = call.header(TIMEOUT_MS, &ms);
        }
        let call = match key {
            Some(key) => call.header(IDEMPOTENCY_KEY, key),
            None => call.forbid_resend(Code::OutcomeUnknown),
        };
        let answer = self.call(call).await?;
        Ok(RequestReply {
            status: answer.status.as_u16(),
            body: answer.body,
            stored: answer.stored,
        })
    }
}
