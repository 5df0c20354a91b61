use std::{convert::Infallible, fmt::Debug, sync::Arc};

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full};
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

use crate::{FrontLimits, body_buffer::BodyBuffer, stall_limit::StallLimit};

/// Request handler of one HTTP interface.
pub trait HttpHandler: Debug + Send + Sync {
    /// Answers a request, whose body may not have arrived yet.
    fn answer(&self, req: Request<Incoming>) -> BoxFuture<'static, Response<Full<Bytes>>>;
}

/// Delay after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Answer to a connection beyond the limit; its request is not read.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 429 Too Many Requests\r\n\
    content-type: application/json\r\nx-tarragon-code: 3107\r\nretry-after: 1\r\n\
    content-length: 51\r\nconnection: close\r\n\r\n\
    {\"code\":3107,\"cause\":\"too many connections here\"} \n";

/// Serves an HTTP interface on a listener until `shutdown` is cancelled.
///
/// Then it closes idle connections at once and the others when their request in flight is answered,
/// at the latest after `drain_timeout`. It returns when all connections are closed.
pub async fn serve_http(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    limits: FrontLimits,
    shutdown: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let tracker = TaskTracker::new();
    let cancel_connections = CancellationToken::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            // Best effort: the send buffer of a new socket has capacity for this answer.
            let _sent = stream.try_write(TOO_MANY_CONNECTIONS);
            continue;
        };
        let conn = serve_connection(
            stream,
            Arc::clone(&handler),
            limits.clone(),
            shutdown.clone(),
        );
        let cancel_connections = cancel_connections.clone();
        tracker.spawn(async move {
            tokio::select! {
                () = conn => {}
                () = cancel_connections.cancelled() => {}
            }
            drop(permit);
        });
    }
    drop(listener);
    tracker.close();
    if timeout(limits.drain_timeout, tracker.wait()).await.is_err() {
        cancel_connections.cancel();
        tracker.wait().await;
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn HttpHandler>,
    limits: FrontLimits,
    shutdown: CancellationToken,
) {
    // Each answer is written whole, so Nagle's algorithm would only add latency.
    let _set = stream.set_nodelay(true);
    let io = TokioIo::new(StallLimit::new(stream, limits.write_stall_timeout));
    let service = service_fn(move |req| {
        let response = handler.answer(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    // Errors are ignored, because the peer causes them: a malformed head, a timeout or a closed
    // socket.
    let _ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = shutdown.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
}

/// Reads the whole body of a request within its limits on size and time, and within the budget that
/// all requests share. The result counts in the budget until its last clone is dropped.
pub async fn read_body(body: Incoming, limits: &FrontLimits) -> Outcome<Bytes> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limits.max_body_bytes {
        return Err(too_large(limits));
    }
    let buf = BodyBuffer::new(Arc::clone(&limits.body_budget), announced)?;
    match timeout(limits.body_timeout, read_into(buf, body, limits)).await {
        Ok(read) => read.map(BodyBuffer::into_bytes),
        Err(_) => Err(Failure::of(Code::SlowRequest)),
    }
}

async fn read_into(
    mut buf: BodyBuffer,
    mut body: Incoming,
    limits: &FrontLimits,
) -> Outcome<BodyBuffer> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Failure::new(Code::Malformed, format!("body: {e}")))?;
        // Trailers carry nothing that a call uses.
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if chunk.len() > limits.max_body_bytes - buf.len() {
            return Err(too_large(limits));
        }
        buf.push(&chunk)?;
    }
    Ok(buf)
}

fn too_large(limits: &FrontLimits) -> Failure {
    let limit = limits.max_body_bytes;
    Failure::new(Code::TooLarge, format!("body: at most {limit} bytes"))
}
