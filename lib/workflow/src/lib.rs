//! Replicated state of jobs with steps, of the route document and of the workers that run them.
//!
//! [`Command`]s from the log change the state, always with the same result on every replica. What
//! to run where is decided elsewhere; this crate keeps what was decided and what came of it.

mod advice_terms;
mod answer;
mod command;
mod configuration;
mod job;
mod job_key;
mod job_phase;
mod job_spec;
mod occurrence;
mod queue;
mod run_end;
mod run_event;
mod step_progress;
mod step_spec;
mod task_key;
mod task_progress;
mod wave;
mod worker_pool;
mod worker_record;
mod workflow_snapshot;
mod workflow_state;

pub use advice_terms::AdviceTerms;
pub use answer::Answer;
pub use command::Command;
pub use configuration::Configuration;
pub use job::{Job, ReadyStep};
pub use job_key::JobKey;
pub use job_phase::JobPhase;
pub use job_spec::JobSpec;
pub use occurrence::Occurrence;
pub use queue::Queue;
pub use run_end::RunEnd;
pub use run_event::RunEvent;
pub use step_progress::StepProgress;
pub use step_spec::StepSpec;
pub use task_key::{StepKey, TaskKey};
pub use task_progress::{Placement, TaskPhase, TaskProgress};
pub use wave::{MachinePhase, Wave, WaveKey};
pub use worker_pool::WorkerPool;
pub use worker_record::{WorkerIncarnation, WorkerRecord};
pub use workflow_snapshot::WorkflowSnapshot;
pub use workflow_state::WorkflowState;
