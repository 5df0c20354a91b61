//! Test hosts with fake links and a fake key log, and executors on loopback sockets.
#![allow(
    dead_code,
    unused_imports,
    reason = "some items are used by one of the test files only"
)]

mod fake_entries;
mod fake_keys;
mod fake_peers;
mod host;
mod scripted_executor;

use std::{net::SocketAddr, sync::Arc, time::Duration};

pub use fake_entries::FakeEntries;
pub use fake_keys::FakeKeys;
pub use fake_peers::{FakePeers, LinkFault};
pub use host::Host;
pub use scripted_executor::{Script, ScriptedExecutor};
use tarragon_codes::{Code, Outcome};
use tarragon_front::{ServiceCall, ServiceReply};
use tarragon_names::{Millis, PoolName};
use tarragon_proxy::{Proxy, ProxyConfig};
use tarragon_routing::{Announcement, AnnouncementReply, RoutingConfig};
use tarragon_standin::{ExecutorConfig, StandinExecutor};
use tokio::time::{sleep, timeout};

/// Time limit of each wait in a test, far above the time that a passing run needs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Pool of the executors in the tests.
pub const POOL: &str = "reels";

/// Hosts of one cell, which share a key log and a catalogue.
pub struct Cell {
    pub keys: Arc<FakeKeys>,
    pub entries: Arc<FakeEntries>,
    pub peers: Arc<FakePeers>,
    pub hosts: Vec<Arc<Proxy>>,
}

impl Cell {
    /// Creates hosts whose executor leases last longer than a test, so that only the test decides when
    /// an executor joins or leaves.
    pub fn new(hosts: usize) -> Self {
        Self::with_routing(
            hosts,
            RoutingConfig {
                executor_lease: Millis(600_000),
                join_delay: Millis(0),
                summary_max_age: Millis(600_000),
                avoidance_min: Millis(0),
                ..RoutingConfig::default()
            },
        )
    }

    pub fn with_routing(hosts: usize, routing: RoutingConfig) -> Self {
        let keys = Arc::<FakeKeys>::default();
        let entries = Arc::<FakeEntries>::default();
        let peers = Arc::<FakePeers>::default();
        let hosts = (0..hosts).map(|number| {
            let cfg = ProxyConfig {
                routing,
                ..ProxyConfig::new(format!("h{number}").into(), 0x1000 + number as u64)
            };
            let host = Arc::new(Proxy::new(
                cfg,
                Arc::clone(&entries) as _,
                Arc::clone(&peers) as _,
                Arc::clone(&keys) as _,
            ));
            peers.add(&host);
            host
        });
        Self {
            hosts: hosts.collect(),
            keys,
            entries,
            peers,
        }
    }

    /// Sends the load summary of each host to all others.
    pub fn share_loads(&self) {
        for from in &self.hosts {
            for to in &self.hosts {
                if !Arc::ptr_eq(from, to) {
                    to.update_load_summary(from.load_summary());
                }
            }
        }
    }
}

/// First announcement of an executor with this address.
pub fn announcement(name: &str, address: SocketAddr, slots: u32) -> Announcement {
    Announcement {
        name: name.into(),
        pool: PoolName::from(POOL),
        domain: "zilina".into(),
        address: address.to_string(),
        slots,
        connections: 64,
        busy: 0,
        leaving: false,
        epoch: 1,
        echoed_clock: None,
        running: None,
    }
}

/// Registers an executor with a host and completes the join.
pub fn register(host: &Proxy, announcement: Announcement) -> AnnouncementReply {
    let reply = host.announce(announcement.clone()).unwrap();
    host.announce(Announcement {
        echoed_clock: Some(reply.clock),
        ..announcement
    })
    .unwrap()
}

/// Starts a stand-in executor that sends no announcements.
pub async fn start_standin(name: &str, slots: u32, service_ms: u64) -> StandinExecutor {
    StandinExecutor::start(ExecutorConfig {
        slots,
        service_time: Duration::from_millis(service_ms),
        ..ExecutorConfig::new(name, POOL, Vec::new())
    })
    .await
    .unwrap()
}

/// A request with this body and no time limit of its caller.
pub fn call(body: &str) -> ServiceCall {
    ServiceCall {
        name: "slots/a".into(),
        key: None,
        timeout_ms: None,
        body: body.to_owned().into(),
    }
}

/// A request with this body and idempotency key.
pub fn call_with_key(body: &str, key: &str) -> ServiceCall {
    ServiceCall {
        key: Some(key.into()),
        ..call(body)
    }
}

/// A request with this body and time limit of its caller.
pub fn call_with_timeout(body: &str, timeout_ms: u64) -> ServiceCall {
    ServiceCall {
        timeout_ms: Some(timeout_ms),
        ..call(body)
    }
}

/// Body of the response, or code of the failure.
pub fn body_or_code(outcome: &Outcome<ServiceReply>) -> Result<String, Code> {
    match outcome {
        Ok(reply) => Ok(String::from_utf8_lossy(&reply.body).into_owned()),
        Err(failure) => Err(failure.code),
    }
}

/// Polls a condition until it is true; panics after [`TEST_TIMEOUT`].
pub async fn wait_until<F>(mut condition: F)
where
    F: FnMut() -> bool,
{
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(TEST_TIMEOUT, wait)
        .await
        .expect("condition should become true before the time limit");
}
