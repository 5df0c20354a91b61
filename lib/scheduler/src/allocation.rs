use std::sync::Arc;

use tarragon_cell::{JobRecord, JobSpec};
use tarragon_leases::TaskSpec;
use tarragon_names::{Attempt, Class, Millis, Name, Resources, TeamName, WorkerName};

/// Stage of an attempt as the leader knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The `Assign` command is proposed and not committed yet.
    Proposed,
    /// The assignment is committed; this leader has sent no start order.
    Assigned,
    /// A start order was sent by this leader, or may have been sent by an earlier one.
    Starting,
    /// The worker reports the attempt as running.
    Running,
    /// A checkpoint was ordered; the attempt is stopped if it still runs at this time.
    Checkpointing(Millis),
    /// A stop was ordered, which also withdraws a start that has not arrived.
    Stopping,
}

/// Parts of a job that its allocations share.
#[derive(Debug)]
pub(crate) struct JobSummary {
    pub team: TeamName,
    pub class: Class,
    /// Pattern of the catalogue entry that governs the job; the key of its usage estimates.
    pub entry: Name,
    pub spec: Arc<JobSpec>,
}

impl JobSummary {
    pub fn of(record: &JobRecord) -> Self {
        Self {
            team: record.team.clone(),
            class: record.class,
            entry: Name::from(record.pattern.to_string()),
            spec: Arc::clone(&record.spec),
        }
    }
}

/// Capacity of a worker reserved for one attempt, from its placement until its end is committed.
#[derive(Debug)]
pub(crate) struct Allocation {
    pub attempt: Attempt,
    pub worker: WorkerName,
    pub reserved: Resources,
    /// Maximum of each resource over the usage reports of the worker.
    pub peak_usage: Resources,
    pub summary: Arc<JobSummary>,
    pub stage: Stage,
    /// Time of the placement, or of the election for an inherited attempt.
    pub placed_at: Millis,
    /// Time at which the pending order is sent again; `None` if no order is pending.
    pub resend_at: Option<Millis>,
    pub is_end_proposed: bool,
    /// Time at which the task's CPU was limited to the reservation; `None` if it is not limited.
    pub throttled_at: Option<Millis>,
}

impl Allocation {
    /// Specification that a start order carries; its resources are the reserved ones.
    pub fn task_spec(&self) -> TaskSpec {
        let spec = &self.summary.spec;
        TaskSpec {
            name: spec.name.clone(),
            workload: spec.kind,
            resources: self.reserved,
            run_ms: spec.run_ms,
            payload: Arc::from(Arc::clone(&spec.payload)),
        }
    }

    /// Whether the attempt was ordered to checkpoint or stop, or its end is proposed.
    pub fn is_ending(&self) -> bool {
        self.is_end_proposed || matches!(self.stage, Stage::Checkpointing(_) | Stage::Stopping)
    }

    /// Expected end by the declared run time; `None` for a service.
    pub fn expected_end(&self) -> Option<Millis> {
        (self.summary.spec.run_ms > 0).then(|| self.placed_at + Millis(self.summary.spec.run_ms))
    }
}
