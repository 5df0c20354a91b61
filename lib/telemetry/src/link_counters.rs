use prometheus::IntCounter;

/// Counters of the control messages between two failure domains.
#[derive(Clone, Debug)]
pub struct LinkCounters {
    pub(crate) messages: IntCounter,
    pub(crate) bytes: IntCounter,
}

impl LinkCounters {
    /// Counts a message.
    pub fn count(&self, bytes: usize) {
        self.messages.inc();
        self.bytes.inc_by(bytes as u64);
    }
}
