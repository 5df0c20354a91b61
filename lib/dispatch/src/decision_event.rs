use tarragon_names::WorkerName;
use tarragon_workflow::{JobKey, TaskKey};

/// A decision of the dispatcher, or a change in what it knows about a worker, for the event log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecisionEvent {
    /// Name of the event, in snake case.
    pub name: &'static str,
    /// Whether the event is logged as a warning; it should then be rare.
    pub is_warning: bool,
    /// Job concerned, also set for events about one of its tasks.
    pub job: Option<JobKey>,
    /// Task concerned, with the number of its run.
    pub task: Option<(TaskKey, u32)>,
    /// Worker concerned.
    pub worker: Option<WorkerName>,
    /// Inputs that led to the decision; empty if the name says everything.
    pub detail: String,
}

impl DecisionEvent {
    pub(crate) fn new(name: &'static str, detail: String) -> Self {
        Self {
            name,
            is_warning: false,
            job: None,
            task: None,
            worker: None,
            detail,
        }
    }

    pub(crate) fn warning(mut self) -> Self {
        self.is_warning = true;
        self
    }

    pub(crate) fn task(mut self, task: TaskKey, run: u32) -> Self {
        self.job = Some(task.step.job);
        self.task = Some((task, run));
        self
    }

    pub(crate) fn job(mut self, job: JobKey) -> Self {
        self.job = Some(job);
        self
    }

    pub(crate) fn worker(mut self, worker: &WorkerName) -> Self {
        self.worker = Some(worker.clone());
        self
    }
}
