//! Stand-in workers and executors for trials and tests.
//!
//! They use the same protocols as real workers and backend servers, but only simulate the work. They
//! record the tasks and requests that they run, and can inject faults.

mod executor;
mod executor_announcer;
mod executor_config;
mod executor_fault;
mod executor_server;
mod executor_state;
mod request_record;
mod task_log;
mod worker;
mod worker_clock;
mod worker_config;
mod worker_link;
mod worker_task;
mod worker_tasks;

pub use executor::StandinExecutor;
pub use executor_config::ExecutorConfig;
pub use executor_fault::ExecutorFault;
pub use request_record::RequestRecord;
pub use task_log::TaskLog;
pub use worker::StandinWorker;
pub use worker_config::WorkerConfig;
pub use worker_task::WorkerTask;
