use std::fmt;

use serde::{Deserialize, Serialize};
use tarragon_names::{Millis, Name, RackName, Resources};

/// One step of a job as its caller described it.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a property of its own that a caller sets"
)]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub resources: Resources,
    /// Rough time of a task.
    pub estimate: Millis,
    /// Earlier steps that must be done first.
    pub depends_on: Vec<u32>,
    /// Tasks save their progress.
    pub checkpointing: bool,
    /// All tasks must run at the same time.
    pub gang: bool,
    /// Tasks are slower when they run on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub label: Option<Name>,
    /// Rack on which the data is.
    pub data_rack: Option<RackName>,
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Copies of a task may run in parallel.
    pub allow_duplicates: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Name>,
    /// Bound of the tail latency of a long-running task.
    pub target_latency: Option<Millis>,
    /// The tasks take only what others leave unused.
    pub best_effort: bool,
    /// Long-running tasks that may be unavailable at the same time.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// What one task takes from the capacity of a worker.
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

/// What decides where and when the tasks may run, for the log.
impl fmt::Display for StepSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            count, resources, ..
        } = self;
        write!(f, "{count} x ({resources}) of {}", self.estimate)?;
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
            write!(f, ", data on {rack}")?;
        }
        if let Some(most) = self.max_per_worker {
            write!(f, ", {most} on a worker")?;
        }
        if let Some(image) = &self.image {
            write!(f, ", image {image}")?;
        }
        if let Some(target) = self.target_latency {
            write!(f, ", target {target}")?;
        }
        if let Some(most) = self.max_unavailable {
            write!(f, ", {most} may be unavailable")?;
        }
        Ok(())
    }
}
