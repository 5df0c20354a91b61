use prometheus::IntCounter;

/// Counters of the control messages sent from one failure domain to another.
#[derive(Clone, Debug)]
pub struct LinkCounters {
    pub(crate) messages: IntCounter,
    pub(crate) bytes: IntCounter,
}

impl LinkCounters {
    /// Counts a message of `bytes` bytes.
    pub fn count_message(&self, bytes: usize) {
        self.messages.inc();
        self.bytes.inc_by(bytes as u64);
    }
}
