use std::{
    collections::HashMap,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use prometheus::IntCounter;
use tarragon_names::{DomainName, HostName};
use tarragon_replica::LinkObserver;
use tarragon_telemetry::{LinkCounters, Metrics};

/// Bytes that TCP, IP and the length prefix add to a small frame.
const FRAME_OVERHEAD: usize = 44;

/// Messages and bytes between this host and others, and which of the hosts answer.
///
/// By failure domain each byte is counted at one end only: by the host that opened the connection,
/// or by the gateway for its workers. What the other end sees goes into a counter of its own.
#[derive(Debug)]
pub struct LinkMeter {
    own: HostName,
    inbound: IntCounter,
    silent: IntCounter,
    hosts: HashMap<HostName, HostCounters>,
}

#[derive(Debug)]
struct HostCounters {
    traffic: LinkCounters,
    failing_since: Mutex<Option<Instant>>,
    dropped: AtomicU64,
}

impl LinkMeter {
    /// Counters of the host `own` for its traffic with the given hosts, itself included.
    pub fn new<I>(own: HostName, domain: &DomainName, hosts: I, metrics: &Metrics) -> Self
    where
        I: IntoIterator<Item = (HostName, DomainName)>,
    {
        let counters = |to: &DomainName| HostCounters {
            traffic: metrics.link(domain, to),
            failing_since: Mutex::new(None),
            dropped: AtomicU64::new(0),
        };
        let hosts = hosts
            .into_iter()
            .map(|(host, to)| (host, counters(&to)))
            .collect();
        Self {
            own,
            inbound: metrics.control_inbound_bytes.clone(),
            silent: metrics.silent_links.clone(),
            hosts,
        }
    }

    /// Counts a frame between this host as a gateway and one of its workers.
    pub fn worker_frame(&self, len: usize) {
        self.count(&self.own, len + FRAME_OVERHEAD);
    }

    /// Counts bytes of calls as read from or written to a socket; `host` is absent if another host
    /// opened the connection.
    pub fn call_bytes(&self, host: Option<&HostName>, len: usize) {
        match host {
            Some(host) => self.count(host, len + FRAME_OVERHEAD),
            None => self.inbound_frame(len),
        }
    }

    /// Tells whether new connections to the host have failed for `host_dead`.
    pub fn is_dead(&self, host: &HostName, host_dead: Duration) -> bool {
        let failing = |counters: &HostCounters| {
            counters
                .failing_since
                .lock()
                .is_some_and(|since| since.elapsed() >= host_dead)
        };
        self.hosts.get(host).is_some_and(failing)
    }

    /// Messages that found a full queue.
    pub fn total_dropped(&self) -> u64 {
        self.hosts
            .values()
            .map(|counters| counters.dropped.load(Ordering::Relaxed))
            .sum()
    }

    fn count(&self, host: &HostName, len: usize) {
        if let Some(counters) = self.hosts.get(host) {
            counters.traffic.count(len);
        }
    }
}

impl LinkObserver for LinkMeter {
    fn sent(&self, host: &HostName, len: usize) {
        self.count(host, len + FRAME_OVERHEAD);
    }

    fn heard(&self, host: &HostName, len: usize) {
        self.count(host, len + FRAME_OVERHEAD);
        if let Some(counters) = self.hosts.get(host) {
            *counters.failing_since.lock() = None;
        }
    }

    fn inbound_frame(&self, len: usize) {
        self.inbound.inc_by((len + FRAME_OVERHEAD) as u64);
    }

    fn down(&self, host: &HostName) {
        if let Some(counters) = self.hosts.get(host) {
            counters
                .failing_since
                .lock()
                .get_or_insert_with(Instant::now);
        }
    }

    fn silent(&self) {
        self.silent.inc();
    }

    fn dropped(&self, host: &HostName) {
        if let Some(counters) = self.hosts.get(host) {
            counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
