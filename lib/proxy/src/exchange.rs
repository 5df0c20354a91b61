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
    counters::{Counters, count},
    delivery::Delivery,
    dispatch::Dispatch,
    slot::Slot,
};

/// Most bytes of an executor's answer; it is held whole before a byte goes to the caller.
const ANSWER_BYTES: usize = 1_024 * 1_024;

/// Header with the id of a request, which an executor may return with its answer.
const REQUEST: HeaderName = HeaderName::from_static("x-tarragon-request");

/// Header with the time that is left for a request.
const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-tarragon-timeout-ms");

/// Header with the idempotency key of the caller.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// One request on its way to an executor.
pub(crate) struct Exchange {
    pub(crate) dispatch: Arc<Dispatch>,
    pub(crate) connections: Arc<Connections>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) call: ServiceCall,
    /// Unique among the requests of all hosts.
    pub(crate) id: String,
    pub(crate) deadline: Millis,
    pub(crate) late_max: Duration,
}

/// What came of a request, before the caller is told.
enum Ended {
    /// Whole answer, with the connection for the next request.
    Whole(ServiceReply, Connection),
    /// Anything else; the connection is closed.
    Other(Delivery),
}

impl Exchange {
    /// Sends the request and tells what came of it.
    ///
    /// The exchange goes on after its caller has given up: the end of the request shows when its
    /// slot is free. An answer that comes then is dropped, and its connection closed.
    pub(crate) async fn run(self, mut slot: Slot, tx: oneshot::Sender<Delivery>) {
        let end = self.dispatch.instant(self.deadline) + self.late_max;
        let executor = slot.grant().executor.clone();
        let ended = timeout_at(end, self.exchange(&mut slot))
            .await
            .unwrap_or_else(|_| Ended::Other(lost("the executor did not answer")));
        match ended {
            Ended::Whole(reply, mut connection) => {
                slot.finish(if reply.status >= 500 {
                    RequestEnd::AnsweredFailure
                } else {
                    RequestEnd::Answered
                });
                if tx.send(Delivery::Answer(reply)).is_err() {
                    count(&self.counters.late_answers);
                } else if let Ok(Ok(())) = timeout_at(end, connection.sender.ready()).await {
                    self.connections.keep(&executor, connection);
                }
            }
            Ended::Other(sent) => {
                drop(slot);
                // A caller that is gone needs no answer.
                let _gone = tx.send(sent);
            }
        }
    }

    async fn exchange(&self, slot: &mut Slot) -> Ended {
        if let Some(connection) = self.connections.idle(slot.grant()) {
            // The executor may have closed an idle connection in the same moment; nothing was sent
            // then, and a new connection tells whether it is still there.
            match self.send(slot, connection).await {
                Ended::Other(Delivery::NotSent(_)) => {}
                ended => return ended,
            }
        }
        match self.connections.open(slot.grant()).await {
            Ok(connection) => self.send(slot, connection).await,
            Err(failure) => {
                if failure.code == Code::NoExecutor {
                    slot.set_end(RequestEnd::Unreachable);
                }
                Ended::Other(Delivery::NotSent(failure))
            }
        }
    }

    async fn send(&self, slot: &mut Slot, mut connection: Connection) -> Ended {
        let now = self.dispatch.now();
        let executors = self.dispatch.router().executors();
        if now >= self.deadline {
            return not_sent(Failure::of(Code::DeadlinePassed));
        }
        if !executors.may_send(slot.grant(), now) {
            return not_sent(Failure::new(
                Code::NoSlot,
                "the executor left before the request was sent",
            ));
        }
        let request = match self.request(&slot.grant().address, self.deadline.since(now)) {
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
                count(&self.counters.sent);
                return Ended::Other(lost(&e.error().to_string()));
            }
        };
        count(&self.counters.sent);
        match self.whole(response).await {
            Ok(reply) => Ended::Whole(reply, connection),
            Err(failure) => Ended::Other(Delivery::Lost(failure)),
        }
    }

    fn request(&self, address: &str, left: Millis) -> Outcome<Request<Full<Bytes>>> {
        let mut request = Request::post(format!(
            "/v1/requests/{}",
            percent::encode(self.call.name.as_str())
        ))
        .header(HOST, address)
        .header(REQUEST, &self.id)
        .header(TIMEOUT_MS, left.0);
        if let Some(key) = &self.call.key {
            request = request.header(IDEMPOTENCY_KEY, key.as_str());
        }
        request
            .body(Full::new(self.call.body.clone()))
            .map_err(|e| Failure::new(Code::Malformed, e.to_string()))
    }

    /// Reads an answer to its end. One that is cut short is an error, never a shorter answer.
    async fn whole(&self, response: Response<Incoming>) -> Outcome<ServiceReply> {
        let cut_short = |cause: String| Failure::new(Code::CutShort, cause);
        let (head, body) = response.into_parts();
        if let Some(id) = head.headers.get(REQUEST)
            && id.as_bytes() != self.id.as_bytes()
        {
            return Err(Failure::new(
                Code::OutcomeUnknown,
                "the executor answered another request on this connection",
            ));
        }
        // Without a length or chunks the end of the answer is the end of the connection, which does
        // not differ from an answer cut short.
        let framed = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING)
            || body.is_end_stream();
        if !framed {
            return Err(cut_short("the answer has no stated length".to_owned()));
        }
        let body = match Limited::new(body, ANSWER_BYTES).collect().await {
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

/// The time limit of a request as the caller of the exchange counts it.
pub(crate) async fn within(limit: Instant, rx: oneshot::Receiver<Delivery>) -> Option<Delivery> {
    match timeout_at(limit, rx).await {
        Ok(Ok(sent)) => Some(sent),
        Ok(Err(_)) => Some(lost("the request ended without an outcome")),
        Err(_) => None,
    }
}

/// The outcome of a request that may have run.
pub(crate) fn lost(cause: &str) -> Delivery {
    Delivery::Lost(Failure::new(Code::OutcomeUnknown, cause))
}

fn not_sent(failure: Failure) -> Ended {
    Ended::Other(Delivery::NotSent(failure))
}
