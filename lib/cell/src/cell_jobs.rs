//! Acceptance of jobs and their retention.

use tarragon_catalogue::CatalogueEntry;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{IdempotencyKey, JobId, LogIndex, Resources, Workload};

use crate::{
    Answer, Cell, ENDED_KEPT_MS, JobRecord, JobSpec, MAX_ENDED_JOBS, MAX_JOBS, MAX_PAYLOAD,
    MAX_TASKS, constants::FULL_RETRY_MS,
};

impl Cell {
    /// Accepts a job, or finds the one that was accepted under the same key.
    pub(crate) fn accept(
        &self,
        index: LogIndex,
        key: Option<&IdempotencyKey>,
        spec: &JobSpec,
    ) -> Outcome<Answer> {
        if let Some(first) = key.and_then(|key| self.job_of_key(key)) {
            let same = self.with_job(first, |record| *record.spec == *spec);
            return if same == Some(true) {
                Ok(Answer::Accepted(first))
            } else {
                Err(Failure::new(
                    Code::KeyReused,
                    format!("the key was used for job {first}, which differs"),
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
        self.check_room(spec, entry)?;
        let id = JobId(index.0);
        let now_ms = self.now_ms();
        let record = JobRecord::new(id, now_ms, key.cloned(), spec.clone(), entry);
        self.registry.lock().opened(&record);
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

    /// Advances the time and drops what has been kept long enough.
    pub(crate) fn pass_time(&self, at_ms: u64) {
        let (jobs, keys) = {
            let mut registry = self.registry.lock();
            registry.now_ms = registry.now_ms.max(at_ms);
            let now_ms = registry.now_ms;
            let mut jobs = Vec::new();
            while let Some((ended, job)) = registry.ended.front().copied()
                && (ended + ENDED_KEPT_MS <= now_ms || registry.ended.len() > MAX_ENDED_JOBS)
            {
                registry.ended.pop_front();
                jobs.push(job);
            }
            (jobs, registry.expired_keys())
        };
        for job in jobs {
            let record = self.jobs.with(&job, |jobs| jobs.remove(&job));
            if let Some(key) = record.and_then(|record| record.key) {
                self.keys.with(&key, |keys| keys.jobs.remove(&key));
            }
        }
        self.drop_keys(&keys);
    }

    fn check_room(&self, spec: &JobSpec, entry: &CatalogueEntry) -> Outcome<()> {
        let quota = self.quota(&entry.owner);
        let registry = self.registry.lock();
        let of_entry = registry.jobs_of_pattern.get(&entry.pattern);
        let of_team = registry.jobs_of_team.get(&entry.owner);
        let full = [
            (
                registry.jobs >= MAX_JOBS || registry.tasks + u64::from(spec.tasks) > MAX_TASKS,
                Code::QueueFull,
                "the cell holds as many jobs or tasks as it can",
            ),
            (
                of_entry.is_some_and(|jobs| *jobs >= entry.limits.max_jobs),
                Code::QueueFull,
                "as many jobs of the entry wait or run as it allows",
            ),
            (
                quota.max_jobs > 0 && of_team.is_some_and(|jobs| *jobs >= quota.max_jobs),
                Code::QuotaExceeded,
                "as many jobs of the team wait or run as its quota allows",
            ),
        ];
        match full.into_iter().find(|(full, ..)| *full) {
            Some((_, code, cause)) => Err(Failure::new(code, cause).retry_after(FULL_RETRY_MS)),
            None => Ok(()),
        }
    }
}

fn check_spec(spec: &JobSpec, entry: &CatalogueEntry) -> Outcome<()> {
    let limits = &entry.limits;
    let faults = [
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
            spec.payload.len() > MAX_PAYLOAD,
            Code::TooLarge,
            "payload is above 64 KB",
        ),
        (
            spec.tasks > limits.max_tasks,
            Code::BeyondLimits,
            "tasks is above max_tasks",
        ),
        (
            !within(&spec.resources, &limits.max_task),
            Code::BeyondLimits,
            "resources are above max_task",
        ),
        (
            spec.run_ms > limits.max_run_ms,
            Code::BeyondLimits,
            "run_ms is above max_run_ms",
        ),
    ];
    match faults.into_iter().find(|(wrong, ..)| *wrong) {
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

/// Tells whether `asked` is within `limit`, where an amount of zero sets no limit.
fn within(asked: &Resources, limit: &Resources) -> bool {
    let ok = |asked: u64, limit: u64| limit == 0 || asked <= limit;
    ok(asked.cpu_milli, limit.cpu_milli)
        && ok(asked.memory_mb, limit.memory_mb)
        && ok(asked.accelerators, limit.accelerators)
}
