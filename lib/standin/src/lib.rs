//! Stand-in workers and executors for trials and tests.

mod task_log;
mod worker;
mod worker_clock;
mod worker_config;
mod worker_link;
mod worker_task;
mod worker_tasks;

pub use task_log::TaskLog;
pub use worker::StandinWorker;
pub use worker_config::WorkerConfig;
pub use worker_task::WorkerTask;
