//! Replicated state of one cell: catalogue, jobs and idempotency keys.
//!
//! [`Command`]s from the log change the state, always with the same result on every replica.

mod answer;
mod command;
mod job_spec;
mod job_view;
mod query;
mod quota;

pub use answer::Answer;
pub use command::{ClaimId, Command, Ended};
pub use job_spec::JobSpec;
pub use job_view::{JobState, JobView, TaskState, TaskView};
pub use query::{Query, QueryAnswer};
pub use quota::Quota;
