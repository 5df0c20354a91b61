//! HTTP server of a stand-in executor.

use std::{
    convert::Infallible,
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use futures::{future, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::HeaderValue,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{ExecutorFault, RequestRecord, executor_state::ExecutorState};

/// Maximum number of body bytes in the record of a request.
const MAX_RECORDED_BODY_BYTES: usize = 64;

const REQUEST_ID_HEADER: &str = "x-tarragon-request";

type Body = BoxBody<Bytes, io::Error>;

/// Accepts connections until the token is cancelled, then closes the open ones.
pub(crate) async fn accept(
    listener: TcpListener,
    state: Arc<ExecutorState>,
    accepted_connections: Arc<AtomicU64>,
    stop: CancellationToken,
) {
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = stream else { continue };
        let number = accepted_connections.fetch_add(1, Ordering::Relaxed) + 1;
        let state = Arc::clone(&state);
        let stop = stop.clone();
        tokio::spawn(async move {
            let open = state.open_connections.fetch_add(1, Ordering::Relaxed) + 1;
            if open > state.cfg.connections {
                state.violations.fetch_add(1, Ordering::Relaxed);
            } else {
                tokio::select! {
                    () = serve(stream, number, Arc::clone(&state)) => {}
                    () = stop.cancelled() => {}
                }
            }
            state.open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve(stream: TcpStream, number: u64, state: Arc<ExecutorState>) {
    // Responses are small, so delaying them to fill a packet only adds latency.
    let _set = stream.set_nodelay(true);
    let service = service_fn(move |req| answer(req, number, Arc::clone(&state)));
    let _ended = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    req: Request<Incoming>,
    connection: u64,
    state: Arc<ExecutorState>,
) -> io::Result<Response<Body>> {
    if req.uri().path() == "/standin/log" {
        let log = serde_json::to_vec(&state.records()).unwrap_or_default();
        return Ok(Response::new(full(log.into())));
    }
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    // As in a real backend server, the request continues to run when its connection closes.
    let run = tokio::spawn(run(
        head.headers,
        head.uri.path().to_owned(),
        body,
        connection,
        state,
    ));
    run.await.map_err(io::Error::other)?
}

async fn run(
    headers: HeaderMap,
    path: String,
    body: Bytes,
    connection: u64,
    state: Arc<ExecutorState>,
) -> io::Result<Response<Body>> {
    let header = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let request = header(REQUEST_ID_HEADER).unwrap_or_default();
    let Some(slot) = state.acquire_slot(&request) else {
        let mut refusal = Response::new(full(Bytes::from_static(b"no free slot\n")));
        *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(refusal);
    };
    let number = state.add_record(RequestRecord {
        request: request.clone(),
        path,
        body: String::from_utf8_lossy(&body[..body.len().min(MAX_RECORDED_BODY_BYTES)])
            .into_owned(),
        key: header("idempotency-key"),
        at_ms: 0,
        after_leave_ms: None,
    });
    let fault = state.fault(connection);
    if fault == ExecutorFault::FailAll {
        let mut failure = Response::new(full(Bytes::from_static(b"failed\n")));
        *failure.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return Ok(failure);
    }
    if matches!(
        fault,
        ExecutorFault::Silent | ExecutorFault::SilentConnections
    ) {
        drop(slot);
        return future::pending().await;
    }
    sleep(state.random_service_time()).await;
    let mut response = Response::new(match fault {
        ExecutorFault::DropEvery(n) if number.is_multiple_of(n.max(1)) => {
            return Err(io::Error::other("dropped after reading"));
        }
        ExecutorFault::DropAfterRead => return Err(io::Error::other("dropped after reading")),
        ExecutorFault::TruncateResponse => truncated(&body),
        _ => full(body),
    });
    if let Ok(value) = HeaderValue::from_str(&request) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    Ok(response)
}

fn full(body: Bytes) -> Body {
    Full::new(body).map_err(infallible).boxed()
}

/// Body that ends in an error after half of the bytes, so the terminating chunk is missing.
fn truncated(body: &Bytes) -> Body {
    let first_half = Ok(Frame::data(body.slice(..body.len() / 2)));
    let end = Err(io::Error::other("cut short"));
    StreamBody::new(stream::iter([first_half, end])).boxed()
}

fn infallible(e: Infallible) -> io::Error {
    match e {}
}
