//! Replicated state of jobs with steps, of the route document and of the workers that run them.
//!
//! [`Command`]s from the log change the state, always with the same result on every replica. What
//! to run where is decided elsewhere; this crate keeps what was decided and what came of it.

mod advice_terms;
mod answer;
mod command;
mod document;
mod end;
mod flow;
mod flow_image;
mod job;
mod job_key;
mod job_phase;
mod job_spec;
mod occurrence;
mod order_record;
mod queue;
mod service;
mod step_run;
mod step_spec;
mod task_key;
mod task_run;
mod wave;
mod worker_record;

pub use advice_terms::AdviceTerms;
pub use answer::Answer;
pub use command::Command;
pub use document::Document;
pub use end::End;
pub use flow::Flow;
pub use flow_image::FlowImage;
pub use job::{Job, ReadyStep};
pub use job_key::JobKey;
pub use job_phase::JobPhase;
pub use job_spec::JobSpec;
pub use occurrence::Occurrence;
pub use order_record::OrderRecord;
pub use queue::Queue;
pub use service::Service;
pub use step_run::StepRun;
pub use step_spec::StepSpec;
pub use task_key::{StepKey, TaskKey};
pub use task_run::{Placement, TaskPhase, TaskRun};
pub use wave::{MachinePhase, Wave, WaveKey};
pub use worker_record::{WorkerLife, WorkerRecord};
