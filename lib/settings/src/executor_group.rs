use tarragon_names::{DomainName, Millis, PoolName};

use crate::{parse, section::Section};

/// Stand-in executors that are alike.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutorGroup {
    /// First part of their names, which a number follows.
    pub prefix: String,
    /// Number of executors.
    pub count: u32,
    /// Failure domain.
    pub domain: DomainName,
    /// Pool that they serve.
    pub pool: PoolName,
    /// Requests that each runs at a time.
    pub slots: u32,
    /// Connections that each accepts.
    pub connections: u32,
    /// Mean time that a request takes.
    pub service_time: Millis,
}

impl ExecutorGroup {
    pub(crate) fn read(section: &Section<'_>) -> Option<Self> {
        let prefix = section.required("prefix", parse::name);
        let count = section.required("count", parse::number(1, 10_000));
        let domain = section.required("domain", parse::name);
        let pool = section.required("pool", parse::name);
        let slots: u32 = section.or("slots", 8, parse::number(1, 10_000));
        let connections: u32 = section.or("connections", 64, parse::number(1, 10_000));
        let service_time = section.or("service_ms", 20, parse::number(0, 600_000));
        if connections < slots {
            section.fault("connections", "must be at least slots");
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
