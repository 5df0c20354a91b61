//! Queue order, team quotas, ageing and preemption choice.
//!
//! The order of waiting jobs is: class after ageing; within a class the jobs whose deadline slack
//! is nearly used up, by latest start; then the others by the use of their team against its quota,
//! and by age within the team.

mod claim;
mod class_index;
mod job_queue;
mod position;
mod preempt_action;
mod preemption;
mod push_error;
mod queue_config;
mod queued_job;
mod quota;
mod quotas;
mod rank;
mod team;
mod team_lane;
mod team_shard;
mod team_use;
mod victim;
mod waiting;
mod warning;

pub use claim::Claim;
pub use job_queue::JobQueue;
pub use position::Position;
pub use preempt_action::{PreemptAction, PreemptMeans};
pub use preemption::Preemption;
pub use push_error::PushError;
pub use queue_config::QueueConfig;
pub use queued_job::QueuedJob;
pub use quota::Quota;
pub use quotas::Quotas;
pub use team_use::TeamUse;
pub use victim::Victim;
pub use warning::Warning;
