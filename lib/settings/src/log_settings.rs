use std::path::PathBuf;

use crate::{LogLevel, parse, section::Section};

/// Destination and minimum severity of the events that a process logs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    /// Minimum severity of the events that are logged.
    pub level: LogLevel,
    /// File that events are appended to; `None` writes them to standard error.
    pub file: Option<PathBuf>,
}

impl LogSettings {
    pub(crate) fn read(section: &Section<'_>) -> Self {
        Self {
            level: section.or_default("level", LogLevel::Info, parse::from_text),
            file: section.path("file"),
        }
    }
}
