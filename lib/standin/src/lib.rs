//! Stand-in workers and executors for trials and tests.

mod executor;
mod executor_announcer;
mod executor_config;
mod executor_fault;
mod executor_record;
mod executor_server;
mod executor_state;

pub use executor::StandinExecutor;
pub use executor_config::ExecutorConfig;
pub use executor_fault::ExecutorFault;
pub use executor_record::ExecutorRecord;
