//! Queue order, team quotas, ageing and preemption choice.
//!
//! Waiting jobs are ordered by class after ageing. Within a class, the jobs that must start soon to
//! meet their deadline come first, by latest start. The others follow by the share of its quota
//! that their team uses, and within a team by time of acceptance.

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
mod team_queue;
mod team_shard;
mod team_usage;
mod victim;
mod waiting_job;

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
pub use team_usage::{FULL_SHARE, TeamUsage};
pub use victim::Victim;
