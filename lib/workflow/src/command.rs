use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_names::{Name, TeamName};

use crate::{
    Configuration, JobKey, JobSpec, RunEvent, Succession, TaskKey, TeamTable, Wave, WaveKey,
    WorkerIncarnation, WorkerRecord,
};

/// A change of the replicated state, as stored in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Replaces the configuration if the version is newer.
    PutConfiguration(Configuration),
    /// Adds a job; has no effect if the job is already known.
    Submit {
        /// Key chosen by the caller.
        job: JobKey,
        /// Name of the queue.
        queue: Name,
        /// Description from the caller.
        spec: JobSpec,
    },
    /// Cancels a job that has not ended.
    Cancel {
        /// Key of the job to cancel.
        job: JobKey,
    },
    /// Records placements and ends of runs, in the order given.
    RunEvents(Vec<RunEvent>),
    /// Adds a worker or replaces its record, unless a later incarnation is known.
    PutWorker(WorkerRecord),
    /// Removes an incarnation of a worker that no longer exists. None of its runs continues, but
    /// their ends are recorded separately, as run events.
    RemoveWorker(WorkerIncarnation),
    /// Adds a wave of machine upkeep; has no effect if the wave is already known.
    StartWave {
        /// Number chosen by the operator.
        key: WaveKey,
        /// Machines and deadline.
        wave: Wave,
    },
    /// Marks a machine of a wave whose upkeep has begun or is no longer needed.
    MachineDone {
        /// Wave that the machine belongs to.
        key: WaveKey,
        /// Name of the machine.
        machine: Name,
    },
    /// Marks a machine whose upkeep is about to be ordered. It is committed before the order is
    /// sent, so that a later leader knows of the order.
    MachineOrdered {
        /// Wave that the machine belongs to.
        key: WaveKey,
        /// Name of the machine.
        machine: Name,
        /// Incarnation of the worker on the machine; None if there is none.
        incarnation: Option<WorkerIncarnation>,
    },
    /// Marks a machine as waiting again, because the platform certainly did not carry out the
    /// order.
    MachineRefused {
        /// Wave that the machine belongs to.
        key: WaveKey,
        /// Name of the machine.
        machine: Name,
    },
    /// Records which incarnation of a worker has followed another one. Has no effect if the earlier one is
    /// not remembered.
    PutSuccession(Succession),
    /// Like `PutConfiguration`, for a configuration with teams.
    PutTeamConfiguration {
        /// The configuration without its teams.
        configuration: Configuration,
        /// Its teams.
        teams: Arc<TeamTable>,
    },
    /// Like `Submit`, for a job of a team.
    SubmitForTeam {
        /// Key chosen by the caller.
        job: JobKey,
        /// Name of the queue.
        queue: Name,
        /// Team of the caller.
        team: TeamName,
        /// Description from the caller.
        spec: JobSpec,
    },
    /// Records tasks for which a start order got no answer and may be carried out late. Later leaders learn
    /// of such orders from this alone.
    StartsUnanswered(Vec<TaskKey>),
}
