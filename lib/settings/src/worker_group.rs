use tarragon_names::{DomainName, Millis, Resources};

use crate::{WorkerFault, parse, section::Section};

/// A group of stand-in workers with the same settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerGroup {
    /// Prefix of the workers' names; a number follows it.
    pub prefix: String,
    /// Number of workers.
    pub count: u32,
    /// Failure domain of all workers of the group.
    pub domain: DomainName,
    /// Number of workers per rack.
    pub rack_size: u32,
    /// Resources that each worker offers.
    pub capacity: Resources,
    /// Maximum factor by which the actual run time and resource usage of a task differ from the
    /// declared ones, in either direction.
    pub wrong_factor: u32,
    /// Age of the usage in the workers' reports.
    pub usage_lag: Millis,
    /// Faults that are injected into workers of the group.
    pub faults: Vec<WorkerFault>,
}

impl WorkerGroup {
    pub(crate) fn read(section: &Section<'_>) -> Option<Self> {
        let prefix = section.required("prefix", parse::name);
        let count = section.required("count", parse::number(1, 10_000));
        let domain = section.required("domain", parse::name);
        let rack_size = section.or_default("rack_size", 8, parse::number(1, 1_000));
        let cpu_milli = section.required("cpu_milli", parse::number(1, 1_000_000));
        let memory_mb = section.required("memory_mb", parse::number(1, 64 << 20));
        let accelerators = section.or_default("accelerators", 0, parse::number(0, 1_000));
        let wrong_factor = section.or_default("wrong_factor", 4, parse::number(1, 4));
        let usage_lag = section.or_default("usage_lag_ms", 2_000, parse::number(0, 600_000));
        let faults = section.read_tables("faults", WorkerFault::read);
        let group = Self {
            prefix: prefix?,
            count: count?,
            domain: domain?,
            rack_size,
            capacity: Resources::new(cpu_milli?, memory_mb?, accelerators),
            wrong_factor,
            usage_lag: Millis(usage_lag),
            faults,
        };
        let names_unknown_worker =
            |fault: &WorkerFault| fault.workers.iter().any(|&n| n >= group.count);
        if group.faults.iter().any(names_unknown_worker) {
            section.add_error("faults", "names a worker beyond count");
        }
        Some(group)
    }
}
