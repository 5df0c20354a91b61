use std::sync::Arc;

use tarragon_names::{DomainName, Millis, Resources, WorkerName, Workload};

use crate::{HeadReservation, WorkerInfo};

/// Maximum number of searches in one decision for tasks that need not be spread.
const MAX_SEARCHES: usize = 64;

/// Request to place tasks of one job in one decision.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Workload of the job; for `AllOrNothing`, either all tasks are placed or none.
    pub workload: Workload,
    /// Whether to prefer failure domains with the fewest tasks of the job.
    pub spread: bool,
    /// Failure domains of the running tasks of the job, one element per task.
    pub running_in: Vec<DomainName>,
    /// Failure domain of the job's data or caller.
    pub prefer_domain: Option<DomainName>,
    /// Workers that must not be used, for example because the job failed there.
    pub exclude: Vec<WorkerName>,
    /// Latest expected end of the tasks; `None` if unknown.
    pub ends_by: Option<Millis>,
    /// Reservation of the job at the head of the queue, which the tasks must not delay; `None` if
    /// there is no reservation to respect.
    pub head_reservation: Option<Arc<HeadReservation>>,
}

impl PlaceRequest {
    /// A request for `tasks` tasks with `resources` each. The tasks of a service are spread.
    pub fn new(tasks: u32, resources: Resources, workload: Workload) -> Self {
        Self {
            tasks,
            resources,
            workload,
            spread: workload == Workload::Service,
            running_in: Vec::new(),
            prefer_domain: None,
            exclude: Vec::new(),
            ends_by: None,
            head_reservation: None,
        }
    }

    /// Whether one task can be placed on the worker now.
    pub(crate) fn accepts(&self, info: &WorkerInfo) -> bool {
        info.schedulable && self.resources.fits(&info.free()) && !self.excludes(&info.name)
    }

    /// Number of tasks to place on the worker that one search finds, as far as they fit.
    ///
    /// It is above 1 for a job with many tasks, which limits the searches of a decision.
    pub(crate) fn tasks_per_search(&self) -> usize {
        if self.spread {
            1
        } else {
            (self.tasks as usize).div_ceil(MAX_SEARCHES)
        }
    }

    /// Whether either all tasks must be placed or none.
    pub(crate) fn is_all_or_nothing(&self) -> bool {
        self.workload == Workload::AllOrNothing
    }

    /// Whether the request does not allow `worker`, regardless of its free capacity.
    pub(crate) fn excludes(&self, worker: &WorkerName) -> bool {
        self.exclude.contains(worker)
            || self
                .head_reservation
                .as_ref()
                .is_some_and(|reservation| reservation.blocks(worker, self.ends_by))
    }
}
