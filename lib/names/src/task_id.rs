use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::JobId;

/// Identifier of one task of a job.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{job}.{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Position of the task within the job, from 0.
    pub index: u32,
}
