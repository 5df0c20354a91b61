use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::Code;

/// Result of an operation whose errors carry a numbered code.
pub type Outcome<T> = Result<T, Failure>;

/// An error with its numbered code and the cause of this occurrence.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[display("{}: {cause}", code.number())]
pub struct Failure {
    /// Kind of the error.
    pub code: Code,
    /// Description of this occurrence in one line.
    pub cause: String,
    /// Time in milliseconds after which a retry may succeed; `None` if it is not known.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// An error whose cause is the general text of its code.
    pub fn of(code: Code) -> Self {
        Self::new(code, code.to_string())
    }

    /// An error whose cause describes this occurrence.
    pub fn new<S>(code: Code, cause: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            code,
            cause: cause.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the time in milliseconds after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}

impl From<Code> for Failure {
    fn from(code: Code) -> Self {
        Self::of(code)
    }
}
