use serde::{Deserialize, Serialize};
use tarragon_dispatch::AdviceRequest;
use tarragon_names::{DomainName, HostName, MemberId, Millis, Name};
use tarragon_workflow::{Configuration, JobSpec, Wave, WaveKey, WorkerRecord};

/// A host as it announces itself to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Identity of its replica, if it has one.
    pub member: Option<MemberId>,
    /// It stops and takes no more work.
    pub is_stopping: bool,
}

/// A heartbeat of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerReport {
    /// What it says of itself.
    pub record: WorkerRecord,
    /// Rises with each heartbeat of one life.
    pub sequence: u64,
    /// Least time until it leaves, if it is leaving.
    pub leaves_in: Option<Millis>,
}

/// A request to the leading host, or from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Request {
    /// A caller submits a job.
    Submit {
        /// Host name in the caller's request.
        host: Name,
        /// Its path.
        path: Name,
        /// The job.
        spec: JobSpec,
    },
    /// A caller asks for the state of a job, or for the length of a queue.
    ReadStatus {
        /// Host name in the caller's request.
        host: Name,
        /// Its path.
        path: Name,
    },
    /// A caller cancels a job.
    Cancel {
        /// Host name in the caller's request.
        host: Name,
        /// Its path.
        path: Name,
    },
    /// The operator sends the configuration.
    PutConfiguration(Configuration),
    /// The operator reads the configuration.
    ReadConfiguration,
    /// A worker announces itself.
    Announce(WorkerReport),
    /// A worker leaves.
    Leave(tarragon_names::WorkerName),
    /// The operator asks for a wave of upkeep.
    StartWave {
        /// Its number.
        key: WaveKey,
        /// The wave.
        wave: Wave,
    },
    /// The operator asks how far a wave is.
    CheckWave(WaveKey),
    /// A host announces itself.
    Hello(Hello),
    /// The leader has a host ask for advice.
    Advise(AdviceRequest),
}
