use derive_more::Display;

use crate::{JobPhase, RunEffect};

/// Result of applying a command.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Answer {
    /// The command was applied, or an earlier command had the same effect.
    #[display("done")]
    Done,
    /// The run events were applied, with these effects.
    #[display("done")]
    Recorded(Vec<RunEffect>),
    /// The state already holds this or a newer version of the configuration, or a later incarnation
    /// of the worker.
    #[display("held")]
    NotNewer,
    /// The configuration in force has the same version but different content.
    #[display("conflict")]
    Conflict,
    /// The job is unknown or is no longer retained.
    #[display("no such job")]
    NoSuchJob,
    /// The queue of the job was dropped before the job was submitted; nothing was changed.
    #[display("no such queue")]
    NoSuchQueue,
    /// The team of the job was dropped before the job was submitted; nothing was changed.
    #[display("no such team")]
    NoSuchTeam,
    /// The job ended before it could be cancelled.
    #[display("ended before as {_0}")]
    EndedBefore(JobPhase),
}
