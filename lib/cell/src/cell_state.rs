use serde::{Deserialize, Serialize};
use tarragon_catalogue::Catalogue;
use tarragon_names::{IdempotencyKey, JobId};

use crate::{
    JobRecord,
    key_table::{Claim, RequestKey},
    registry::Registry,
};

/// Whole state of a cell, as a snapshot stores it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CellState {
    pub(crate) catalogue: Catalogue,
    pub(crate) registry: Registry,
    pub(crate) jobs: Vec<JobRecord>,
    pub(crate) job_keys: Vec<(IdempotencyKey, JobId)>,
    pub(crate) request_keys: Vec<(RequestKey, Claim)>,
}
