use tarragon_names::{DomainName, Millis, Resources};

use crate::{WorkerFault, parse, section::Section};

/// Stand-in workers that are alike.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerGroup {
    /// First part of their names, which a number follows.
    pub prefix: String,
    /// Number of workers.
    pub count: u32,
    /// Failure domain.
    pub domain: DomainName,
    /// Workers in a rack.
    pub rack_size: u32,
    /// What each worker offers.
    pub capacity: Resources,
    /// Greatest ratio of true run times and sizes to the declared ones.
    pub wrong_factor: u32,
    /// Age of the usage that is reported.
    pub usage_lag: Millis,
    /// Faults.
    pub faults: Vec<WorkerFault>,
}

impl WorkerGroup {
    pub(crate) fn read(section: &Section<'_>) -> Option<Self> {
        let prefix = section.required("prefix", parse::name);
        let count = section.required("count", parse::number(1, 10_000));
        let domain = section.required("domain", parse::name);
        let rack_size = section.or("rack_size", 8, parse::number(1, 1_000));
        let cpu_milli = section.required("cpu_milli", parse::number(1, 1_000_000));
        let memory_mb = section.required("memory_mb", parse::number(1, 64 << 20));
        let accelerators = section.or("accelerators", 0, parse::number(0, 1_000));
        let wrong_factor = section.or("wrong_factor", 4, parse::number(1, 4));
        let usage_lag = section.or("usage_lag_ms", 2_000, parse::number(0, 600_000));
        let faults = section.each("faults", WorkerFault::read);
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
        let beyond = |fault: &WorkerFault| fault.workers.iter().any(|&n| n >= group.count);
        if group.faults.iter().any(beyond) {
            section.fault("faults", "names a worker beyond count");
        }
        Some(group)
    }
}
