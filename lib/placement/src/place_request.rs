use std::sync::Arc;

use tarragon_names::{DomainName, Millis, Resources, WorkerName, Workload};

use crate::{HeadReservation, WorkerInfo};

/// Searches that one decision makes for tasks that need not be spread.
const MOST_PICKS: usize = 64;

/// Tasks of one job that are to be placed in one decision.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub resources: Resources,
    /// Kind of work; tasks of `AllOrNothing` are placed all or not at all.
    pub workload: Workload,
    /// Whether tasks go to the failure domains that hold the fewest tasks of the job.
    pub spread: bool,
    /// Failure domains of the tasks of the job that already run, one entry a task.
    pub running_in: Vec<DomainName>,
    /// Failure domain that the job's data or caller is in.
    pub prefer_domain: Option<DomainName>,
    /// Workers that must not be used, for example because the job failed there.
    pub exclude: Vec<WorkerName>,
    /// Time at which the tasks end at the latest; `None` if that is not known.
    pub ends_by: Option<Millis>,
    /// Reservation of the job at the head of the queue, which the tasks must not delay.
    pub head_reservation: Option<Arc<HeadReservation>>,
}

impl PlaceRequest {
    /// Asks for `tasks` tasks with `resources` each, spread if they are tasks of a service.
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

    /// Tells whether one task can be placed on the worker now.
    pub(crate) fn accepts(&self, info: &WorkerInfo) -> bool {
        info.schedulable && self.resources.fits(&info.free()) && !self.rules_out(&info.name)
    }

    /// Tasks that go to a worker once it is chosen.
    ///
    /// A job with many tasks takes several at a time, so that a decision makes a bounded number of
    /// searches.
    pub(crate) fn tasks_a_pick(&self) -> usize {
        if self.spread {
            1
        } else {
            (self.tasks as usize).div_ceil(MOST_PICKS)
        }
    }

    /// Tells whether the tasks are placed all or not at all.
    pub(crate) fn is_whole(&self) -> bool {
        self.workload == Workload::AllOrNothing
    }

    /// Tells whether the request rules `worker` out, whatever is free there.
    pub(crate) fn rules_out(&self, worker: &WorkerName) -> bool {
        self.exclude.contains(worker)
            || self
                .head_reservation
                .as_ref()
                .is_some_and(|held| held.blocks(worker, self.ends_by))
    }
}
