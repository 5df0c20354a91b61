use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tarragon_names::{Name, WorkerName};

use crate::{Configuration, Job, Queue, Wave, WaveKey, WorkerRecord};

/// The whole state, as a snapshot keeps it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkflowSnapshot {
    /// Configuration in force.
    pub configuration: Configuration,
    /// Every queue that a job may belong to, also those that the configuration has dropped.
    pub queues: BTreeMap<Name, Queue>,
    /// The jobs.
    pub jobs: Vec<Job>,
    /// The workers.
    pub workers: BTreeMap<WorkerName, WorkerRecord>,
    /// Waves of upkeep.
    pub waves: BTreeMap<WaveKey, Wave>,
    /// Latest time in the log.
    pub now_ms: u64,
}
