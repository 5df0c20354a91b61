use crate::TaskKey;

/// Effect of a run event on its job that the event itself does not tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEffect {
    /// The job ended as failed, because a task or gang failed as often as its queue allows.
    JobFailed {
        /// Task with the failed end that was counted last.
        task: TaskKey,
        /// Run of the task that was counted last.
        run: u32,
        /// Number of failed runs of the task or gang.
        failures: u32,
        /// Number of failed runs after which a job of the queue fails.
        max_attempts: u32,
    },
}
