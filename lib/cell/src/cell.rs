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
/// One thread applies the log; any thread may read meanwhile. No two locks are held at once. All
/// results depend on the commands, their index and their time alone.
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
    /// Applies the command of one log entry; `at_ms` is the time that the leader wrote with it.
    pub fn apply(&self, index: LogIndex, at_ms: u64, command: &Command) -> Answer {
        self.pass_time(at_ms);
        self.change(index, command).unwrap_or_else(Answer::Failed)
    }

    /// The whole state; called by the thread that applies.
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

    /// Replaces the whole state.
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

    /// The catalogue as of now; later changes do not touch this copy.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.catalogue.read())
    }

    /// Latest time that a command carried.
    pub fn now_ms(&self) -> u64 {
        self.registry.lock().now_ms
    }

    /// Reads one job under its lock.
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
            let open = jobs.values().filter(|job| job.ended_ms.is_none());
            found.extend(open.map(|job| job.id));
        });
        found.sort_unstable();
        found
    }

    /// Assigned tasks by worker, in the order of their identifiers.
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

    /// Workers that drain.
    pub fn draining_workers(&self) -> Vec<WorkerName> {
        self.registry.lock().draining.iter().cloned().collect()
    }

    /// Tells whether an operator drains a worker.
    pub fn is_draining(&self, worker: &WorkerName) -> bool {
        self.registry.lock().draining.contains(worker)
    }

    /// Quota of a team; no limits if none is set.
    pub fn quota(&self, team: &TeamName) -> Quota {
        self.registry
            .lock()
            .quotas
            .get(team)
            .map(|(quota, _)| quota.clone())
            .unwrap_or_default()
    }

    /// All quotas that are set.
    pub fn quotas(&self) -> Vec<(TeamName, Quota)> {
        let registry = self.registry.lock();
        let quotas = registry.quotas.iter();
        quotas
            .map(|(team, (quota, _))| (team.clone(), quota.clone()))
            .collect()
    }

    fn change(&self, index: LogIndex, command: &Command) -> Outcome<Answer> {
        match command {
            Command::PutEntry { request_id, .. }
            | Command::DeleteEntry { request_id, .. }
            | Command::PutQuota { request_id, .. } => Ok(self.write(request_id, command)),
            Command::AcceptJob { key, spec } => self.accept(index, key.as_ref(), spec),
            Command::Assign { tasks } => Ok(self.assign(tasks)),
            Command::End {
                task,
                attempt,
                ended,
            } => Ok(self.end(*task, *attempt, *ended)),
            Command::Cancel { job } => self.close(*job, |record| record.cancelled = true),
            Command::Refuse { job, reason } => {
                self.close(*job, |record| record.refused = Some(reason.clone()))
            }
            Command::DrainWorker { worker, draining } => {
                let mut registry = self.registry.lock();
                if *draining {
                    registry.draining.insert(worker.clone());
                } else {
                    registry.draining.remove(worker);
                }
                Ok(Answer::Done)
            }
            Command::ClaimKey {
                name,
                key,
                digest,
                claim,
                timeout_ms,
            } => self.claim(&(name.clone(), key.clone()), *digest, claim, *timeout_ms),
            Command::CompleteKey {
                name,
                key,
                claim,
                status,
                body,
            } => self.complete(&(name.clone(), key.clone()), claim, *status, body.as_ref()),
        }
    }

    /// Applies an operator's write once for each request id.
    fn write(&self, request_id: &Arc<str>, command: &Command) -> Answer {
        if let Some(answer) = self.registry.lock().writes.earlier(request_id, command) {
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
        registry.writes.keep(request_id, command, &answer);
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

    fn assign(&self, tasks: &[(TaskId, Attempt, WorkerName)]) -> Answer {
        let taken = tasks.iter().filter(|(task, attempt, worker)| {
            self.jobs.with(&task.job, |jobs| {
                jobs.get_mut(&task.job)
                    .is_some_and(|record| record.assign(task.index, *attempt, worker))
            })
        });
        Answer::Assigned(taken.map(|(task, ..)| *task).collect())
    }

    /// Records an end. A repeated or outdated end changes nothing and succeeds, so that the
    /// worker that resends it can be told to forget it.
    fn end(&self, task: TaskId, attempt: Attempt, ended: AttemptEnd) -> Answer {
        self.settle(task.job, |record| {
            record.end(task.index, attempt, ended);
        });
        Answer::Done
    }

    /// Stops each later start of a job; a job that ended stays as it is.
    fn close<F>(&self, job: JobId, stop: F) -> Outcome<Answer>
    where
        F: FnOnce(&mut JobRecord),
    {
        let found = self.settle(job, |record| {
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

    /// Changes a job and counts its end; tells whether the job exists.
    fn settle<F>(&self, job: JobId, change: F) -> bool
    where
        F: FnOnce(&mut JobRecord),
    {
        let now_ms = self.now_ms();
        let found = self.jobs.with(&job, |jobs| {
            let record = jobs.get_mut(&job)?;
            change(record);
            Some(record.settle(now_ms).then(|| record.clone()))
        });
        if let Some(Some(ended)) = &found {
            self.registry.lock().closed(ended);
        }
        found.is_some()
    }
}
