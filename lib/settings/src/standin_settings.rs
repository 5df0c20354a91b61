use std::{
    net::IpAddr,
    path::{Path, PathBuf},
};

use tarragon_names::Millis;

use crate::{
    ExecutorGroup, Key, LogSettings, SettingsError, StandinHost, WorkerGroup, document::Document,
    parse, section::Section,
};

/// Settings of a process that runs stand-in workers and executors.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StandinSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// IP address on which the executors listen.
    pub listen: IpAddr,
    /// Time after which the process exits.
    pub stop_after: Millis,
    /// File that receives a line for each start and end of a task; `None` writes no such log.
    pub task_log: Option<PathBuf>,
    /// File that receives a line for each service request; `None` writes no such log.
    pub request_log: Option<PathBuf>,
    /// Destination and minimum severity of the events.
    pub log: LogSettings,
    /// Entry hosts that the stand-ins connect to; at least one.
    pub hosts: Vec<StandinHost>,
    /// Groups of stand-in workers.
    pub workers: Vec<WorkerGroup>,
    /// Groups of stand-in executors.
    pub executors: Vec<ExecutorGroup>,
}

impl StandinSettings {
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
        let seed = section.required("seed", parse::number(0, u64::MAX));
        let localhost = IpAddr::from([127, 0, 0, 1]);
        let listen = section.or_default("listen", localhost, |value| {
            let cause = |_e| "must be an IP address".to_owned();
            parse::text(value)?.parse().map_err(cause)
        });
        let stop_after = section.or_default("stop_after_ms", 3_600_000, parse::number(1, u64::MAX));
        let task_log = section.path("task_log");
        let request_log = section.path("request_log");
        let log_section = section.section("log");
        let log = LogSettings::read(&log_section);
        log_section.reject_unknown_keys();
        let hosts = section.read_tables("hosts", StandinHost::read);
        let workers = section.read_tables("workers", WorkerGroup::read);
        let executors = section.read_tables("executors", ExecutorGroup::read);
        if hosts.is_empty() {
            section.add_error("hosts", "must list at least one host");
        }
        Some(Self {
            seed: seed?,
            listen,
            stop_after: Millis(stop_after),
            task_log,
            request_log,
            log,
            hosts,
            workers,
            executors,
        })
    }
}
