use crate::{FirstFit, PlaceRequest, Placement, Placer, Totals, WorkerInfo};
use tarragon_names::{Resources, WorkerName};

/// Baseline that draws two workers with room and takes the one with more free capacity.
#[derive(Debug)]
pub struct RandomOfTwo {
    inner: FirstFit,
}

impl RandomOfTwo {
    /// A placer without workers that draws from `seed`.
    pub fn new(_seed: u64) -> Self {
        Self {
            inner: FirstFit::new(),
        }
    }
}

impl Placer for RandomOfTwo {
    fn upsert_worker(&self, info: WorkerInfo) {
        self.inner.upsert_worker(info);
    }

    fn remove_worker(&self, worker: &WorkerName) -> bool {
        self.inner.remove_worker(worker)
    }

    fn set_schedulable(&self, worker: &WorkerName, schedulable: bool) -> bool {
        self.inner.set_schedulable(worker, schedulable)
    }

    fn place(&self, req: &PlaceRequest) -> Placement {
        self.inner.place(req)
    }

    fn release(&self, worker: &WorkerName, resources: &Resources) {
        self.inner.release(worker, resources);
    }

    fn reserve(&self, worker: &WorkerName, resources: &Resources) -> bool {
        self.inner.reserve(worker, resources)
    }

    fn free(&self, worker: &WorkerName) -> Option<Resources> {
        self.inner.free(worker)
    }

    fn largest_free(&self) -> Resources {
        self.inner.largest_free()
    }

    fn largest_capacity(&self) -> Resources {
        self.inner.largest_capacity()
    }

    fn fits_capacity(&self, resources: &Resources) -> bool {
        self.inner.fits_capacity(resources)
    }

    fn totals(&self) -> Totals {
        self.inner.totals()
    }

    fn visit(&self, f: &mut dyn FnMut(&WorkerInfo)) {
        self.inner.visit(f);
    }
}
