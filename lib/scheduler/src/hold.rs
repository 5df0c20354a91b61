use std::sync::Arc;

use tarragon_cell::{JobRecord, JobSpec};
use tarragon_leases::TaskSpec;
use tarragon_names::{Attempt, Class, Millis, Name, Resources, TeamName, WorkerName};

/// Where an attempt stands in the view of the scheduler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Its `Assign` is proposed.
    Proposed,
    /// Assigned in the log; no start was sent by this leader.
    Assigned,
    /// A start was sent, by this leader or maybe by an earlier one.
    Starting,
    /// The worker lists it.
    Running,
    /// Told to checkpoint; it is stopped after a grace time.
    Checkpointing(Millis),
    /// Told to stop, or its start is withdrawn.
    Stopping,
}

/// Parts of a job that the scheduler needs for each of its tasks.
#[derive(Debug)]
pub(crate) struct JobBrief {
    pub team: TeamName,
    pub class: Class,
    pub entry: Name,
    pub spec: Arc<JobSpec>,
}

impl JobBrief {
    pub fn of(record: &JobRecord) -> Self {
        Self {
            team: record.team.clone(),
            class: record.class,
            entry: Name::from(record.pattern.to_string()),
            spec: Arc::clone(&record.spec),
        }
    }
}

/// An attempt that holds capacity of a worker, from its placement until its end is committed.
#[derive(Debug)]
pub(crate) struct Hold {
    pub attempt: Attempt,
    pub worker: WorkerName,
    /// What is reserved for it.
    pub reserved: Resources,
    /// Highest use reported.
    pub peak: Resources,
    pub brief: Arc<JobBrief>,
    pub stage: Stage,
    /// Time of the placement, or of the election for an inherited attempt.
    pub since: Millis,
    /// Time at which its order is sent again.
    pub due: Option<Millis>,
    /// Whether its end is proposed.
    pub ending: bool,
    /// Time at which its processor time was limited to its reservation.
    pub throttled: Option<Millis>,
}

impl Hold {
    /// What the worker needs to know.
    pub fn task_spec(&self) -> TaskSpec {
        let spec = &self.brief.spec;
        TaskSpec {
            name: spec.name.clone(),
            workload: spec.kind,
            resources: self.reserved,
            run_ms: spec.run_ms,
            payload: Arc::from(Arc::clone(&spec.payload)),
        }
    }

    /// Tells whether the attempt is told to end.
    pub fn leaves(&self) -> bool {
        self.ending || matches!(self.stage, Stage::Checkpointing(_) | Stage::Stopping)
    }

    /// Time at which the task should have ended; `None` for a service.
    pub fn ends(&self) -> Option<Millis> {
        (self.brief.spec.run_ms > 0).then(|| self.since + Millis(self.brief.spec.run_ms))
    }
}
