use std::path::Path;

use crate::{Key, LogLevel, SettingsError, document::Document, parse, section::Section};

/// Settings that only the entry daemon has; the others come from the platform's settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Whether images that slow each other down on one worker are detected and kept apart.
    pub avoids_interference: bool,
    /// Port that serves the metrics, on the address of the host.
    pub metrics_port: u16,
    /// Number of threads of the async runtime.
    pub worker_threads: u64,
    /// Minimum severity of the events that are logged.
    pub log_level: LogLevel,
    /// Maximum number of log lines per second below warning level. Further lines are dropped and
    /// counted.
    pub log_lines_per_s: u64,
}

impl EntrySettings {
    /// Loads a settings file, or returns all its errors.
    pub fn load<P>(path: P) -> Result<Self, Vec<SettingsError>>
    where
        P: AsRef<Path>,
    {
        Document::load(path.as_ref(), Self::read)
    }

    /// Returns all keys that the file may contain.
    pub fn keys() -> Vec<Key> {
        Document::keys(Self::read)
    }

    fn read(section: &Section<'_>) -> Option<Self> {
        let avoids_interference = section.or_default("avoid_interference", false, parse::flag);
        let metrics_port = section.or_default("metrics_port", 9_464, parse::number(1, 65_535));
        let worker_threads = section.or_default("worker_threads", 2, parse::number(1, 64));
        let log = section.section("log");
        let log_level = log.or_default("level", LogLevel::Info, parse::from_text);
        let log_lines_per_s = log.or_default("lines_per_s", 2_000, parse::number(10, 1_000_000));
        log.reject_unknown_keys();
        Some(Self {
            avoids_interference,
            metrics_port: u16::try_from(metrics_port).ok()?,
            worker_threads,
            log_level,
            log_lines_per_s,
        })
    }
}
