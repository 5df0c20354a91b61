use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{Class, Millis, PoolName, TeamName, Workload};

use crate::{Limits, MAX_REQUEST_TIMEOUT, MAX_TASKS_PER_JOB, MIN_REQUEST_TIMEOUT, Pattern};

/// Owner, class and limits of the work whose names a pattern covers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogueEntry {
    /// Name or prefix that the entry covers; identifies the entry.
    pub pattern: Pattern,
    /// Team that owns the work and whose quota limits it.
    pub owner: TeamName,
    /// Priority class of the work.
    #[serde(default)]
    pub class: Class,
    /// Kinds of work allowed under these names.
    pub workloads: Vec<Workload>,
    /// Pool of executors for service requests; set only if `workloads` allows requests.
    #[serde(default)]
    pub pool: Option<PoolName>,
    /// Whether a service request may be sent more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Limits on jobs and service requests.
    #[serde(default)]
    pub limits: Limits,
}

impl CatalogueEntry {
    /// Checks that the fields do not contradict each other.
    pub fn validate(&self) -> Outcome<()> {
        let requests = self.workloads.contains(&Workload::Request);
        let limits = &self.limits;
        let timeout = Millis(limits.request_timeout_ms);
        let text = self.pattern.text();
        let checks = [
            (
                text.is_empty() && matches!(self.pattern, Pattern::Exact(_)),
                "the pattern is empty",
            ),
            (
                text.contains('*'),
                "the pattern has a '*' before its end; only a '*' at the end matches other text",
            ),
            (self.owner.is_empty(), "the owner is empty"),
            (self.workloads.is_empty(), "workloads is empty"),
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
                "max_sends is above 1 but repeatable is not set",
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
        match checks.into_iter().find(|(is_wrong, _)| *is_wrong) {
            Some((_, cause)) => Err(Failure::new(
                Code::BadEntry,
                format!("entry '{}': {cause}", self.pattern),
            )),
            None => Ok(()),
        }
    }
}
