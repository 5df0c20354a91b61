//! HTTP interface of an entry host.

mod backend;
mod host_view;
mod service_call;

pub use backend::{Backend, BoxOutcome};
pub use host_view::HostView;
pub use service_call::{ServiceCall, ServiceReply};
