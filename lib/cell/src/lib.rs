//! Replicated state of one cell: catalogue, jobs and idempotency keys.
//!
//! [`Command`]s from the log change the state with the same result on every replica.

mod answer;
mod attempt_end;
mod cell;
mod cell_jobs;
mod cell_keys;
mod cell_query;
mod cell_state;
mod claim_id;
mod command;
mod constants;
mod job_record;
mod job_spec;
mod job_state;
mod job_view;
mod key_table;
mod query;
mod query_answer;
mod quota;
mod registry;
mod task_record;
mod task_state;
mod task_view;
mod write_answers;

pub use answer::Answer;
pub use attempt_end::AttemptEnd;
pub use cell::Cell;
pub use cell_state::CellState;
pub use claim_id::ClaimId;
pub use command::Command;
pub use constants::{
    ENDED_JOB_RETENTION_MS, MAX_ENDED_JOBS, MAX_JOBS_PER_QUERY, MAX_PAYLOAD_BYTES,
    MAX_REQUEST_KEYS, MAX_STORED_BODIES_BYTES, MAX_STORED_BODY_BYTES, MAX_STORED_WRITES,
    MAX_UNFINISHED_JOBS, MAX_UNFINISHED_TASKS, REQUEST_KEY_RETENTION_MS,
};
pub use job_record::JobRecord;
pub use job_spec::JobSpec;
pub use job_state::JobState;
pub use job_view::JobView;
pub use query::Query;
pub use query_answer::QueryAnswer;
pub use quota::Quota;
pub use task_record::{StartCertainty, TaskRecord};
pub use task_state::TaskState;
pub use task_view::TaskView;
