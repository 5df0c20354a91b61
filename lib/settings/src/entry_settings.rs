use std::path::Path;

use crate::{Key, LogLevel, SettingsError, document::Document, parse, section::Section};

/// Settings of the entry daemon that are its own; the rest comes from the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Port of the metrics on the host's address.
    pub metrics_port: u16,
    /// Threads of the runtime.
    pub worker_threads: u64,
    /// Least severity of the events that are written.
    pub log_level: LogLevel,
    /// Log lines a second above which lines of requests are dropped and counted.
    pub log_lines_per_s: u64,
}

impl EntrySettings {
    /// Reads a settings file and lists all its faults.
    pub fn load<P>(path: P) -> Result<Self, Vec<SettingsError>>
    where
        P: AsRef<Path>,
    {
        Document::load(path.as_ref(), Self::read)
    }

    /// All keys that the file may hold.
    pub fn keys() -> Vec<Key> {
        Document::keys(Self::read)
    }

    fn read(section: &Section<'_>) -> Option<Self> {
        let metrics_port = section.or("metrics_port", 9_464, parse::number(1, 65_535));
        let worker_threads = section.or("worker_threads", 2, parse::number(1, 64));
        let log = section.section("log");
        let log_level = log.or("level", LogLevel::Info, parse::from_text);
        let log_lines_per_s = log.or("lines_per_s", 2_000, parse::number(10, 1_000_000));
        log.finish();
        Some(Self {
            metrics_port: u16::try_from(metrics_port).ok()?,
            worker_threads,
            log_level,
            log_lines_per_s,
        })
    }
}
