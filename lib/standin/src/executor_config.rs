use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tarragon_names::{DomainName, ExecutorName, PoolName};

/// What a stand-in executor is and to whom it announces itself.
#[derive(Clone, Debug)]
pub struct ExecutorConfig {
    /// Its name.
    pub name: ExecutorName,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// IP number to listen on; the port is free.
    pub listen: IpAddr,
    /// Entry hosts in the order in which they are tried as home.
    pub hosts: Vec<SocketAddr>,
    /// Token for announcements, if the hosts ask for one.
    pub token: Option<Arc<str>>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Mean time that a request takes.
    pub service_time: Duration,
    /// Largest difference from the mean, in percent.
    pub spread_percent: u32,
    /// Seed of the spread and of the delay before a new home is sought.
    pub seed: u64,
    /// Time between two announcements.
    pub announce_interval: Duration,
    /// Longest delay before a new home is sought after the home vanished.
    pub max_rejoin_delay: Duration,
    /// Longest time a graceful leave takes.
    pub leave_timeout: Duration,
}

impl ExecutorConfig {
    /// An executor with 8 slots and 64 connections on the loopback address.
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
