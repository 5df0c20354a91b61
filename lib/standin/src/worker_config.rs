use std::net::SocketAddr;

use tarragon_leases::GuardConfig;
use tarragon_names::{Millis, RackName, WorkerName};
use tarragon_settings::{FaultKind, StandinHost, StandinSettings, WorkerFault, WorkerGroup};

/// Configuration of a stand-in worker.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// Properties that the worker registers with, and its heartbeat interval.
    pub guard: GuardConfig,
    /// Gateways (entry hosts that workers connect to) in the order in which the worker tries them; must
    /// not be empty.
    pub gateways: Vec<SocketAddr>,
    /// Maximum ratio between actual and declared run times and resource usage, in either direction.
    pub wrong_factor: u32,
    /// Age of the usage measurements when the worker reports them.
    pub usage_lag: Millis,
    /// Faults that the worker injects.
    pub faults: Vec<WorkerFault>,
    /// Seed of the reconnect delays and of the actual run times and resource usage.
    pub seed: u64,
}

impl WorkerConfig {
    /// Configurations of all workers in the settings.
    pub fn from_settings(settings: &StandinSettings) -> Vec<Self> {
        let groups = settings.workers.iter();
        groups
            .flat_map(|group| (0..group.count).map(|n| Self::of_worker(settings, group, n)))
            .collect()
    }

    /// Whether a fault of this kind is active when `elapsed` has passed since the start of the worker.
    pub fn has_fault(&self, kind: FaultKind, elapsed: Millis) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| fault.kind == kind && fault.is_active_at(elapsed))
    }

    /// Configuration of the worker with index `n` in its group.
    fn of_worker(settings: &StandinSettings, group: &WorkerGroup, n: u32) -> Self {
        let worker = WorkerName::from(format!("{}-{n:03}", group.prefix));
        let rack = RackName::from(format!("{}-r{:02}", group.prefix, n / group.rack_size));
        let faults = group.faults.iter();
        Self {
            guard: GuardConfig::new(worker, group.domain.clone(), rack, group.capacity),
            gateways: gateways(&settings.hosts, group, n),
            wrong_factor: group.wrong_factor,
            usage_lag: group.usage_lag,
            faults: faults.filter(|f| f.workers.contains(&n)).cloned().collect(),
            seed: settings.seed,
        }
    }
}

/// Gateways for worker `n`: those in the group's failure domain, then all others. Both parts are
/// rotated by `n` to distribute the workers over the hosts.
fn gateways(hosts: &[StandinHost], group: &WorkerGroup, n: u32) -> Vec<SocketAddr> {
    let (mut near, mut far): (Vec<_>, Vec<_>) =
        hosts.iter().partition(|host| host.domain == group.domain);
    for hosts in [&mut near, &mut far] {
        let shift = n as usize % hosts.len().max(1);
        hosts.rotate_left(shift);
    }
    near.into_iter()
        .chain(far)
        .map(|host| host.worker)
        .collect()
}
