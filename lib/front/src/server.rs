use std::sync::Arc;

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http_body_util::Full;
use hyper::{Response, body::Incoming};
use tarragon_codes::{Code, Failure, Outcome};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    FrontConfig, HostApi, HttpHandler, calls,
    http_server::{read_body, serve_http},
    reply::Reply,
    request::Request,
    route::Route,
};

/// Serves the HTTP interface on a listener until `shutdown` is cancelled.
///
/// Closes connections and returns as [`serve_http`] does.
pub async fn serve(
    listener: TcpListener,
    host_api: Arc<dyn HostApi>,
    cfg: FrontConfig,
    shutdown: CancellationToken,
) {
    let limits = cfg.limits.clone();
    let handler = CallHandler {
        host_api,
        cfg: Arc::new(cfg),
    };
    serve_http(listener, Arc::new(handler), limits, shutdown).await;
}

/// Handler of the calls under `/v1` and of the metrics and health pages.
#[derive(Debug)]
struct CallHandler {
    host_api: Arc<dyn HostApi>,
    cfg: Arc<FrontConfig>,
}

impl HttpHandler for CallHandler {
    fn answer(&self, req: hyper::Request<Incoming>) -> BoxFuture<'static, Response<Full<Bytes>>> {
        respond(req, Arc::clone(&self.host_api), Arc::clone(&self.cfg)).boxed()
    }
}

/// Answers one request.
///
/// The call runs in a task of its own, so that a write or a request to an executor finishes even if
/// the caller closes the connection.
async fn respond(
    req: hyper::Request<Incoming>,
    host_api: Arc<dyn HostApi>,
    cfg: Arc<FrontConfig>,
) -> Response<Full<Bytes>> {
    let (route, req) = match read_request(req, &cfg).await {
        Ok(parsed) => parsed,
        Err(failure) => return Reply::from(failure).into_response(),
    };
    let call = tokio::spawn(async move {
        calls::answer(route, req, host_api.as_ref(), &cfg)
            .map(|outcome| outcome.unwrap_or_else(Reply::from))
            .await
    });
    call.await
        .unwrap_or_else(|e| Failure::new(Code::Internal, e.to_string()).into())
        .into_response()
}

/// Parses a request. Route and token are checked first, so that the body of a refused request is not
/// read.
async fn read_request(
    req: hyper::Request<Incoming>,
    cfg: &FrontConfig,
) -> Outcome<(Route, Request)> {
    let (head, body) = req.into_parts();
    let route = Route::parse(
        &head.method,
        head.uri.path(),
        head.uri.query().unwrap_or_default(),
    )?;
    route.access().check(&head.headers, cfg)?;
    let body = read_body(body, &cfg.limits).await?;
    Ok((route, Request::new(head.headers, body)))
}
