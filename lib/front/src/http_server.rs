use std::{convert::Infallible, fmt::Debug, sync::Arc};

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Request, Response,
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

use crate::{FrontLimits, stall_limit::StallLimit};

/// Answers requests of one HTTP interface.
pub trait HttpHandler: Debug + Send + Sync {
    /// Answers a request.
    fn answer(&self, req: Request<Incoming>) -> BoxFuture<'static, Response<Full<Bytes>>>;
}

/// Pause after a failed accept, which is mostly a lack of file descriptors.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Answer to a connection beyond the limit; the request on it is not read.
const TOO_MANY: &[u8] = b"HTTP/1.1 429 Too Many Requests\r\n\
    content-type: application/json\r\nx-tarragon-code: 3107\r\nretry-after: 1\r\n\
    content-length: 51\r\nconnection: close\r\n\r\n\
    {\"code\":3107,\"cause\":\"too many connections here\"} \n";

/// Serves an HTTP interface on a listener until `shutdown`.
///
/// Returns when no connection is left: idle ones close at once, requests in flight have
/// `drain_timeout`, and what remains then is cut off.
pub async fn serve_http(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    limits: FrontLimits,
    shutdown: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
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
        let conn = connection(stream, Arc::clone(&handler), limits, shutdown.clone());
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
    if timeout(limits.drain_timeout, tracker.wait()).await.is_err() {
        cut_off.cancel();
        tracker.wait().await;
    }
}

async fn connection(
    stream: TcpStream,
    handler: Arc<dyn HttpHandler>,
    limits: FrontLimits,
    shutdown: CancellationToken,
) {
    // Answers are small and whole, so waiting for more bytes only adds delay.
    let _set = stream.set_nodelay(true);
    let io = TokioIo::new(StallLimit::new(stream, limits.write_stall_timeout));
    let service = service_fn(move |req| {
        let answer = handler.answer(req);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head_bytes)
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

/// Reads the whole body of a request, within the limits on its size and time.
pub async fn read_body(body: Incoming, limits: &FrontLimits) -> Outcome<Bytes> {
    let limit = limits.max_body_bytes;
    let too_large = || Failure::new(Code::TooLarge, format!("body: at most {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let whole = Limited::new(body, limit).collect();
    match timeout(limits.body_timeout, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(e)) => Err(Failure::new(Code::Malformed, format!("body: {e}"))),
        Err(_) => Err(Failure::of(Code::SlowRequest)),
    }
}
