use std::fmt::Debug;

use tarragon_names::{Resources, WorkerName};

use crate::{PlaceRequest, Placement, Totals, WorkerInfo};

/// Decides which worker runs a task and keeps what is reserved on each worker.
pub trait Placer: Debug + Send + Sync {
    /// Adds a worker, or replaces all that is known of it, its reservations included.
    fn upsert_worker(&self, info: WorkerInfo);

    /// Removes a worker with its reservations; false if it is not known.
    fn remove_worker(&self, worker: &WorkerName) -> bool;

    /// Allows or forbids new tasks on a worker; false if it is not known.
    fn set_schedulable(&self, worker: &WorkerName, schedulable: bool) -> bool;

    /// Chooses workers and reserves on them at once.
    ///
    /// Fewer tasks than requested are placed if there is no room, except that an all-or-nothing
    /// request is placed whole or not at all.
    fn place(&self, req: &PlaceRequest) -> Placement;

    /// Returns what a task held; ignored for a worker that is not known.
    fn release(&self, worker: &WorkerName, resources: &Resources);

    /// Counts work that runs on a worker already, even beyond its capacity.
    ///
    /// False if the worker is not known or now holds more than its capacity.
    fn reserve(&self, worker: &WorkerName, resources: &Resources) -> bool;

    /// Capacity of a worker that is not reserved.
    fn free(&self, worker: &WorkerName) -> Option<Resources>;

    /// The greatest free amount of each resource over schedulable workers.
    ///
    /// A task that exceeds it fits nowhere now; one that does not may still fit nowhere, because
    /// the amounts can come from different workers.
    fn largest_free(&self) -> Resources;

    /// The greatest capacity of each resource over all workers.
    fn largest_capacity(&self) -> Resources;

    /// Tells whether some worker could hold a task of this size if it were empty.
    fn fits_capacity(&self, resources: &Resources) -> bool;

    /// Number of tasks of this size that fit on schedulable workers now, at most `most`.
    ///
    /// Visits every worker; meant for the choice of work that gives way, not for each decision.
    fn count_fitting_tasks(&self, resources: &Resources, most: u32) -> u32 {
        let mut count = 0;
        self.visit(&mut |info| {
            let mut free = info.free();
            while info.schedulable
                && count < most
                && let Some(rest) = free.checked_sub(resources)
            {
                free = rest;
                count += 1;
            }
        });
        count
    }

    /// Sums over all workers.
    fn totals(&self) -> Totals;

    /// Calls `f` for each worker, shard by shard.
    fn visit(&self, f: &mut dyn FnMut(&WorkerInfo));
}
