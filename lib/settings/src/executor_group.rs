use tarragon_names::{DomainName, Millis, PoolName};

use crate::{parse, section::Section};

/// A group of stand-in executors with the same settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutorGroup {
    /// Prefix of the executors' names; a number follows it.
    pub prefix: String,
    /// Number of executors.
    pub count: u32,
    /// Failure domain of all executors of the group.
    pub domain: DomainName,
    /// Pool that the executors serve.
    pub pool: PoolName,
    /// Number of requests that each executor runs concurrently.
    pub slots: u32,
    /// Number of connections that each executor accepts; at least `slots`.
    pub connections: u32,
    /// Mean service time of a request.
    pub service_time: Millis,
}

impl ExecutorGroup {
    pub(crate) fn read(section: &Section<'_>) -> Option<Self> {
        let prefix = section.required("prefix", parse::name);
        let count = section.required("count", parse::number(1, 10_000));
        let domain = section.required("domain", parse::name);
        let pool = section.required("pool", parse::name);
        let slots: u32 = section.or_default("slots", 8, parse::number(1, 10_000));
        let connections: u32 = section.or_default("connections", 64, parse::number(1, 10_000));
        let service_time = section.or_default("service_ms", 20, parse::number(0, 600_000));
        if connections < slots {
            section.add_error("connections", "must be at least slots");
        }
        Some(Self {
            prefix: prefix?,
            count: count?,
            domain: domain?,
            pool: pool?,
            slots,
            connections,
            service_time: Millis(service_time),
        })
    }
}
