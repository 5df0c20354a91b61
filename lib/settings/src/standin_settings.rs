use std::{
    net::IpAddr,
    path::{Path, PathBuf},
};

use tarragon_names::Millis;

use crate::{
    ExecutorGroup, Key, LogSettings, SettingsError, StandinHost, WorkerGroup, document::Document,
    parse, section::Section,
};

/// Settings of a process of stand-in workers and executors.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StandinSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// IP number on which executors listen.
    pub listen: IpAddr,
    /// Time after which the process ends by itself.
    pub stop_after: Millis,
    /// File with one line for each start and end of a task; none is written if absent.
    pub task_log: Option<PathBuf>,
    /// File with one line for each service request; none is written if absent.
    pub request_log: Option<PathBuf>,
    /// Where and how much to log.
    pub log: LogSettings,
    /// Entry hosts.
    pub hosts: Vec<StandinHost>,
    /// Workers.
    pub workers: Vec<WorkerGroup>,
    /// Executors.
    pub executors: Vec<ExecutorGroup>,
}

impl StandinSettings {
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
        let seed = section.required("seed", parse::number(0, u64::MAX));
        let localhost = IpAddr::from([127, 0, 0, 1]);
        let listen = section.or("listen", localhost, |value| {
            let cause = |_e| "must be an IP number".to_owned();
            parse::text(value)?.parse().map_err(cause)
        });
        let stop_after = section.or("stop_after_ms", 3_600_000, parse::number(1, u64::MAX));
        let task_log = section.path("task_log");
        let request_log = section.path("request_log");
        let log_section = section.section("log");
        let log = LogSettings::read(&log_section);
        log_section.finish();
        let hosts = section.each("hosts", StandinHost::read);
        let workers = section.each("workers", WorkerGroup::read);
        let executors = section.each("executors", ExecutorGroup::read);
        if hosts.is_empty() {
            section.fault("hosts", "must list at least one host");
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
