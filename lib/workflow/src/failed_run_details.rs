use serde::{Deserialize, Serialize};

/// Which runs of a task failed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailedRunDetails {
    /// Numbers of the failed runs in ascending order, without those that an earlier release counted.
    pub runs: Vec<u32>,
    /// Runs up to this one may be among the failures that an earlier release counted. It stored only
    /// their number, so none of them counts again.
    pub assumed_up_to: u32,
}
