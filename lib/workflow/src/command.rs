use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::{
    Configuration, JobKey, JobSpec, RunEvent, Wave, WaveKey, WorkerIncarnation, WorkerRecord,
};

/// A change of the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// The operator sends the whole configuration.
    PutConfiguration(Configuration),
    /// A caller submits a job to the queue with this route name.
    Submit {
        /// The job.
        job: JobKey,
        /// Name of the route that led to the queue.
        queue: Name,
        /// The job's description.
        spec: JobSpec,
    },
    /// A caller cancels a job.
    Cancel {
        /// The job.
        job: JobKey,
    },
    /// Decisions and news of the leader about runs.
    RunEvents(Vec<RunEvent>),
    /// A worker announced itself, or what it says of itself changed.
    PutWorker(WorkerRecord),
    /// A life of a worker has ended; all that ran there has ended too.
    RemoveWorker(WorkerIncarnation),
    /// The operator asks for the upkeep of machines.
    StartWave {
        /// Number of the wave.
        key: WaveKey,
        /// The wave.
        wave: Wave,
    },
    /// The upkeep of a machine of a wave is ordered, or has been seen to begin, or is not needed.
    MachineDone {
        /// The wave.
        key: WaveKey,
        /// The machine.
        machine: Name,
    },
}
