use derive_more::Display;

use crate::JobPhase;

/// Result of applying a command.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Answer {
    /// The change is in force, or had been before.
    #[display("done")]
    Done,
    /// The configuration in force has this version or a higher one.
    #[display("held")]
    NotNewer,
    /// Another content is in force under the same version.
    #[display("conflict")]
    Conflict,
    /// No such job is known.
    #[display("no such job")]
    NoSuchJob,
    /// The job had ended before.
    #[display("ended before as {_0}")]
    EndedBefore(JobPhase),
}
