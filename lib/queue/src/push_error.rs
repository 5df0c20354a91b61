use derive_more::{Display, Error};

/// Reason why a job was not added to the queue.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum PushError {
    /// The queue has reached `QueueConfig::max_jobs`.
    #[display("the queue is full")]
    QueueFull,
    /// The team has reached `QueueConfig::max_team_jobs`.
    #[display("the team has too many jobs in the queue")]
    TeamFull,
    /// The queue already contains a job with this identity.
    #[display("the job is queued already")]
    Duplicate,
}
