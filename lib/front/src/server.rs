use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Response,
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tarragon_codes::{Code, Failure, Outcome};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    Backend, FrontConfig, calls, reply::Reply, request::Request, route::Route,
    stall_limit::StallLimit,
};

/// Pause after a failed accept, which is mostly a lack of file descriptors.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Answer to a connection beyond the limit; the request on it is not read.
const TOO_MANY: &[u8] = b"HTTP/1.1 429 Too Many Requests\r\n\
    content-type: application/json\r\nx-tarragon-code: 3107\r\nretry-after: 1\r\n\
    content-length: 51\r\nconnection: close\r\n\r\n\
    {\"code\":3107,\"cause\":\"too many connections here\"} \n";

/// Serves calls on a listener until `shutdown`.
///
/// Returns when no connection is left: idle ones close at once, requests in flight have
/// `drain_max`, and what remains then is cut off.
pub async fn serve(
    listener: TcpListener,
    backend: Arc<dyn Backend>,
    cfg: FrontConfig,
    shutdown: CancellationToken,
) {
    let limits = cfg.limits;
    let cfg = Arc::new(cfg);
    let permits = Arc::new(Semaphore::new(limits.connections));
    let tracker = TaskTracker::new();
    let cut_off = CancellationToken::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            // Best effort: the socket is new, so its send buffer takes this answer.
            let _sent = stream.try_write(TOO_MANY);
            continue;
        };
        let conn = connection(
            stream,
            Arc::clone(&backend),
            Arc::clone(&cfg),
            shutdown.clone(),
        );
        let cut_off = cut_off.clone();
        tracker.spawn(async move {
            tokio::select! {
                () = conn => {}
                () = cut_off.cancelled() => {}
            }
            drop(permit);
        });
    }
    drop(listener);
    tracker.close();
    if timeout(limits.drain_max, tracker.wait()).await.is_err() {
        cut_off.cancel();
        tracker.wait().await;
    }
}

async fn connection(
    stream: TcpStream,
    backend: Arc<dyn Backend>,
    cfg: Arc<FrontConfig>,
    shutdown: CancellationToken,
) {
    // Answers are small and whole, so waiting for more bytes only adds delay.
    let _set = stream.set_nodelay(true);
    let limits = cfg.limits;
    let io = TokioIo::new(StallLimit::new(stream, limits.write_stall));
    let service = service_fn(move |req| {
        let backend = Arc::clone(&backend);
        let cfg = Arc::clone(&cfg);
        async move { Ok::<_, Infallible>(respond(req, backend, cfg).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes)
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    // An error here is the peer's: a broken head, a silent peer or a closed socket.
    let _ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = shutdown.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
}

/// Answers one request.
///
/// The call runs as its own task: a caller that hangs up must not stop a write or a request to an
/// executor half way.
async fn respond(
    req: hyper::Request<Incoming>,
    backend: Arc<dyn Backend>,
    cfg: Arc<FrontConfig>,
) -> Response<Full<Bytes>> {
    let (route, req) = match read(req, &cfg).await {
        Ok(read) => read,
        Err(failure) => return Reply::from(failure).into_response(),
    };
    let call = tokio::spawn(async move {
        calls::answer(route, req, backend.as_ref(), &cfg)
            .map(|outcome| outcome.unwrap_or_else(Reply::from))
            .await
    });
    call.await
        .unwrap_or_else(|e| Failure::new(Code::Internal, e.to_string()).into())
        .into_response()
}

/// Reads a request: the call first, so that a refused one costs no body.
async fn read(req: hyper::Request<Incoming>, cfg: &FrontConfig) -> Outcome<(Route, Request)> {
    let (head, body) = req.into_parts();
    let route = Route::parse(
        &head.method,
        head.uri.path(),
        head.uri.query().unwrap_or_default(),
    )?;
    route.access().check(&head.headers, cfg)?;
    let limit = cfg.limits.body_bytes;
    let too_large = || Failure::new(Code::TooLarge, format!("body: at most {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let whole = Limited::new(body, limit).collect();
    match timeout(cfg.limits.body_timeout, whole).await {
        Ok(Ok(body)) => Ok((route, Request::new(head.headers, body.to_bytes()))),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(e)) => Err(Failure::new(Code::Malformed, format!("body: {e}"))),
        Err(_) => Err(Failure::of(Code::SlowRequest)),
    }
}
