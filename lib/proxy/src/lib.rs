//! Path of service requests from an entry host to executors.
//!
//! [`Proxy`] admits a request, gets a slot for it, sends it once and answers with the whole answer
//! or with what is known. The decisions are made by `tarragon-routing`; this crate adds sockets,
//! time and the traits towards the rest of the host.

mod connections;
mod counters;
mod delivery;
mod digest;
mod dispatch;
mod entry_source;
mod exchange;
mod key_log;
mod keyed;
mod peers;
mod proxy;
mod proxy_config;
mod slot;

pub use counters::ProxyStats;
pub use entry_source::EntrySource;
pub use key_log::{KeyClaim, KeyLog};
pub use peers::{ForwardError, ForwardReply, Peers};
pub use proxy::Proxy;
pub use proxy_config::ProxyConfig;
