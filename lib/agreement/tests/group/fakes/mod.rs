//! Fakes for network, disk and clock around the product's `Replica`, with checks of what must
//! always hold.

mod checker;
mod cluster;
mod disk;
mod host;
mod network;

pub use checker::Checker;
pub use cluster::Cluster;
pub use disk::Disk;
pub use host::Host;
pub use network::Network;
