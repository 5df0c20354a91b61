use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{Class, Millis, PoolName, TeamName, Workload};

use crate::{Limits, MAX_REQUEST_TIMEOUT, MAX_TASKS_PER_JOB, MIN_REQUEST_TIMEOUT, Pattern};

/// Owner, class and limits of the names that a pattern covers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogueEntry {
    /// Names that the entry covers.
    pub pattern: Pattern,
    /// Team that owns the work.
    pub owner: TeamName,
    /// Priority class.
    #[serde(default)]
    pub class: Class,
    /// Kinds of work allowed under these names.
    pub workloads: Vec<Workload>,
    /// Pool of executors for service requests.
    #[serde(default)]
    pub pool: Option<PoolName>,
    /// Whether a service request may be sent more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
}

impl CatalogueEntry {
    /// Finds contradictions within the entry.
    pub fn validate(&self) -> Outcome<()> {
        let requests = self.workloads.contains(&Workload::Request);
        let limits = &self.limits;
        let timeout = Millis(limits.request_timeout_ms);
        let text = self.pattern.text();
        let faults = [
            (
                text.is_empty() && matches!(self.pattern, Pattern::Exact(_)),
                "the pattern is empty",
            ),
            (
                text.contains('*'),
                "the pattern has a '*' before its end, where it has no meaning",
            ),
            (self.owner.is_empty(), "the owner is empty"),
            (self.workloads.is_empty(), "no kind of work is allowed"),
            (
                requests && self.pool.is_none(),
                "requests are allowed but no pool is named",
            ),
            (
                !requests && self.pool.is_some(),
                "a pool is named but requests are not allowed",
            ),
            (
                !requests && self.repeatable,
                "repeatable is set but requests are not allowed",
            ),
            (limits.max_sends == 0, "max_sends is 0"),
            (
                !self.repeatable && limits.max_sends > 1,
                "max_sends is above 1 but requests may not be repeated",
            ),
            (
                !(MIN_REQUEST_TIMEOUT..=MAX_REQUEST_TIMEOUT).contains(&timeout),
                "request_timeout_ms is not within 50..30000",
            ),
            (limits.max_tasks == 0, "max_tasks is 0"),
            (
                limits.max_tasks > MAX_TASKS_PER_JOB,
                "max_tasks is above 20000",
            ),
            (limits.max_attempts == 0, "max_attempts is 0"),
            (limits.max_jobs == 0, "max_jobs is 0"),
            (limits.max_run_ms == 0, "max_run_ms is 0"),
        ];
        match faults.into_iter().find(|(wrong, _)| *wrong) {
            Some((_, cause)) => Err(Failure::new(
                Code::BadEntry,
                format!("entry '{}': {cause}", self.pattern),
            )),
            None => Ok(()),
        }
    }
}
