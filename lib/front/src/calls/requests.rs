//! Service requests.

use tarragon_codes::Outcome;
use tarragon_names::JobName;

use crate::{Backend, ServiceCall, reply::Reply, request::Request};

pub(super) async fn serve(name: JobName, req: &Request, backend: &dyn Backend) -> Outcome<Reply> {
    let call = ServiceCall {
        name,
        key: req.key()?,
        timeout_ms: req.timeout_ms()?,
        body: req.body(),
    };
    backend.serve(call).await.map(Reply::service)
}
