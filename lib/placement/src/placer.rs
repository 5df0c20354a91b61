use std::fmt::Debug;

use tarragon_names::{Resources, WorkerName};

use crate::{PlaceRequest, Placement, Totals, WorkerInfo};

/// Chooses the workers for tasks and records the reservations on each worker.
pub trait Placer: Debug + Send + Sync {
    /// Adds a worker, or replaces the recorded state of a known one including its reservations.
    fn upsert_worker(&self, info: WorkerInfo);

    /// Removes a worker with its reservations; false if the worker is unknown.
    fn remove_worker(&self, worker: &WorkerName) -> bool;

    /// Allows or forbids new tasks on a worker; false if the worker is unknown.
    fn set_schedulable(&self, worker: &WorkerName, schedulable: bool) -> bool;

    /// Chooses workers and reserves the capacity on them.
    ///
    /// Places fewer tasks than requested if not all of them fit. Of an all-or-nothing request,
    /// either all tasks are placed or none.
    fn place(&self, req: &PlaceRequest) -> Placement;

    /// Releases the reservation of a task; ignored for an unknown worker.
    fn release(&self, worker: &WorkerName, resources: &Resources);

    /// Reserves resources of a task that already runs on a worker, even beyond its capacity.
    ///
    /// False if the worker is unknown, or if its reservations now exceed its capacity.
    fn reserve(&self, worker: &WorkerName, resources: &Resources) -> bool;

    /// Unreserved capacity of a worker; `None` if the worker is unknown.
    fn free(&self, worker: &WorkerName) -> Option<Resources>;

    /// The largest free amount of each resource over the schedulable workers.
    ///
    /// A task that needs more fits on no worker now. A task that needs less may still fit on none,
    /// because the amounts can be those of different workers.
    fn largest_free(&self) -> Resources;

    /// The largest capacity of each resource over all workers.
    fn largest_capacity(&self) -> Resources;

    /// Whether a task of this size would fit on some worker without reservations.
    fn fits_capacity(&self, resources: &Resources) -> bool;

    /// Number of tasks of this size that fit on schedulable workers now, at most `limit`.
    ///
    /// Visits every worker, so it is meant for the choice of tasks to preempt, not for every
    /// decision.
    fn count_fitting_tasks(&self, resources: &Resources, limit: u32) -> u32 {
        let mut count = 0;
        self.visit(&mut |info| {
            let mut free = info.free();
            while info.schedulable
                && count < limit
                && let Some(remainder) = free.checked_sub(resources)
            {
                free = remainder;
                count += 1;
            }
        });
        count
    }

    /// Number, capacity and reservations of all workers.
    fn totals(&self) -> Totals;

    /// Calls `f` for each worker, with one shard locked at a time.
    fn visit(&self, f: &mut dyn FnMut(&WorkerInfo));
}
