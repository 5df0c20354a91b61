use std::path::PathBuf;

use crate::{LogLevel, parse, section::Section};

/// Where and how much a process logs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    /// Least severity.
    pub level: LogLevel,
    /// File to append to; standard error if absent.
    pub file: Option<PathBuf>,
}

impl LogSettings {
    pub(crate) fn read(section: &Section<'_>) -> Self {
        Self {
            level: section.or("level", LogLevel::Info, parse::from_text),
            file: section.path("file"),
        }
    }
}
