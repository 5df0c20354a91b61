use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tarragon_names::{DomainName, ExecutorName, PoolName};

/// Configuration of a stand-in executor.
#[derive(Clone, Debug)]
pub struct ExecutorConfig {
    /// Name that identifies the executor to its hosts over restarts.
    pub name: ExecutorName,
    /// Pool whose requests the executor runs.
    pub pool: PoolName,
    /// Failure domain that the executor announces as its own.
    pub domain: DomainName,
    /// IP address to listen on; the operating system chooses the port.
    pub listen: IpAddr,
    /// Entry hosts in the order in which the executor tries them as home host. With an empty list the
    /// executor does not announce itself.
    pub hosts: Vec<SocketAddr>,
    /// Token that the announcements carry; `None` if the hosts require none.
    pub token: Option<Arc<str>>,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Mean run time of a request.
    pub service_time: Duration,
    /// Maximum deviation of the run time from its mean, in percent; values above 100 count as 100.
    pub spread_percent: u32,
    /// Seed of the run times and of the rejoin delays.
    pub seed: u64,
    /// Time between two announcements, and timeout of each.
    pub announce_interval: Duration,
    /// Maximum random delay before the executor announces itself to the next host after its home host
    /// has failed.
    pub max_rejoin_delay: Duration,
    /// Time limit for the home host's answer and for running requests during a leave. Requests that run
    /// longer get no response.
    pub leave_timeout: Duration,
}

impl ExecutorConfig {
    /// Creates the configuration of an executor on the loopback address, with 8 slots, 64 connections
    /// and default timing.
    pub fn new<N, P>(name: N, pool: P, hosts: Vec<SocketAddr>) -> Self
    where
        N: Into<ExecutorName>,
        P: Into<PoolName>,
    {
        Self {
            name: name.into(),
            pool: pool.into(),
            domain: DomainName::default(),
            listen: IpAddr::from([127, 0, 0, 1]),
            hosts,
            token: None,
            slots: 8,
            connections: 64,
            service_time: Duration::from_millis(20),
            spread_percent: 20,
            seed: 1,
            announce_interval: Duration::from_millis(500),
            max_rejoin_delay: Duration::from_secs(2),
            leave_timeout: Duration::from_secs(30),
        }
    }
}
