//! HTTP side of a stand-in executor.

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

use crate::{ExecutorFault, ExecutorRecord, executor_state::ExecutorState};

/// Bytes of a body that the record keeps.
const BODY_KEPT: usize = 64;

const REQUEST: &str = "x-tarragon-request";

type Body = BoxBody<Bytes, io::Error>;

/// Accepts connections until the token is cancelled, which also closes the open ones.
pub(crate) async fn accept(
    listener: TcpListener,
    state: Arc<ExecutorState>,
    accepted: Arc<AtomicU64>,
    stop: CancellationToken,
) {
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = stream else { continue };
        let number = accepted.fetch_add(1, Ordering::Relaxed) + 1;
        let state = Arc::clone(&state);
        let stop = stop.clone();
        tokio::spawn(async move {
            let open = state.open.fetch_add(1, Ordering::Relaxed) + 1;
            if open > state.cfg.connections {
                state.violations.fetch_add(1, Ordering::Relaxed);
            } else {
                tokio::select! {
                    () = serve(stream, number, Arc::clone(&state)) => {}
                    () = stop.cancelled() => {}
                }
            }
            state.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve(stream: TcpStream, number: u64, state: Arc<ExecutorState>) {
    // Answers are small, so waiting for more bytes only adds delay.
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
        return Ok(Response::new(whole(log.into())));
    }
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    // The request runs on when its connection closes, as it does in a real backend server.
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
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let request = text(REQUEST).unwrap_or_default();
    let Some(busy) = state.enter(&request) else {
        let mut refusal = Response::new(whole(Bytes::from_static(b"no free slot\n")));
        *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(refusal);
    };
    let number = state.record(ExecutorRecord {
        request: request.clone(),
        path,
        body: String::from_utf8_lossy(&body[..body.len().min(BODY_KEPT)]).into_owned(),
        key: text("idempotency-key"),
        at_ms: 0,
        after_leave_ms: None,
    });
    let fault = state.fault(connection);
    if fault == ExecutorFault::FailAll {
        let mut failure = Response::new(whole(Bytes::from_static(b"failed\n")));
        *failure.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return Ok(failure);
    }
    if matches!(
        fault,
        ExecutorFault::Silent | ExecutorFault::SilentConnections
    ) {
        drop(busy);
        return future::pending().await;
    }
    sleep(state.service_time()).await;
    let mut response = Response::new(match fault {
        ExecutorFault::DropEvery(n) if number.is_multiple_of(n.max(1)) => {
            return Err(io::Error::other("dropped after reading"));
        }
        ExecutorFault::DropAfterRead => return Err(io::Error::other("dropped after reading")),
        ExecutorFault::TruncateResponse => cut_short(&body),
        _ => whole(body),
    });
    if let Ok(value) = HeaderValue::from_str(&request) {
        response.headers_mut().insert(REQUEST, value);
    }
    Ok(response)
}

fn whole(body: Bytes) -> Body {
    Full::new(body).map_err(never).boxed()
}

/// An answer that ends before its terminating chunk.
fn cut_short(body: &Bytes) -> Body {
    let part = Ok(Frame::data(body.slice(..body.len() / 2)));
    let end = Err(io::Error::other("cut short"));
    StreamBody::new(stream::iter([part, end])).boxed()
}

fn never(e: Infallible) -> io::Error {
    match e {}
}
