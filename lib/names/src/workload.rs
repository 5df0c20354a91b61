use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Kind of work that a job asks for or a catalogue entry allows.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Workload {
    /// Tasks that end by themselves and may start independently.
    #[display("batch")]
    Batch,
    /// Tasks that run until they are stopped.
    #[display("service")]
    Service,
    /// Tasks that must all run at once.
    #[display("all_or_nothing")]
    AllOrNothing,
    /// Requests that are routed to executors.
    #[display("request")]
    Request,
}
