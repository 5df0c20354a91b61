use tarragon_names::WorkerName;
use tarragon_workflow::{JobKey, TaskKey};

/// A decision or a change of belief, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecisionEvent {
    /// Name of the event, in snake case.
    pub name: &'static str,
    /// Whether it should be rare.
    pub is_warning: bool,
    /// The job.
    pub job: Option<JobKey>,
    /// The task and its run.
    pub task: Option<(TaskKey, u32)>,
    /// The worker.
    pub worker: Option<WorkerName>,
    /// The inputs that decided.
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
