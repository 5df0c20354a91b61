//! Queue order, team quotas, ageing and preemption choice.
//!
//! The order of waiting jobs is: class after ageing; within a class the jobs whose deadline slack
//! is nearly used up, by latest start; then the others by the use of their team against its quota,
//! and by age within the team.

mod class_index;
mod deadline_warning;
mod job_queue;
mod preempt_action;
mod preemption_policy;
mod preemptor;
mod push_error;
mod queue_config;
mod queue_position;
mod queued_job;
mod quota;
mod quotas;
mod rank;
mod team;
mod team_lane;
mod team_shard;
mod team_usage;
mod victim;
mod waiting;

pub use deadline_warning::DeadlineWarning;
pub use job_queue::JobQueue;
pub use preempt_action::{PreemptAction, PreemptMethod};
pub use preemption_policy::PreemptionPolicy;
pub use preemptor::Preemptor;
pub use push_error::PushError;
pub use queue_config::QueueConfig;
pub use queue_position::QueuePosition;
pub use queued_job::QueuedJob;
pub use quota::Quota;
pub use quotas::Quotas;
pub use team_usage::TeamUsage;
pub use victim::Victim;
