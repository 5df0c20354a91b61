use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Addresses of the hosts and time limits of a client.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Addresses of entry hosts, in the order in which they are tried.
    pub hosts: Vec<SocketAddr>,
    /// Operator token; without one, only calls that need no token succeed.
    pub token: Option<Arc<str>>,
    /// Time limit of a call over all attempts.
    pub timeout: Duration,
    /// Time limit of an attempt at one host.
    pub host_timeout: Duration,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
}

impl ClientConfig {
    /// Default time limits for these hosts, without a token.
    pub fn new<I>(hosts: I) -> Self
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        Self {
            hosts: hosts.into_iter().collect(),
            token: None,
            timeout: Duration::from_secs(10),
            host_timeout: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
        }
    }
}
