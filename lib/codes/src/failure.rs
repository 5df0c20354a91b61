use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::Code;

/// Result of an operation that fails with a numbered code.
pub type Outcome<T> = Result<T, Failure>;

/// A numbered error with the cause of this occurrence.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[display("{}: {cause}", code.number())]
pub struct Failure {
    /// Kind of the error.
    pub code: Code,
    /// One line that says what went wrong here.
    pub cause: String,
    /// Time after which a retry may succeed, where that is known.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// An error with the general cause of its code.
    pub fn of(code: Code) -> Self {
        Self::new(code, code.to_string())
    }

    /// An error with a cause of its own.
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

    /// The same error with a time after which to try again.
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
