//! Metrics, readiness and the log level.

use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tarragon_codes::{Code, Failure, Outcome};

use crate::{FrontConfig, HostApi, reply::Reply, request::Request};

/// Body of the call that sets the log level.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LogLevel {
    level: String,
}

pub(super) fn metrics(cfg: &FrontConfig) -> Reply {
    Reply::text(StatusCode::OK, (cfg.render_metrics)())
}

pub(super) fn live() -> Reply {
    Reply::text(StatusCode::OK, "live\n")
}

pub(super) fn ready(host_api: &dyn HostApi) -> Outcome<Reply> {
    if host_api.is_ready() {
        return Ok(Reply::text(StatusCode::OK, "ready\n"));
    }
    Err(Failure::new(
        Code::CatalogueNotFresh,
        "this host is stopping, or its catalogue is not proven fresh",
    ))
}

pub(super) fn log_level(req: &Request, cfg: &FrontConfig) -> Outcome<Reply> {
    let LogLevel { level } = req.json()?;
    if (cfg.set_log_level)(&level) {
        return Ok(Reply::ok(&json!({"level": level})));
    }
    Err(Failure::new(
        Code::Malformed,
        format!("level: {level:.40} is not a log level"),
    ))
}
