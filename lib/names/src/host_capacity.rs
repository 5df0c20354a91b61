use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What an entry host may use of its machine.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{processor_milli}m cpu, {link_kbps} kbit/s")]
pub struct HostCapacity {
    /// Processor time in thousandths of a core.
    pub processor_milli: u64,
    /// Bandwidth of the network link in kbit/s.
    pub link_kbps: u64,
}
