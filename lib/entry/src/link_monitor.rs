use std::collections::HashMap;

use parking_lot::Mutex;
use prometheus::IntCounter;
use tarragon_names::HostName;
use tarragon_replica::LinkObserver;

/// Counts the traffic on the links between hosts and tracks which links are down.
#[derive(Debug)]
pub(crate) struct LinkMonitor {
    pub(crate) messages: IntCounter,
    pub(crate) bytes: IntCounter,
    pub(crate) dropped: IntCounter,
    pub(crate) silent: IntCounter,
    /// Whether the link to a host is down; a host without a report is not listed and counts as up.
    down_by_host: Mutex<HashMap<HostName, bool>>,
}

impl LinkMonitor {
    pub(crate) fn new(metrics: &crate::EntryMetrics) -> Self {
        Self {
            messages: metrics.link_messages.clone(),
            bytes: metrics.link_bytes.clone(),
            dropped: metrics.link_dropped.clone(),
            silent: metrics.link_silent.clone(),
            down_by_host: Mutex::default(),
        }
    }

    /// Returns whether the link to the host is down, so that messages to the host would be lost.
    pub(crate) fn is_down(&self, host: &HostName) -> bool {
        self.down_by_host.lock().get(host).copied().unwrap_or(false)
    }

    fn count(&self, len: usize) {
        self.messages.inc();
        self.bytes.inc_by(len as u64);
    }
}

impl LinkObserver for LinkMonitor {
    fn sent(&self, _: &HostName, len: usize) {
        self.count(len);
    }

    fn received(&self, host: &HostName, len: usize) {
        self.count(len);
        self.down_by_host.lock().insert(host.clone(), false);
    }

    fn inbound_frame(&self, len: usize) {
        self.count(len);
    }

    fn down(&self, host: &HostName) {
        self.down_by_host.lock().insert(host.clone(), true);
    }

    fn closed_after_silence(&self) {
        self.silent.inc();
    }

    fn dropped(&self, _: &HostName) {
        self.dropped.inc();
    }
}
