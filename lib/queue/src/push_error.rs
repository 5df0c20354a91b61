use derive_more::{Display, Error};

/// Why a job was not queued.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum PushError {
    /// The queue holds its most jobs.
    #[display("the queue is full")]
    QueueFull,
    /// The team has its most jobs in the queue.
    #[display("the team has too many jobs in the queue")]
    TeamFull,
    /// The job is in the queue already.
    #[display("the job is queued already")]
    Duplicate,
}
