use std::{collections::BTreeMap, sync::Arc};

use parking_lot::{Mutex, RwLock};
use tarragon_catalogue::Catalogue;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{Attempt, JobId, LogIndex, Revision, TaskId, TeamName, WorkerName};
use tarragon_shard::Sharded;

use crate::{
    Answer, AttemptEnd, CellState, Command, JobRecord, Quota, constants::SHARD_COUNT,
    key_table::KeyTable, registry::Registry,
};

/// Replicated state of one cell.
///
/// One thread applies the log while other threads may read. A thread never holds two locks at
/// once. All results depend only on the commands, their log indices and their timestamps.
#[derive(Debug)]
pub struct Cell {
    pub(crate) catalogue: RwLock<Arc<Catalogue>>,
    pub(crate) registry: Mutex<Registry>,
    pub(crate) jobs: Sharded<BTreeMap<JobId, JobRecord>>,
    pub(crate) keys: Sharded<KeyTable>,
}

impl Default for Cell {
    fn default() -> Self {
        Self {
            catalogue: RwLock::default(),
            registry: Mutex::default(),
            jobs: Sharded::new(SHARD_COUNT, |_| BTreeMap::new()),
            keys: Sharded::new(SHARD_COUNT, |_| KeyTable::default()),
        }
    }
}

impl Cell {
    /// Applies the command of one log entry; `at_ms` is the timestamp that the leader put in it.
    pub fn apply(&self, index: LogIndex, at_ms: u64, command: &Command) -> Answer {
        self.advance_time(at_ms);
        self.apply_command(index, command)
            .unwrap_or_else(Answer::Failed)
    }

    /// Copies the whole state for a snapshot. Only the thread that applies the log calls this.
    pub fn snapshot(&self) -> CellState {
        let mut state = CellState {
            catalogue: (**self.catalogue.read()).clone(),
            registry: self.registry.lock().clone(),
            ..CellState::default()
        };
        self.jobs
            .for_each(|jobs| state.jobs.extend(jobs.values().cloned()));
        self.keys.for_each(|keys| {
            let jobs = keys.jobs.iter().map(|(key, job)| (key.clone(), *job));
            let requests = keys.requests.iter();
            state.job_keys.extend(jobs);
            state
                .request_keys
                .extend(requests.map(|(key, claim)| (key.clone(), claim.clone())));
        });
        state
    }

    /// Replaces the whole state by that of a snapshot.
    pub fn restore(&self, state: CellState) {
        self.jobs.for_each(BTreeMap::clear);
        self.keys.for_each(|keys| *keys = KeyTable::default());
        for record in state.jobs {
            self.jobs
                .with(&record.id, |jobs| jobs.insert(record.id, record.clone()));
        }
        for (key, job) in state.job_keys {
            self.keys
                .with(&key, |keys| keys.jobs.insert(key.clone(), job));
        }
        for (key, claim) in state.request_keys {
            self.keys
                .with(&key, |keys| keys.requests.insert(key.clone(), claim));
        }
        *self.registry.lock() = state.registry;
        *self.catalogue.write() = Arc::new(state.catalogue);
    }

    /// Current catalogue; later changes do not affect the returned copy.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.catalogue.read())
    }

    /// Latest timestamp of any applied command, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.registry.lock().now_ms
    }

    /// Runs `read` on a job under the lock of its shard; `None` if the job does not exist.
    pub fn with_job<F, R>(&self, job: JobId, read: F) -> Option<R>
    where
        F: FnOnce(&JobRecord) -> R,
    {
        self.jobs.with(&job, |jobs| jobs.get(&job).map(read))
    }

    /// Identifiers of all jobs that have not ended, oldest first.
    pub fn unfinished_jobs(&self) -> Vec<JobId> {
        let mut found = Vec::new();
        self.jobs.for_each(|jobs| {
            let unfinished = jobs.values().filter(|job| job.ended_ms.is_none());
            found.extend(unfinished.map(|job| job.id));
        });
        found.sort_unstable();
        found
    }

    /// Assigned tasks by worker, ordered by task identifier.
    pub fn assigned_tasks_by_worker(&self) -> BTreeMap<WorkerName, Vec<(TaskId, Attempt)>> {
        let mut found = BTreeMap::<WorkerName, Vec<_>>::new();
        self.jobs.for_each(|jobs| {
            for (task, attempt, worker) in jobs.values().flat_map(JobRecord::assigned_tasks) {
                found
                    .entry(worker.clone())
                    .or_default()
                    .push((task, attempt));
            }
        });
        for tasks in found.values_mut() {
            tasks.sort_unstable();
        }
        found
    }

    /// Workers that an operator drains, in order of their names.
    pub fn draining_workers(&self) -> Vec<WorkerName> {
        self.registry
            .lock()
            .draining_workers
            .iter()
            .cloned()
            .collect()
    }

    /// Returns whether an operator drains the worker.
    pub fn is_draining(&self, worker: &WorkerName) -> bool {
        self.registry.lock().draining_workers.contains(worker)
    }

    /// Quota of a team; without limits if none is set.
    pub fn quota(&self, team: &TeamName) -> Quota {
        self.registry
            .lock()
            .quotas
            .get(team)
            .map(|(quota, _)| quota.clone())
            .unwrap_or_default()
    }

    /// Quotas of all teams that have one.
    pub fn quotas(&self) -> Vec<(TeamName, Quota)> {
        let registry = self.registry.lock();
        let quotas = registry.quotas.iter();
        quotas
            .map(|(team, (quota, _))| (team.clone(), quota.clone()))
            .collect()
    }

    fn apply_command(&self, index: LogIndex, command: &Command) -> Outcome<Answer> {
        match command {
            Command::PutEntry { request_id, .. }
            | Command::DeleteEntry { request_id, .. }
            | Command::PutQuota { request_id, .. } => Ok(self.apply_write(request_id, command)),
            Command::AcceptJob { key, spec } => self.accept_job(index, key.as_ref(), spec),
            Command::Assign { tasks } => Ok(self.assign_tasks(tasks)),
            Command::End {
                task,
                attempt,
                ended,
            } => Ok(self.record_end(*task, *attempt, *ended)),
            Command::Cancel { job } => self.stop_job(*job, |record| record.cancelled = true),
            Command::Refuse { job, reason } => {
                self.stop_job(*job, |record| record.refused = Some(reason.clone()))
            }
            Command::DrainWorker { worker, draining } => {
                let mut registry = self.registry.lock();
                if *draining {
                    registry.draining_workers.insert(worker.clone());
                } else {
                    registry.draining_workers.remove(worker);
                }
                Ok(Answer::Done)
            }
            Command::ClaimKey {
                name,
                key,
                digest,
                claim,
                timeout_ms,
            } => self.claim_key(&(name.clone(), key.clone()), *digest, claim, *timeout_ms),
            Command::CompleteKey {
                name,
                key,
                claim,
                status,
                body,
            } => self.complete_key(&(name.clone(), key.clone()), claim, *status, body.as_ref()),
        }
    }

    /// Applies an operator's write, or returns the first answer if the request id was used before.
    fn apply_write(&self, request_id: &Arc<str>, command: &Command) -> Answer {
        if let Some(answer) = self
            .registry
            .lock()
            .write_answers
            .earlier_answer(request_id, command)
        {
            return answer;
        }
        let result = match command {
            Command::PutEntry {
                expected, entry, ..
            } => Arc::make_mut(&mut self.catalogue.write()).put(*expected, entry.clone()),
            Command::DeleteEntry {
                expected, pattern, ..
            } => Arc::make_mut(&mut self.catalogue.write()).delete(*expected, pattern),
            Command::PutQuota {
                expected,
                team,
                quota,
                ..
            } => self.put_quota(*expected, team, quota),
            _ => Err(Failure::of(Code::Internal)),
        };
        let answer = result.map_or_else(Answer::Failed, Answer::Written);
        let mut registry = self.registry.lock();
        registry.write_answers.store(request_id, command, &answer);
        answer
    }

    fn put_quota(&self, expected: Revision, team: &TeamName, quota: &Quota) -> Outcome<Revision> {
        let mut registry = self.registry.lock();
        let current = registry.quotas.get(team).map_or(Revision(0), |(_, at)| *at);
        if current != expected {
            return Err(Failure::new(
                Code::RevisionConflict,
                format!("quota of '{team}' is at revision {current}, the write expects {expected}"),
            ));
        }
        let revision = current.next();
        registry
            .quotas
            .insert(team.clone(), (quota.clone(), revision));
        Ok(revision)
    }

    fn assign_tasks(&self, tasks: &[(TaskId, Attempt, WorkerName)]) -> Answer {
        let assigned = tasks.iter().filter(|(task, attempt, worker)| {
            self.jobs.with(&task.job, |jobs| {
                jobs.get_mut(&task.job)
                    .is_some_and(|record| record.assign(task.index, *attempt, worker))
            })
        });
        Answer::Assigned(assigned.map(|(task, ..)| *task).collect())
    }

    /// Records the end of an attempt.
    ///
    /// A repeated or outdated end changes nothing and succeeds, so that it can be acknowledged
    /// to the worker that resends it.
    fn record_end(&self, task: TaskId, attempt: Attempt, ended: AttemptEnd) -> Answer {
        self.update_job(task.job, |record| {
            record.record_end(task.index, attempt, ended);
        });
        Answer::Done
    }

    /// Applies `stop`, which keeps a job from starting tasks, if the job can still start any.
    fn stop_job<F>(&self, job: JobId, stop: F) -> Outcome<Answer>
    where
        F: FnOnce(&mut JobRecord),
    {
        let found = self.update_job(job, |record| {
            if record.can_start_tasks() {
                stop(record);
            }
        });
        if found {
            Ok(Answer::Done)
        } else {
            Err(Failure::new(Code::NoSuchJob, format!("no job {job}")))
        }
    }

    /// Changes a job and records its end if it has ended; returns whether the job exists.
    fn update_job<F>(&self, job: JobId, change: F) -> bool
    where
        F: FnOnce(&mut JobRecord),
    {
        let now_ms = self.now_ms();
        let found = self.jobs.with(&job, |jobs| {
            let record = jobs.get_mut(&job)?;
            change(record);
            Some(record.end_if_finished(now_ms).then(|| record.clone()))
        });
        if let Some(Some(ended)) = &found {
            self.registry.lock().record_ended(ended);
        }
        found.is_some()
    }
}
