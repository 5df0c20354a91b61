//! Parsing and validation of settings files.
//!
//! A load reports all errors of a file at once, so that an operator can correct them in one round.
//! The reference of all keys is `docs/settings.md`; a test compares it with the keys that are read.

mod document;
mod entry_settings;
mod executor_group;
mod fault_kind;
mod host_address;
mod host_settings;
mod key;
mod limit_settings;
mod log_level;
mod log_settings;
mod parse;
mod policy_settings;
mod section;
mod settings_error;
mod standin_host;
mod standin_settings;
mod timing;
mod token;
mod worker_fault;
mod worker_group;

pub use entry_settings::EntrySettings;
pub use executor_group::ExecutorGroup;
pub use fault_kind::FaultKind;
pub use host_address::HostAddress;
pub use host_settings::HostSettings;
pub use key::Key;
pub use limit_settings::LimitSettings;
pub use log_level::LogLevel;
pub use log_settings::LogSettings;
pub use policy_settings::PolicySettings;
pub use settings_error::SettingsError;
pub use standin_host::StandinHost;
pub use standin_settings::StandinSettings;
pub use timing::Timing;
pub use token::Token;
pub use worker_fault::WorkerFault;
pub use worker_group::WorkerGroup;
