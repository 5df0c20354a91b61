use std::time::Duration;

use serde::{Deserialize, Serialize};
use tarragon_dispatch::AdviceRequest;
use tarragon_names::{DomainName, HostName, MemberId, Millis, Name};
use tarragon_workflow::{Configuration, JobSpec, Wave, WaveKey, WorkerRecord};

/// Announcement of a host to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Host that announces itself.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Identity of the host's replica; `None` on a host without a disk.
    pub member: Option<MemberId>,
    /// Whether the host is stopping; it then relays no more requests for advice.
    pub is_stopping: bool,
}

/// A heartbeat of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerReport {
    /// State of the worker, as the worker reports it.
    pub record: WorkerRecord,
    /// Sequence number, which rises with each heartbeat of one incarnation.
    pub sequence: u64,
    /// Shortest time until the worker leaves; `None` if it is not leaving.
    pub leaves_in: Option<Millis>,
}

/// Rate at which a request with a large body certainly passes a link between two hosts, in bytes per
/// millisecond.
const LEAST_LINK_RATE: usize = 75;

/// Size of the largest configuration, in bytes, for the time that reading it takes.
const LARGE_CONFIGURATION_BYTES: usize = 300_000;

/// A request to the leader; [`Request::Advise`] goes from the leader to another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Request {
    /// A caller submits a job.
    Submit {
        /// Host name in the caller's request.
        host: Name,
        /// Path of the caller's request, which names the queue and the job.
        path: Name,
        /// Job to be run.
        spec: JobSpec,
    },
    /// A caller asks for the state of a job, or for the number of pending jobs of a queue.
    ReadStatus {
        /// Host name in the caller's request.
        host: Name,
        /// Path of the caller's request, which names the queue and perhaps a job.
        path: Name,
    },
    /// A caller cancels a job.
    Cancel {
        /// Host name in the caller's request.
        host: Name,
        /// Path of the caller's request, which names the queue and the job.
        path: Name,
    },
    /// The operator replaces the configuration.
    PutConfiguration(Configuration),
    /// The operator reads the configuration.
    ReadConfiguration,
    /// A worker sends a heartbeat.
    Announce(WorkerReport),
    /// A worker leaves.
    Leave(tarragon_names::WorkerName),
    /// The operator starts a wave of upkeep.
    StartWave {
        /// Number that the operator chose for the wave.
        key: WaveKey,
        /// Machines of the wave and its limits.
        wave: Wave,
    },
    /// The operator asks whether a wave is completed.
    CheckWave(WaveKey),
    /// A host announces itself.
    Hello(Hello),
    /// The leader requests advice through another host.
    Advise(AdviceRequest),
}

impl Request {
    /// Time that the body of the request, or of its answer, may take on the link to the leader, in
    /// addition to the time of a small one.
    pub(crate) fn transfer_time(&self) -> Duration {
        let bytes = match self {
            Self::PutConfiguration(configuration) => configuration.text.len(),
            Self::ReadConfiguration => LARGE_CONFIGURATION_BYTES,
            _ => 0,
        };
        Duration::from_millis((bytes / LEAST_LINK_RATE) as u64)
    }
}
