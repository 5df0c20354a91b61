use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_dispatch::AdviceRequest;
use tarragon_names::{DomainName, HostCapacity, HostName, MemberId, Millis, Name};
use tarragon_workflow::{
    Configuration, JobSpec, KeyDigest, TeamTable, Wave, WaveKey, WorkerRecord,
};

/// Announcement of a host to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Host that announces itself.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Identity of the host's replica; `None` on a host without a disk.
    pub member: Option<MemberId>,
    /// What the host may use of its machine.
    pub capacity: HostCapacity,
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

/// Size above which a configuration is not passed on between hosts, in bytes.
const LARGE_CONFIGURATION_BYTES: usize = 64 << 10;

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
    /// A caller's request that carries a key.
    WithKey {
        /// Digest of the key.
        key: KeyDigest,
        /// The request.
        request: Box<Request>,
    },
    /// Like `PutConfiguration`, for a configuration with teams.
    PutTeamConfiguration {
        /// The configuration without its teams.
        configuration: Configuration,
        /// Its teams.
        teams: Arc<TeamTable>,
    },
    /// A host asks a seed without a replica whether it may form the group alone.
    FormGroup {
        /// Host that asks.
        host: HostName,
    },
}

impl Request {
    /// The request that puts a configuration.
    pub fn put_configuration(configuration: Configuration) -> Self {
        if configuration.teams.is_empty() {
            return Self::PutConfiguration(configuration);
        }
        let teams = Arc::clone(&configuration.teams);
        Self::PutTeamConfiguration {
            configuration,
            teams,
        }
    }

    /// A caller's request with the key that it carries, if any.
    #[must_use]
    pub fn with_key(self, key: Option<KeyDigest>) -> Self {
        match key {
            Some(key) => Self::WithKey {
                key,
                request: Box::new(self),
            },
            None => self,
        }
    }

    /// Configuration that the request puts.
    pub(crate) fn configuration(&self) -> Option<&Configuration> {
        match self {
            Self::PutConfiguration(configuration)
            | Self::PutTeamConfiguration { configuration, .. } => Some(configuration),
            _ => None,
        }
    }

    /// Job that a caller's request is about, as its path names it.
    pub(crate) fn job(&self) -> Option<Name> {
        let path = match self {
            Self::WithKey { request, .. } => return request.job(),
            Self::Submit { path, .. }
            | Self::ReadStatus { path, .. }
            | Self::Cancel { path, .. } => path,
            _ => return None,
        };
        let job = path.rsplit('/').next().filter(|job| !job.is_empty())?;
        Some(Name::from(job))
    }

    /// Returns whether the leader may commit something for the request.
    pub(crate) fn changes_state(&self) -> bool {
        match self {
            Self::Submit { .. }
            | Self::Cancel { .. }
            | Self::PutConfiguration(_)
            | Self::PutTeamConfiguration { .. }
            | Self::Announce(_)
            | Self::Leave(_)
            | Self::StartWave { .. }
            | Self::Hello(_) => true,
            Self::ReadStatus { .. }
            | Self::ReadConfiguration
            | Self::CheckWave(_)
            | Self::FormGroup { .. }
            | Self::Advise(_) => false,
            Self::WithKey { request, .. } => request.changes_state(),
        }
    }

    /// Label of the request in metrics.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Submit { .. } => "submit",
            Self::ReadStatus { .. } => "look",
            Self::Cancel { .. } => "cancel",
            Self::PutConfiguration(_) | Self::PutTeamConfiguration { .. } => "put_configuration",
            Self::WithKey { request, .. } => request.kind(),
            Self::ReadConfiguration => "read_configuration",
            Self::Announce(_) => "announce",
            Self::Leave(_) => "leave",
            Self::StartWave { .. } => "start_wave",
            Self::CheckWave(_) => "look_at_wave",
            Self::Hello(_) => "hello",
            Self::Advise(_) => "advise",
            Self::FormGroup { .. } => "form_group",
        }
    }
}

/// Returns whether a configuration takes long on the link of a small host, so that the operator had
/// better exchange it with the leader directly.
pub(crate) fn is_large_configuration(text: &Name) -> bool {
    text.len() > LARGE_CONFIGURATION_BYTES
}
