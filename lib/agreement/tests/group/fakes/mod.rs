//! Fakes for network, disk and clock around the real `Replica`, with checks of the safety
//! invariants.

mod cluster;
mod disk;
mod host;
mod invariant_checker;
mod network;

pub use cluster::Cluster;
pub use disk::Disk;
pub use host::Host;
pub use invariant_checker::InvariantChecker;
pub use network::Network;
