use std::time::Duration;

use tarragon_names::HostName;
use tarragon_routing::RoutingConfig;

/// Settings of the request path of one host.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Name of this host.
    pub host: HostName,
    /// Random number that identifies this process; part of every request id.
    pub boot: u64,
    /// Time limits for the routing decisions.
    pub routing: RoutingConfig,
    /// Time limit for opening a connection to an executor.
    pub connect_timeout: Duration,
    /// Time after which an idle connection to an executor is closed.
    pub idle_timeout: Duration,
    /// Time after the deadline of a request for which the host still waits for the executor's response,
    /// to learn when the slot is free.
    pub late_response_timeout: Duration,
    /// Whether a repeatable request is sent again if its outcome is unknown.
    pub retries_enabled: bool,
}

impl ProxyConfig {
    /// Creates the default configuration of a host.
    pub fn new(host: HostName, boot: u64) -> Self {
        Self {
            host,
            boot,
            routing: RoutingConfig::default(),
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(10),
            late_response_timeout: Duration::from_secs(30),
            retries_enabled: true,
        }
    }
}
