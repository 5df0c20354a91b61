//! Replicated state machine of multi-step jobs, the operator's configuration, and workers.
//!
//! [`WorkflowState`] applies [`Command`]s from the replicated log; applying the same log gives the
//! same state on every replica. Placement decisions are made by the dispatcher. This crate stores
//! the decisions and the progress of the resulting runs.

mod advice_terms;
mod answer;
mod command;
mod configuration;
mod failed_run_details;
mod failed_runs;
mod job;
mod job_key;
mod job_phase;
mod job_spec;
mod job_table;
mod key_digest;
mod occurrence;
mod occurrence_set;
mod queue;
mod removed_worker;
mod route_index;
mod run_effect;
mod run_end;
mod run_event;
mod step_progress;
mod step_spec;
mod succession;
mod task_history;
mod task_key;
mod task_progress;
mod team;
mod team_conflict;
mod team_conflict_kind;
mod team_records;
mod team_table;
mod wave;
mod worker_pool;
mod worker_record;
mod worker_records;
mod workflow_snapshot;
mod workflow_state;

pub use advice_terms::AdviceTerms;
pub use answer::Answer;
pub use command::Command;
pub use configuration::Configuration;
pub use failed_run_details::FailedRunDetails;
pub use failed_runs::FailedRuns;
pub use job::{Job, ReadyStep};
pub use job_key::JobKey;
pub use job_phase::JobPhase;
pub use job_spec::JobSpec;
pub use key_digest::KeyDigest;
pub use occurrence::Occurrence;
pub use occurrence_set::OccurrenceSet;
pub use queue::Queue;
pub use removed_worker::RemovedWorker;
pub use route_index::RouteIndex;
pub use run_effect::RunEffect;
pub use run_end::RunEnd;
pub use run_event::RunEvent;
pub use step_progress::StepProgress;
pub use step_spec::StepSpec;
pub use succession::Succession;
pub use task_history::TaskHistory;
pub use task_key::{StepKey, TaskKey};
pub use task_progress::{Placement, TaskPhase, TaskProgress};
pub use team::Team;
pub use team_conflict::TeamConflict;
pub use team_conflict_kind::TeamConflictKind;
pub use team_records::TeamRecords;
pub use team_table::TeamTable;
pub use wave::{MachinePhase, Wave, WaveKey};
pub use worker_pool::WorkerPool;
pub use worker_record::{WorkerIncarnation, WorkerRecord};
pub use workflow_snapshot::WorkflowSnapshot;
pub use workflow_state::WorkflowState;
