use tarragon_names::Resources;
use tarragon_placement::{Placer, PolicyWeights, WorkerInfo};

/// Number, capacity and layout of the workers of a simulated deployment.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) workers: u64,
    pub(crate) workers_per_rack: u64,
    pub(crate) domains: u64,
    pub(crate) capacity: Resources,
    /// Every n-th worker has 8 accelerators; with 0, none has.
    pub(crate) accelerators_every: u64,
    pub(crate) weights: PolicyWeights,
}

impl Deployment {
    pub(crate) const KOVACIK: Self = Self {
        name: "kovacik",
        workers: 50,
        workers_per_rack: 8,
        domains: 3,
        capacity: Resources::new(64_000, 256 * 1_024, 0),
        accelerators_every: 0,
        weights: PolicyWeights::WAITING,
    };

    pub(crate) const LUKANG: Self = Self {
        name: "lukang",
        workers: 50,
        workers_per_rack: 6,
        domains: 4,
        capacity: Resources::new(32_000, 64 * 1_024, 0),
        accelerators_every: 0,
        weights: PolicyWeights::PACKING,
    };

    /// The target deployment of 2,800 workers with 3,200 accelerators in 14 failure domains, scaled
    /// to this number of workers.
    pub(crate) fn target(workers: u64) -> Self {
        Self {
            name: "target",
            workers,
            workers_per_rack: 20,
            domains: 14,
            capacity: Resources::new(64_000, 256 * 1_024, 0),
            accelerators_every: 7,
            weights: PolicyWeights::default(),
        }
    }

    pub(crate) fn worker_infos(&self) -> impl Iterator<Item = WorkerInfo> + use<> {
        let deployment = self.clone();
        (0..deployment.workers).map(move |n| {
            let rack = n / deployment.workers_per_rack;
            let mut capacity = deployment.capacity;
            if deployment.accelerators_every > 0 && n % deployment.accelerators_every == 0 {
                capacity.accelerators = 8;
            }
            WorkerInfo::new(
                format!("worker-{n:05}").into(),
                format!("domain-{:02}", rack % deployment.domains).into(),
                format!("rack-{rack:04}").into(),
                capacity,
            )
        })
    }

    pub(crate) fn add_workers(&self, placer: &dyn Placer) {
        self.worker_infos()
            .for_each(|info| placer.upsert_worker(info));
    }

    pub(crate) fn total_capacity(&self) -> Resources {
        self.worker_infos().map(|info| info.capacity).sum()
    }
}
