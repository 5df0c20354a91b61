//! Service requests.

use tarragon_codes::Outcome;
use tarragon_names::JobName;

use crate::{HostApi, ServiceCall, reply::Reply, request::Request};

pub(super) async fn run(name: JobName, req: &Request, host_api: &dyn HostApi) -> Outcome<Reply> {
    let call = ServiceCall {
        name,
        key: req.idempotency_key()?,
        timeout_ms: req.timeout_ms()?,
        body: req.body(),
    };
    host_api.serve(call).await.map(Reply::service)
}
