//! Delivery of service requests from an entry host to executors.
//!
//! [`Proxy`] admits a request, acquires a slot and sends the request to an executor. It returns either
//! the complete response or an error that says whether the request may have run. `tarragon-routing`
//! makes the routing decisions; this crate adds sockets, timers and the traits that connect it to the
//! rest of the host.

mod catalogue_lookup;
mod connections;
mod counters;
mod delivery_outcome;
mod digest;
mod dispatcher;
mod exchange;
mod key_log;
mod keyed;
mod peers;
mod proxy;
mod proxy_config;
mod slot;

pub use catalogue_lookup::CatalogueLookup;
pub use counters::ProxyStats;
pub use key_log::{KeyClaim, KeyLog};
pub use peers::{ForwardError, ForwardReply, Peers};
pub use proxy::Proxy;
pub use proxy_config::ProxyConfig;
