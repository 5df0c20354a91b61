use derive_more::{Display, Error};
use tarragon_codes::{Code, Failure};

/// A fault in a settings file with its place.
#[derive(Clone, Debug, Display, Eq, Error, Ord, PartialEq, PartialOrd)]
#[display("line {line}, {key}: {cause}")]
pub struct SettingsError {
    /// Line of the file, from 1; 0 if the fault concerns the whole file.
    pub line: usize,
    /// Path of the key, as in `timing.worker_lease_ms`.
    pub key: String,
    /// What is wrong with it. Never holds a secret.
    pub cause: String,
}

impl From<&SettingsError> for Failure {
    fn from(fault: &SettingsError) -> Self {
        Self::new(Code::BadSettings, fault.to_string())
    }
}
