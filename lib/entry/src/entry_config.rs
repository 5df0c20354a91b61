use std::{net::SocketAddr, path::PathBuf};

use tarragon_names::{DomainName, HostCapacity, HostName, Name};
use tarragon_replica::StateLimits;

use crate::EntryTiming;

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Name of the host among the hosts: its peer address as text.
    pub host: HostName,
    /// Address at which the host listens for other hosts.
    pub peer_address: SocketAddr,
    /// Address for heartbeats that the host announces to workers while it leads.
    pub heartbeat_address: Name,
    /// Failure domain of the host, which the choice of the voters takes into account.
    pub domain: DomainName,
    /// Peer addresses of a few hosts from which the host learns the leader and the other hosts.
    pub seeds: Vec<SocketAddr>,
    /// Data folder, which holds the replicated state; `None` on a host without a disk.
    pub data_dir: Option<PathBuf>,
    /// Whether the whole system starts for the first time, so that the seeds are the bootstrap
    /// members of the group.
    pub is_first_start: bool,
    /// Number of hosts with a disk that the group may lose at the same time.
    pub tolerated_failures: usize,
    /// Number of files and connections that the process may have open.
    pub max_descriptors: usize,
    /// What the process may use of its machine.
    pub capacity: HostCapacity,
    /// Limits of the replicated state, derived from the disk and the memory of the host.
    pub state_limits: StateLimits,
    /// Whether images that slow each other down on one worker are detected and kept apart.
    pub avoids_interference: bool,
    /// Intervals and timeouts, derived from the bounds of the platform.
    pub timing: EntryTiming,
}

impl EntryConfig {
    /// Returns the number of voters that the group needs to survive the tolerated failures.
    pub fn target_voters(&self) -> usize {
        2 * self.tolerated_failures + 1
    }
}
