//! Acceptance of jobs, and removal of expired jobs and idempotency keys.

use tarragon_catalogue::CatalogueEntry;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{IdempotencyKey, JobId, LogIndex, Resources, Workload};

use crate::{
    Answer, Cell, ENDED_JOB_RETENTION_MS, JobRecord, JobSpec, MAX_ENDED_JOBS, MAX_PAYLOAD_BYTES,
    MAX_UNFINISHED_JOBS, MAX_UNFINISHED_TASKS, constants::RETRY_AFTER_FULL_MS,
};

impl Cell {
    /// Accepts a job, or finds the job that was accepted earlier under the same key.
    pub(crate) fn accept_job(
        &self,
        index: LogIndex,
        key: Option<&IdempotencyKey>,
        spec: &JobSpec,
    ) -> Outcome<Answer> {
        if let Some(first_job) = key.and_then(|key| self.job_of_key(key)) {
            let is_same = self.with_job(first_job, |record| *record.spec == *spec);
            return if is_same == Some(true) {
                Ok(Answer::Accepted(first_job))
            } else {
                Err(Failure::new(
                    Code::KeyReused,
                    format!("the key was used for job {first_job}, whose specification differs"),
                ))
            };
        }
        let catalogue = self.catalogue();
        let Some(entry) = catalogue.resolve(&spec.name) else {
            return Err(Failure::new(
                Code::NoEntry,
                format!("no catalogue entry covers '{}'", spec.name),
            ));
        };
        check_spec(spec, entry)?;
        self.check_capacity(spec, entry)?;
        let id = JobId(index.0);
        let now_ms = self.now_ms();
        let record = JobRecord::new(id, now_ms, key.cloned(), spec.clone(), entry);
        self.registry.lock().record_accepted(&record);
        if let Some(key) = key {
            self.keys
                .with(key, |keys| keys.jobs.insert(key.clone(), id));
        }
        self.jobs.with(&id, |jobs| jobs.insert(id, record));
        Ok(Answer::Accepted(id))
    }

    pub(crate) fn job_of_key(&self, key: &IdempotencyKey) -> Option<JobId> {
        self.keys.with(key, |keys| keys.jobs.get(key).copied())
    }

    /// Advances the time and removes the jobs and keys whose retention has passed.
    pub(crate) fn advance_time(&self, at_ms: u64) {
        let (jobs, keys) = {
            let mut registry = self.registry.lock();
            registry.now_ms = registry.now_ms.max(at_ms);
            let now_ms = registry.now_ms;
            let mut jobs = Vec::new();
            while let Some((ended, job)) = registry.ended_jobs.front().copied()
                && (ended + ENDED_JOB_RETENTION_MS <= now_ms
                    || registry.ended_jobs.len() > MAX_ENDED_JOBS)
            {
                registry.ended_jobs.pop_front();
                jobs.push(job);
            }
            (jobs, registry.take_expired_keys())
        };
        for job in jobs {
            let record = self.jobs.with(&job, |jobs| jobs.remove(&job));
            if let Some(key) = record.and_then(|record| record.key) {
                self.keys.with(&key, |keys| keys.jobs.remove(&key));
            }
        }
        self.remove_keys(&keys);
    }

    fn check_capacity(&self, spec: &JobSpec, entry: &CatalogueEntry) -> Outcome<()> {
        let quota = self.quota(&entry.owner);
        let registry = self.registry.lock();
        let jobs_of_entry = registry.unfinished_jobs_by_pattern.get(&entry.pattern);
        let jobs_of_team = registry.unfinished_jobs_by_team.get(&entry.owner);
        let checks = [
            (
                registry.unfinished_jobs >= MAX_UNFINISHED_JOBS
                    || registry.unfinished_tasks + u64::from(spec.tasks) > MAX_UNFINISHED_TASKS,
                Code::QueueFull,
                "the cell has reached its limit on waiting and running jobs or tasks",
            ),
            (
                jobs_of_entry.is_some_and(|jobs| *jobs >= entry.limits.max_jobs),
                Code::QueueFull,
                "the number of waiting and running jobs has reached max_jobs of the entry",
            ),
            (
                quota.max_jobs > 0 && jobs_of_team.is_some_and(|jobs| *jobs >= quota.max_jobs),
                Code::QuotaExceeded,
                "the number of waiting and running jobs has reached max_jobs of the team's quota",
            ),
        ];
        match checks.into_iter().find(|(is_full, ..)| *is_full) {
            Some((_, code, cause)) => {
                Err(Failure::new(code, cause).retry_after(RETRY_AFTER_FULL_MS))
            }
            None => Ok(()),
        }
    }
}

fn check_spec(spec: &JobSpec, entry: &CatalogueEntry) -> Outcome<()> {
    let limits = &entry.limits;
    let checks = [
        (
            spec.kind == Workload::Request || !entry.workloads.contains(&spec.kind),
            Code::KindNotAllowed,
            "kind",
        ),
        (spec.tasks == 0, Code::Malformed, "tasks is 0"),
        (
            spec.resources == Resources::ZERO,
            Code::Malformed,
            "resources are all 0",
        ),
        (
            spec.payload.len() > MAX_PAYLOAD_BYTES,
            Code::TooLarge,
            "payload is above 64 KB",
        ),
        (
            spec.tasks > limits.max_tasks,
            Code::BeyondLimits,
            "tasks is above max_tasks",
        ),
        (
            !is_within(&spec.resources, &limits.max_task),
            Code::BeyondLimits,
            "resources are above max_task",
        ),
        (
            spec.run_ms > limits.max_run_ms,
            Code::BeyondLimits,
            "run_ms is above max_run_ms",
        ),
    ];
    match checks.into_iter().find(|(is_wrong, ..)| *is_wrong) {
        Some((_, Code::KindNotAllowed, _)) => Err(Failure::new(
            Code::KindNotAllowed,
            format!(
                "entry '{}' does not allow {} work",
                entry.pattern, spec.kind
            ),
        )),
        Some((_, code, cause)) => Err(Failure::new(
            code,
            format!("{cause} (entry '{}')", entry.pattern),
        )),
        None => Ok(()),
    }
}

/// Returns whether `requested` is within `limit`; an amount of zero in `limit` means no limit.
fn is_within(requested: &Resources, limit: &Resources) -> bool {
    let ok = |requested: u64, limit: u64| limit == 0 || requested <= limit;
    ok(requested.cpu_milli, limit.cpu_milli)
        && ok(requested.memory_mb, limit.memory_mb)
        && ok(requested.accelerators, limit.accelerators)
}
