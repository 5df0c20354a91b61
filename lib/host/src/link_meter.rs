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
const FRAME_OVERHEAD_BYTES: usize = 44;

/// Counts messages and bytes between this host and other hosts or workers, and records since when
/// connections to a host fail.
///
/// The counters by failure domain count each byte at one end only: at the host that opened the
/// connection, or at the gateway of a worker. Bytes seen at the other end have a separate counter.
#[derive(Debug)]
pub struct LinkMeter {
    own_host: HostName,
    inbound_bytes: IntCounter,
    silent_links: IntCounter,
    hosts: HashMap<HostName, HostCounters>,
}

#[derive(Debug)]
struct HostCounters {
    traffic: LinkCounters,
    failing_since: Mutex<Option<Instant>>,
    dropped: AtomicU64,
}

impl LinkMeter {
    /// Creates the counters of `own_host` in `domain` for its traffic with `hosts`, which include
    /// `own_host` itself.
    pub fn new<I>(own_host: HostName, domain: &DomainName, hosts: I, metrics: &Metrics) -> Self
    where
        I: IntoIterator<Item = (HostName, DomainName)>,
    {
        let counters = |to: &DomainName| HostCounters {
            traffic: metrics.link_counters(domain, to),
            failing_since: Mutex::new(None),
            dropped: AtomicU64::new(0),
        };
        let hosts = hosts
            .into_iter()
            .map(|(host, to)| (host, counters(&to)))
            .collect();
        Self {
            own_host,
            inbound_bytes: metrics.control_inbound_bytes.clone(),
            silent_links: metrics.silent_links.clone(),
            hosts,
        }
    }

    /// Counts a frame between this host and a worker that uses it as its gateway.
    pub fn count_worker_frame(&self, len: usize) {
        self.count(&self.own_host, len + FRAME_OVERHEAD_BYTES);
    }

    /// Counts the bytes of one read or write on a connection for calls; `host` is `None` if the
    /// other host opened the connection.
    pub fn count_call_bytes(&self, host: Option<&HostName>, len: usize) {
        match host {
            Some(host) => self.count(host, len + FRAME_OVERHEAD_BYTES),
            None => self.inbound_frame(len),
        }
    }

    /// Returns whether new connections to the host have failed for `dead_after`.
    pub fn is_dead(&self, host: &HostName, dead_after: Duration) -> bool {
        let is_failing = |counters: &HostCounters| {
            counters
                .failing_since
                .lock()
                .is_some_and(|since| since.elapsed() >= dead_after)
        };
        self.hosts.get(host).is_some_and(is_failing)
    }

    /// Returns the number of messages dropped because the queue of a link was full.
    pub fn dropped_messages(&self) -> u64 {
        self.hosts
            .values()
            .map(|counters| counters.dropped.load(Ordering::Relaxed))
            .sum()
    }

    fn count(&self, host: &HostName, len: usize) {
        if let Some(counters) = self.hosts.get(host) {
            counters.traffic.count_message(len);
        }
    }
}

impl LinkObserver for LinkMeter {
    fn sent(&self, host: &HostName, len: usize) {
        self.count(host, len + FRAME_OVERHEAD_BYTES);
    }

    fn received(&self, host: &HostName, len: usize) {
        self.count(host, len + FRAME_OVERHEAD_BYTES);
        if let Some(counters) = self.hosts.get(host) {
            *counters.failing_since.lock() = None;
        }
    }

    fn inbound_frame(&self, len: usize) {
        self.inbound_bytes
            .inc_by((len + FRAME_OVERHEAD_BYTES) as u64);
    }

    fn down(&self, host: &HostName) {
        if let Some(counters) = self.hosts.get(host) {
            counters
                .failing_since
                .lock()
                .get_or_insert_with(Instant::now);
        }
    }

    fn closed_after_silence(&self) {
        self.silent_links.inc();
    }

    fn dropped(&self, host: &HostName) {
        if let Some(counters) = self.hosts.get(host) {
            counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
