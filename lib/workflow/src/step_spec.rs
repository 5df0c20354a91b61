use std::fmt;

use serde::{Deserialize, Serialize};
use tarragon_names::{Millis, Name, RackName, Resources};

/// Description of one step of a job as sent by the caller.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property that the caller sets"
)]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of tasks in the step.
    pub count: u32,
    /// Resources required by each task.
    pub resources: Resources,
    /// Approximate run time of a task, estimated by the caller.
    pub estimate: Millis,
    /// Numbers of the earlier steps that must be done first.
    pub depends_on: Vec<u32>,
    /// Whether the tasks save checkpoints from which a later run can resume.
    pub checkpointing: bool,
    /// Whether all tasks must run at the same time.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have; None if any worker is suitable.
    pub label: Option<Name>,
    /// Rack that holds the input data; its workers are preferred.
    pub data_rack: Option<RackName>,
    /// Maximum number of tasks of the step on one worker; None for no limit.
    pub max_per_worker: Option<u32>,
    /// Whether several runs of the same task may go on in parallel.
    pub allow_duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Program that the tasks run; tasks of the same image behave alike.
    pub image: Option<Name>,
    /// Maximum tail latency of a long-running task; None if latency is not measured.
    pub target_latency: Option<Millis>,
    /// Whether the tasks use only processor time that other tasks leave unused.
    pub best_effort: bool,
    /// Maximum number of long-running tasks that may be unavailable at the same time during upkeep;
    /// None for no limit.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Resources that one task reserves on a worker. Best-effort tasks reserve no processor time.
    pub fn reserved(&self) -> Resources {
        if self.best_effort {
            Resources {
                cpu_milli: 0,
                ..self.resources
            }
        } else {
            self.resources
        }
    }
}

/// Writes the properties that affect placement, for the log.
impl fmt::Display for StepSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            count, resources, ..
        } = self;
        write!(f, "{count} x ({resources}), estimate {}", self.estimate)?;
        let flags = [
            (self.gang, "gang"),
            (self.same_rack, "same rack"),
            (self.checkpointing, "checkpointing"),
            (self.allow_duplicates, "copies"),
            (self.long_running, "long-running"),
            (self.best_effort, "fills"),
        ];
        for (_, flag) in flags.iter().filter(|(is_set, _)| *is_set) {
            write!(f, ", {flag}")?;
        }
        if !self.depends_on.is_empty() {
            write!(f, ", after {:?}", self.depends_on)?;
        }
        if let Some(label) = &self.label {
            write!(f, ", label {label}")?;
        }
        if let Some(rack) = &self.data_rack {
            write!(f, ", data on rack {rack}")?;
        }
        if let Some(limit) = self.max_per_worker {
            write!(f, ", at most {limit} per worker")?;
        }
        if let Some(image) = &self.image {
            write!(f, ", image {image}")?;
        }
        if let Some(target) = self.target_latency {
            write!(f, ", target latency {target}")?;
        }
        if let Some(limit) = self.max_unavailable {
            write!(f, ", at most {limit} unavailable")?;
        }
        Ok(())
    }
}
