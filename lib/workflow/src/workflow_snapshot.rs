use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tarragon_names::{Name, WorkerName};

use crate::{Configuration, Job, Queue, Wave, WaveKey, WorkerRecord};

/// Serializable copy of a whole [`WorkflowState`](crate::WorkflowState).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkflowSnapshot {
    /// Configuration in force at the time of the snapshot.
    pub configuration: Configuration,
    /// Queues of the configuration in force, and removed ones, because jobs may still belong to them.
    pub queues: BTreeMap<Name, Queue>,
    /// Jobs that have not ended, and ended jobs that are still retained.
    pub jobs: Vec<Job>,
    /// Latest known incarnation of each worker.
    pub workers: BTreeMap<WorkerName, WorkerRecord>,
    /// Waves of machine upkeep, including completed ones.
    pub waves: BTreeMap<WaveKey, Wave>,
    /// Latest unix time of an applied command, in milliseconds.
    pub now_ms: u64,
}
