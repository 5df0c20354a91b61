use std::{net::SocketAddr, path::PathBuf};

use tarragon_names::{DomainName, HostName, Name};

use crate::EntryTiming;

/// What an entry host is told of itself.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Its name among the hosts: its address for them, as text.
    pub host: HostName,
    /// Its address for other hosts.
    pub peer_address: SocketAddr,
    /// Where workers may send their heartbeats, as they write it.
    pub heartbeat_address: Name,
    /// Its failure domain.
    pub domain: DomainName,
    /// Addresses for other hosts of a few hosts that can be asked for the rest.
    pub seeds: Vec<SocketAddr>,
    /// Folder of the replicated state; absent on a host without a disk.
    pub data_dir: Option<PathBuf>,
    /// The whole system starts for the first time, so the seeds found the group.
    pub is_first_start: bool,
    /// Hosts with a disk that may be lost at the same time.
    pub tolerated_failures: usize,
    /// Times.
    pub timing: EntryTiming,
}

impl EntryConfig {
    /// Voters that the group should have.
    pub fn target_voters(&self) -> usize {
        2 * self.tolerated_failures + 1
    }
}
