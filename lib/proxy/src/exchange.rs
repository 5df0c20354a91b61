use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, TRANSFER_ENCODING},
};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::{ServiceCall, ServiceReply, percent};
use tarragon_names::Millis;
use tarragon_routing::RequestEnd;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    connections::{Connection, Connections},
    counters::{Counters, increment},
    delivery_outcome::DeliveryOutcome,
    dispatcher::Dispatcher,
    slot::Slot,
};

/// Maximum size of a response body in bytes. The host buffers the complete response before it sends
/// any byte to the caller.
const MAX_RESPONSE_BYTES: usize = 1_024 * 1_024;

/// Header with the id of the request, which an executor may return in its response.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-tarragon-request");

/// Header with the time until the deadline of the request.
const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-tarragon-timeout-ms");

/// Header with the idempotency key that the caller chose.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Exchange of one request and its response with an executor.
pub(crate) struct Exchange {
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) connections: Arc<Connections>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) call: ServiceCall,
    /// Request id, unique among the requests of all hosts.
    pub(crate) id: String,
    pub(crate) deadline: Millis,
    pub(crate) late_response_timeout: Duration,
}

/// Outcome of an exchange, with the connection if it can be used again.
enum ExchangeOutcome {
    /// A complete response; the connection can serve the next request.
    Complete(ServiceReply, Connection),
    /// Any other outcome; the connection is closed.
    Other(DeliveryOutcome),
}

impl Exchange {
    /// Sends the request and reports the outcome to `tx`.
    ///
    /// The exchange continues after the receiver of `tx` is gone, because the end of the request shows
    /// when its slot is free. A response that arrives so late is dropped, and the connection is closed.
    pub(crate) async fn run(self, mut slot: Slot, tx: oneshot::Sender<DeliveryOutcome>) {
        let time_limit = self.dispatcher.instant(self.deadline) + self.late_response_timeout;
        let executor = slot.grant().executor.clone();
        let outcome = timeout_at(time_limit, self.exchange(&mut slot))
            .await
            .unwrap_or_else(|_| ExchangeOutcome::Other(lost("the executor did not answer")));
        match outcome {
            ExchangeOutcome::Complete(reply, mut connection) => {
                slot.release(if reply.status >= 500 {
                    RequestEnd::AnsweredFailure
                } else {
                    RequestEnd::Answered
                });
                if tx.send(DeliveryOutcome::Answered(reply)).is_err() {
                    increment(&self.counters.late_answers);
                } else if let Ok(Ok(())) = timeout_at(time_limit, connection.sender.ready()).await {
                    self.connections.keep_idle(&executor, connection);
                }
            }
            ExchangeOutcome::Other(outcome) => {
                drop(slot);
                // Sending fails if the caller no longer waits.
                let _result = tx.send(outcome);
            }
        }
    }

    async fn exchange(&self, slot: &mut Slot) -> ExchangeOutcome {
        if let Some(connection) = self.connections.take_idle(slot.grant()) {
            // The executor may have just closed the idle connection, so that nothing was sent. Whether
            // the executor can be reached shows when a new connection is opened.
            match self.send(slot, connection).await {
                ExchangeOutcome::Other(DeliveryOutcome::NotSent(_)) => {}
                outcome => return outcome,
            }
        }
        match self.connections.open(slot.grant()).await {
            Ok(connection) => self.send(slot, connection).await,
            Err(failure) => {
                if failure.code == Code::NoExecutor {
                    slot.set_end(RequestEnd::Unreachable);
                }
                ExchangeOutcome::Other(DeliveryOutcome::NotSent(failure))
            }
        }
    }

    async fn send(&self, slot: &mut Slot, mut connection: Connection) -> ExchangeOutcome {
        let now = self.dispatcher.now();
        let executors = self.dispatcher.router().executors();
        if now >= self.deadline {
            return not_sent(Failure::of(Code::DeadlinePassed));
        }
        if !executors.may_send(slot.grant(), now) {
            return not_sent(Failure::new(
                Code::NoSlot,
                "the executor became unavailable before the request was sent",
            ));
        }
        let request = match self.build_request(&slot.grant().address, self.deadline.since(now)) {
            Ok(request) => request,
            Err(failure) => return not_sent(failure),
        };
        slot.set_end(RequestEnd::Lost);
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => {
                if e.take_message().is_some() {
                    slot.set_end(RequestEnd::NotSent);
                    return not_sent(Failure::new(Code::NoExecutor, e.error().to_string()));
                }
                increment(&self.counters.sent);
                return ExchangeOutcome::Other(lost(&e.error().to_string()));
            }
        };
        increment(&self.counters.sent);
        match self.read_response(response).await {
            Ok(reply) => ExchangeOutcome::Complete(reply, connection),
            Err(failure) => ExchangeOutcome::Other(DeliveryOutcome::Lost(failure)),
        }
    }

    fn build_request(&self, address: &str, remaining: Millis) -> Outcome<Request<Full<Bytes>>> {
        let mut request = Request::post(format!(
            "/v1/requests/{}",
            percent::encode(self.call.name.as_str())
        ))
        .header(HOST, address)
        .header(REQUEST_ID, &self.id)
        .header(TIMEOUT_MS, remaining.0);
        if let Some(key) = &self.call.key {
            request = request.header(IDEMPOTENCY_KEY, key.as_str());
        }
        request
            .body(Full::new(self.call.body.clone()))
            .map_err(|e| Failure::new(Code::Malformed, e.to_string()))
    }

    /// Reads the complete response. An incomplete response is always an error.
    async fn read_response(&self, response: Response<Incoming>) -> Outcome<ServiceReply> {
        let cut_short = |cause: String| Failure::new(Code::CutShort, cause);
        let (head, body) = response.into_parts();
        if let Some(id) = head.headers.get(REQUEST_ID)
            && id.as_bytes() != self.id.as_bytes()
        {
            return Err(Failure::new(
                Code::OutcomeUnknown,
                "the executor returned the id of another request",
            ));
        }
        // Without a length or chunked encoding the response ends with the connection, so a complete
        // response cannot be distinguished from an incomplete one.
        let is_framed = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING)
            || body.is_end_stream();
        if !is_framed {
            return Err(cut_short(
                "the response has neither a length nor chunked encoding".to_owned(),
            ));
        }
        let body = match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => return Err(cut_short(e.to_string())),
        };
        Ok(ServiceReply {
            status: head.status.as_u16(),
            content_type: head
                .headers
                .get(CONTENT_TYPE)
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
            body,
            stored: false,
        })
    }
}

/// Waits for the outcome of an exchange; `None` if it does not arrive before the deadline.
pub(crate) async fn await_outcome(
    deadline: Instant,
    rx: oneshot::Receiver<DeliveryOutcome>,
) -> Option<DeliveryOutcome> {
    match timeout_at(deadline, rx).await {
        Ok(Ok(outcome)) => Some(outcome),
        Ok(Err(_)) => Some(lost(
            "the exchange with the executor ended without an outcome",
        )),
        Err(_) => None,
    }
}

/// Outcome of a request that may have run.
pub(crate) fn lost(cause: &str) -> DeliveryOutcome {
    DeliveryOutcome::Lost(Failure::new(Code::OutcomeUnknown, cause))
}

fn not_sent(failure: Failure) -> ExchangeOutcome {
    ExchangeOutcome::Other(DeliveryOutcome::NotSent(failure))
}
