use std::str::FromStr;

use derive_more::Display;

/// Minimum severity of the events that are logged.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum LogLevel {
    /// Faults that need an operator.
    #[display("error")]
    Error,
    /// Events that the system handles but that should be rare.
    #[display("warning")]
    Warning,
    /// Changes of state.
    #[default]
    #[display("info")]
    Info,
    /// Each step of a job or request.
    #[display("debug")]
    Debug,
}

impl LogLevel {
    /// All levels, from the most to the least severe.
    pub const ALL: [Self; 4] = [Self::Error, Self::Warning, Self::Info, Self::Debug];
}

impl FromStr for LogLevel {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|level| level.to_string() == s)
            .ok_or_else(|| "must be error, warning, info or debug".to_owned())
    }
}
