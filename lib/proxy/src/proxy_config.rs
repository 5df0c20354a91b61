use std::time::Duration;

use tarragon_names::HostName;
use tarragon_routing::RoutingConfig;

/// Settings of the request path of one host.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// This host.
    pub host: HostName,
    /// Start of this process, drawn at random; part of every request id.
    pub boot: u64,
    /// Times of the routing decisions.
    pub routing: RoutingConfig,
    /// Time limit for opening a connection to an executor.
    pub connect_timeout: Duration,
    /// Time after which an idle connection to an executor is closed.
    pub idle: Duration,
    /// Time for which the end of a request is awaited after its caller was answered.
    pub late_max: Duration,
    /// Whether repeatable requests are sent again after a failure.
    pub retries_enabled: bool,
}

impl ProxyConfig {
    /// The defaults for a host.
    pub fn new(host: HostName, boot: u64) -> Self {
        Self {
            host,
            boot,
            routing: RoutingConfig::default(),
            connect_timeout: Duration::from_secs(1),
            idle: Duration::from_secs(10),
            late_max: Duration::from_secs(30),
            retries_enabled: true,
        }
    }
}
