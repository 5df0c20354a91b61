//! HTTP interface of an entry host.
//!
//! Parsing and checking a request (`route`, `request`, `access`) is separate from executing the call
//! (`calls`), which uses the rest of the host through [`HostApi`].

mod access;
mod body_budget;
mod body_buffer;
mod calls;
mod front_config;
mod front_limits;
mod host_api;
mod host_view;
mod http_server;
pub mod percent;
mod query_params;
mod reply;
mod request;
mod route;
mod server;
mod service_call;
mod service_reply;
mod stall_limit;

pub use body_budget::BodyBudget;
pub use front_config::{FrontConfig, LogLevelSetter, MetricsRenderer};
pub use front_limits::FrontLimits;
pub use host_api::{BoxOutcome, HostApi};
pub use host_view::HostView;
pub use http_server::{HttpHandler, read_body, serve_http};
pub use server::serve;
pub use service_call::ServiceCall;
pub use service_reply::ServiceReply;
