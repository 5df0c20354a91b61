use derive_more::{Display, Error};
use tarragon_codes::{Code, Failure};

/// An error in a settings file and its location.
#[derive(Clone, Debug, Display, Eq, Error, Ord, PartialEq, PartialOrd)]
#[display("line {line}, {key}: {cause}")]
pub struct SettingsError {
    /// Line of the file, from 1; 0 if the error concerns the whole file.
    pub line: usize,
    /// Path of the key, such as `timing.worker_lease_ms` or `hosts[1].name`. It is `syntax` for text
    /// that is not TOML, and the path of the file if the file cannot be read.
    pub key: String,
    /// Reason why the value is rejected. Never contains a secret.
    pub cause: String,
}

impl From<&SettingsError> for Failure {
    fn from(error: &SettingsError) -> Self {
        Self::new(Code::BadSettings, error.to_string())
    }
}
