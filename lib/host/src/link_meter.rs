use std::{
    collections::HashMap,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

use tarragon_names::{DomainName, HostName};

/// Bytes that TCP, IP and the length prefix add to a small frame.
const FRAME_OVERHEAD: u64 = 44;

/// Messages and bytes on the links between entry hosts, and which of them answer.
#[derive(Debug)]
pub struct LinkMeter {
    domains: HashMap<DomainName, DomainCounters>,
    hosts: HashMap<HostName, HostCounters>,
}

#[derive(Debug, Default)]
struct DomainCounters {
    messages: AtomicU64,
    bytes: AtomicU64,
}

#[derive(Debug, Default)]
struct HostCounters {
    up: AtomicBool,
    dropped: AtomicU64,
}

/// Traffic with one failure domain since the start of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainTraffic {
    /// The other failure domain.
    pub domain: DomainName,
    /// Messages sent and received on links that this host opened.
    pub messages: u64,
    /// Their bytes with an estimate for headers.
    pub bytes: u64,
}

impl LinkMeter {
    /// Counters for the given hosts and their failure domains.
    pub fn new<I>(hosts: I) -> Self
    where
        I: IntoIterator<Item = (HostName, DomainName)>,
    {
        let mut meter = Self {
            domains: HashMap::new(),
            hosts: HashMap::new(),
        };
        for (host, domain) in hosts {
            meter.domains.entry(domain).or_default();
            meter.hosts.entry(host).or_default();
        }
        meter
    }

    /// Counts a message that was sent.
    pub fn sent(&self, _host: &HostName, domain: &DomainName, len: usize) {
        self.count(domain, len);
    }

    /// Counts a message that arrived, which shows that the host answers.
    pub fn heard(&self, host: &HostName, domain: &DomainName, len: usize) {
        self.count(domain, len);
        if let Some(counters) = self.hosts.get(host) {
            counters.up.store(true, Ordering::Relaxed);
        }
    }

    /// Notes that the link to a host is broken.
    pub fn down(&self, host: &HostName) {
        if let Some(counters) = self.hosts.get(host) {
            counters.up.store(false, Ordering::Relaxed);
        }
    }

    /// Counts a message that found the queue full.
    pub fn dropped(&self, host: &HostName) {
        if let Some(counters) = self.hosts.get(host) {
            counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Tells whether the host answered on the present connection.
    pub fn is_up(&self, host: &HostName) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|counters| counters.up.load(Ordering::Relaxed))
    }

    /// Traffic by failure domain.
    pub fn traffic(&self) -> Vec<DomainTraffic> {
        self.domains
            .iter()
            .map(|(domain, counters)| DomainTraffic {
                domain: domain.clone(),
                messages: counters.messages.load(Ordering::Relaxed),
                bytes: counters.bytes.load(Ordering::Relaxed),
            })
            .collect()
    }

    /// Messages that found a full queue.
    pub fn total_dropped(&self) -> u64 {
        self.hosts
            .values()
            .map(|counters| counters.dropped.load(Ordering::Relaxed))
            .sum()
    }

    fn count(&self, domain: &DomainName, len: usize) {
        if let Some(counters) = self.domains.get(domain) {
            counters.messages.fetch_add(1, Ordering::Relaxed);
            counters
                .bytes
                .fetch_add(len as u64 + FRAME_OVERHEAD, Ordering::Relaxed);
        }
    }
}
