//! HTTP client for callers and operators, which fails over between hosts.

mod answer;
mod call;
mod calls;
mod client;
mod client_config;
mod entry_view;
mod quota_view;
mod request_reply;
mod submitted;

pub use client::Client;
pub use client_config::ClientConfig;
pub use entry_view::EntryView;
pub use quota_view::QuotaView;
pub use request_reply::RequestReply;
pub use submitted::Submitted;
