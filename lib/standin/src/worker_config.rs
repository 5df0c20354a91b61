use std::net::SocketAddr;

use tarragon_leases::GuardConfig;
use tarragon_names::{Millis, RackName, WorkerName};
use tarragon_settings::{FaultKind, StandinHost, StandinSettings, WorkerFault, WorkerGroup};

/// What a stand-in worker is and does.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// What it says of itself.
    pub guard: GuardConfig,
    /// Gateways in the order in which they are tried.
    pub gateways: Vec<SocketAddr>,
    /// Greatest ratio of true run times and sizes to the declared ones.
    pub wrong_factor: u32,
    /// Age of the usage that is reported.
    pub usage_lag: Millis,
    /// Faults.
    pub faults: Vec<WorkerFault>,
    /// Seed of its random choices.
    pub seed: u64,
}

impl WorkerConfig {
    /// All workers of a settings file.
    pub fn from_settings(settings: &StandinSettings) -> Vec<Self> {
        let groups = settings.workers.iter();
        groups
            .flat_map(|group| (0..group.count).map(|n| Self::one(settings, group, n)))
            .collect()
    }

    /// Tells whether a fault of this kind holds.
    pub fn has_fault(&self, kind: FaultKind, elapsed: Millis) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| fault.kind == kind && fault.holds(elapsed))
    }

    fn one(settings: &StandinSettings, group: &WorkerGroup, n: u32) -> Self {
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

/// Hosts of the own failure domain first, each worker beginning at another one.
fn gateways(hosts: &[StandinHost], group: &WorkerGroup, n: u32) -> Vec<SocketAddr> {
    let (mut near, mut far): (Vec<_>, Vec<_>) =
        hosts.iter().partition(|host| host.domain == group.domain);
    for part in [&mut near, &mut far] {
        let shift = n as usize % part.len().max(1);
        part.rotate_left(shift);
    }
    near.into_iter()
        .chain(far)
        .map(|host| host.worker)
        .collect()
}
