use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use parking_lot::{Mutex, RwLock};
use tarragon_names::{Name, TeamName, WorkerName};
use tarragon_shard::Sharded;

use crate::{
    Answer, Command, Configuration, Job, JobKey, JobPhase, JobSpec, MachinePhase, Queue, RunEffect,
    RunEvent, TaskKey, Team, TeamRecords, TeamTable, Wave, WaveKey, WorkerIncarnation,
    WorkerRecord, WorkflowSnapshot, job_table::JobTable, unanswered_start::UnansweredStart,
    worker_records::WorkerRecords,
};

/// Number of shards of the job table.
const JOB_SHARDS: usize = 16;

/// Size of the removed queues above which those without jobs are dropped, in bytes. Dropping them
/// reads every job, so small ones stay until there are enough of them.
const MAX_REMOVED_QUEUE_BYTES: usize = 256 << 10;

/// Size of the removed teams above which those without jobs are dropped, in bytes. Dropping them reads
/// every job, so small ones stay until there are enough of them.
const MAX_REMOVED_TEAM_BYTES: usize = 256 << 10;

/// Time for which the state remembers that a start order got no answer, in milliseconds: as long as the
/// order may be carried out, and its run may go on under the longest lease.
const UNANSWERED_RETENTION_MS: u64 = 25_000;

/// Maximum attempts for a job whose queue is unknown. Such a job exists only if the log is damaged.
const FALLBACK_MAX_ATTEMPTS: u32 = 1;

/// Replicated state of the jobs, the configuration, the workers and the waves of upkeep.
///
/// Lock order: configuration, queues, teams, jobs, workers, waves, incarnations going down,
/// unanswered starts. Each lock is held only for one operation.
#[derive(Debug)]
pub struct WorkflowState {
    /// Minimum time for which an ended job is retained, in milliseconds. Expired jobs are
    /// dropped when another job is submitted to the same shard.
    retention_ms: u64,
    configuration: RwLock<Arc<Configuration>>,
    queues: RwLock<BTreeMap<Name, Arc<Queue>>>,
    /// Teams of the configuration in force, and removed ones that jobs may still belong to.
    teams: RwLock<BTreeMap<TeamName, Arc<Team>>>,
    jobs: Sharded<JobTable>,
    workers: Mutex<WorkerRecords>,
    waves: Mutex<BTreeMap<WaveKey, Wave>>,
    /// Incarnations on machines whose upkeep is ordered and not confirmed; follows from the waves.
    going_down: Mutex<BTreeSet<WorkerIncarnation>>,
    /// Tasks for which a start order got no answer lately.
    unanswered_starts: Mutex<BTreeMap<TaskKey, UnansweredStart>>,
    now_ms: AtomicU64,
}

impl WorkflowState {
    /// Creates an empty state that retains ended jobs for `retention_ms`.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            configuration: RwLock::default(),
            queues: RwLock::default(),
            teams: RwLock::default(),
            jobs: Sharded::new(JOB_SHARDS, |_| JobTable::default()),
            workers: Mutex::default(),
            waves: Mutex::default(),
            going_down: Mutex::default(),
            unanswered_starts: Mutex::default(),
            now_ms: AtomicU64::new(0),
        }
    }

    /// Applies a command from the log.
    ///
    /// `at_ms` is the unix time in milliseconds that the leader wrote into the log. The time of the
    /// state never goes back, even if the clock of a new leader is behind.
    pub fn apply(&self, at_ms: u64, command: &Command) -> Answer {
        let now_ms = at_ms.max(self.now_ms.fetch_max(at_ms, Ordering::Relaxed));
        match command {
            Command::PutConfiguration(configuration) => self.put_configuration(configuration),
            Command::PutTeamConfiguration {
                configuration,
                teams,
            } => self.put_configuration(&Configuration {
                teams: Arc::clone(teams),
                ..configuration.clone()
            }),
            Command::Submit { job, queue, spec } => self.submit(*job, queue, None, spec, now_ms),
            Command::SubmitForTeam {
                job,
                queue,
                team,
                spec,
            } => self.submit(*job, queue, Some(team), spec, now_ms),
            Command::Cancel { job } => self.cancel(*job, now_ms),
            Command::RunEvents(events) => {
                let effects = events
                    .iter()
                    .filter_map(|event| self.apply_event(event, now_ms));
                Answer::Recorded(effects.collect())
            }
            Command::PutWorker(record) => self.put_worker(record, now_ms),
            Command::RemoveWorker(incarnation) => self.remove_worker(incarnation, now_ms),
            Command::StartWave { key, wave } => self.start_wave(*key, wave, now_ms),
            Command::MachineDone { key, machine } => {
                self.update_machine(*key, machine, |_| MachinePhase::Done)
            }
            Command::MachineOrdered {
                key,
                machine,
                incarnation,
            } => self.update_machine(*key, machine, |phase| match phase {
                MachinePhase::Waiting => MachinePhase::Ordered {
                    incarnation: incarnation.clone(),
                },
                phase => phase,
            }),
            Command::MachineRefused { key, machine } => {
                self.update_machine(*key, machine, |phase| match phase {
                    MachinePhase::Ordered { .. } => MachinePhase::Waiting,
                    phase => phase,
                })
            }
            Command::StartsUnanswered(tasks) => self.record_unanswered_starts(tasks, now_ms),
            Command::PutSuccession(succession) => {
                self.workers.lock().put_succession(succession);
                Answer::Done
            }
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.configuration.read())
    }

    /// Returns a queue by its name, even if it was removed from the configuration and jobs still
    /// belong to it.
    pub fn queue(&self, name: &Name) -> Option<Arc<Queue>> {
        self.queues.read().get(name).cloned()
    }

    /// Returns a team by its name, even if it was removed from the configuration and jobs still belong
    /// to it. Its last cap and weight bind those jobs.
    pub fn team(&self, name: &TeamName) -> Option<Arc<Team>> {
        self.teams.read().get(name).cloned()
    }

    /// Returns the known teams: those of the configuration in force, and removed ones that jobs may
    /// still belong to.
    pub fn teams(&self) -> Vec<Arc<Team>> {
        self.teams.read().values().cloned().collect()
    }

    /// Calls `f` on a job, under the lock of its shard; None if the job is unknown.
    pub fn with_job<F, R>(&self, key: JobKey, f: F) -> Option<R>
    where
        F: FnOnce(&Job) -> R,
    {
        self.jobs.with(&key, |jobs| jobs.get(key).map(f))
    }

    /// Calls `f` on every job, locking one shard at a time.
    pub fn for_each_job<F>(&self, mut f: F)
    where
        F: FnMut(&Job),
    {
        self.jobs.for_each(|jobs| jobs.iter().for_each(&mut f));
    }

    /// Number of jobs in the state, including ended ones that are retained.
    pub fn job_count(&self) -> usize {
        let mut count = 0;
        self.jobs.for_each(|jobs| count += jobs.len());
        count
    }

    /// Number of tasks whose progress the jobs hold, or will hold once their first tasks are placed.
    pub fn held_tasks(&self) -> u64 {
        let mut count = 0;
        self.jobs.for_each(|jobs| count += jobs.held_tasks());
        count
    }

    /// Number of jobs in a queue that have not ended and of which no task has been placed.
    pub fn pending_job_count(&self, queue: &Name) -> u64 {
        let mut count = 0;
        self.for_each_job(|job| {
            count += u64::from(job.phase == JobPhase::Pending && job.queue == *queue);
        });
        count
    }

    /// Returns the records of all workers.
    pub fn workers(&self) -> Vec<WorkerRecord> {
        self.workers.lock().by_name().values().cloned().collect()
    }

    /// Returns the record of a worker.
    pub fn worker(&self, name: &WorkerName) -> Option<WorkerRecord> {
        self.workers.lock().by_name().get(name).cloned()
    }

    /// Returns whether another incarnation of the worker was recorded, as far as the state remembers. It may
    /// be an earlier one, and calls that were meant for it may reach this one.
    pub fn is_restarted(&self, incarnation: &WorkerIncarnation) -> bool {
        self.workers.lock().is_restarted(incarnation)
    }

    /// Returns whether an incarnation is known to have ended, because another one has followed it or a later
    /// one is recorded. Its announcements have no effect.
    pub fn is_outdated(&self, incarnation: &WorkerIncarnation) -> bool {
        self.workers.lock().is_outdated(incarnation)
    }

    /// Returns the incarnations of the worker whose records were removed, and which would replace this one
    /// if they announced themselves again.
    pub fn rivals(&self, incarnation: &WorkerIncarnation) -> Vec<WorkerIncarnation> {
        self.workers.lock().rivals(incarnation)
    }

    /// Returns the tasks for which a start order got no answer lately, at the unix time `now_ms`, with the
    /// workers that the orders were sent to, as far as they are known.
    pub fn unanswered_starts(&self, now_ms: u64) -> Vec<(TaskKey, Option<WorkerName>)> {
        let oldest_ms = now_ms.saturating_sub(UNANSWERED_RETENTION_MS);
        let recorded = self.unanswered_starts.lock();
        let recent = recorded
            .iter()
            .filter(|(_, start)| start.recorded_ms >= oldest_ms);
        let recent = recent.map(|(task, start)| (*task, start.worker.clone()));
        recent.collect()
    }

    fn record_unanswered_starts(&self, tasks: &[TaskKey], now_ms: u64) -> Answer {
        let oldest_ms = now_ms.saturating_sub(UNANSWERED_RETENTION_MS);
        let workers = tasks.iter().map(|task| (*task, self.worker_of(task)));
        let workers = workers.collect::<Vec<_>>();
        let mut recorded = self.unanswered_starts.lock();
        recorded.retain(|_, start| start.recorded_ms >= oldest_ms);
        for (task, worker) in workers {
            let previous = recorded.remove(&task).and_then(|start| start.worker);
            let start = UnansweredStart {
                recorded_ms: now_ms,
                worker: worker.or(previous),
            };
            recorded.insert(task, start);
        }
        Answer::Done
    }

    /// Worker on which a run of the task is placed.
    fn worker_of(&self, task: &TaskKey) -> Option<WorkerName> {
        let worker = self.with_job(task.step.job, |job| {
            let placement = job.task(task)?.placement()?;
            Some(placement.incarnation.worker.clone())
        });
        worker.flatten()
    }

    /// Returns all waves of upkeep, including completed ones, whose machines may be dropped.
    pub fn waves(&self) -> BTreeMap<WaveKey, Wave> {
        self.waves.lock().clone()
    }

    /// Returns whether any wave of upkeep is not completed.
    pub fn has_open_wave(&self) -> bool {
        let waves = self.waves.lock();
        waves.values().any(|wave| !wave.is_completed())
    }

    /// Returns a wave of upkeep.
    pub fn wave(&self, key: WaveKey) -> Option<Wave> {
        self.waves.lock().get(&key).cloned()
    }

    /// Returns whether the upkeep of the machine of an incarnation is ordered and not confirmed.
    /// Nothing can be placed there.
    pub fn is_going_down(&self, incarnation: &WorkerIncarnation) -> bool {
        self.going_down.lock().contains(incarnation)
    }

    /// Copies the whole state.
    ///
    /// Must be called on the thread that applies commands, because the parts are copied one after
    /// the other.
    pub fn snapshot(&self) -> WorkflowSnapshot {
        let mut jobs = Vec::new();
        self.for_each_job(|job| jobs.push(job.clone()));
        let teams = self.team_records(&jobs);
        let done_occurrences = jobs
            .iter_mut()
            .filter_map(|job| Some((job.key, job.list_done()?)))
            .collect();
        let queues = self.queues.read();
        let (workers, removed_workers, successions) = {
            let workers = self.workers.lock();
            let removed = workers.removed().cloned().collect();
            let successions = workers.successions().cloned().collect();
            (workers.by_name().clone(), removed, successions)
        };
        let (unanswered_starts, unanswered_workers) = self.unanswered_records();
        WorkflowSnapshot {
            configuration: (**self.configuration.read()).clone(),
            queues: queues
                .iter()
                .map(|(name, queue)| (name.clone(), (**queue).clone()))
                .collect(),
            jobs,
            workers,
            waves: self.waves.lock().clone(),
            now_ms: self.now_ms.load(Ordering::Relaxed),
            removed_workers,
            successions,
            teams,
            unanswered_starts,
            done_occurrences,
            unanswered_workers,
        }
    }

    /// Times of the records of start orders without an answer, and their workers, by task.
    fn unanswered_records(&self) -> (BTreeMap<TaskKey, u64>, BTreeMap<TaskKey, WorkerName>) {
        let recorded = self.unanswered_starts.lock();
        let times = recorded
            .iter()
            .map(|(task, start)| (*task, start.recorded_ms));
        let workers = recorded
            .iter()
            .filter_map(|(task, start)| Some((*task, start.worker.clone()?)));
        (times.collect(), workers.collect())
    }

    fn team_records(&self, jobs: &[Job]) -> TeamRecords {
        let teams = self.teams();
        let positions = teams.iter().map(|team| &team.name).zip(0..);
        let positions = positions.collect::<BTreeMap<_, _>>();
        let jobs = jobs.iter().filter_map(|job| {
            let position = positions.get(job.team.as_ref()?)?;
            Some((job.key, *position))
        });
        TeamRecords {
            configured: TeamTable::clone(&self.configuration.read().teams),
            jobs: jobs.collect(),
            teams: teams.iter().map(|team| Team::clone(team)).collect(),
        }
    }

    fn restore_teams(&self, records: TeamRecords) {
        let teams = records.teams.into_iter().map(Arc::new).collect::<Vec<_>>();
        for (key, position) in records.jobs {
            let team = teams.get(position as usize).map(|team| team.name.clone());
            self.jobs
                .with(&key, |jobs| jobs.update(key, |job| job.team = team));
        }
        let teams = teams.into_iter().map(|team| (team.name.clone(), team));
        *self.teams.write() = teams.collect();
    }

    /// Replaces the whole state. Must be called on the thread that applies commands.
    pub fn restore(&self, snapshot: WorkflowSnapshot) {
        *self.configuration.write() = Arc::new(Configuration {
            teams: Arc::new(snapshot.teams.configured.clone()),
            ..snapshot.configuration
        });
        *self.queues.write() = snapshot
            .queues
            .into_iter()
            .map(|(name, queue)| (name, Arc::new(queue)))
            .collect();
        self.jobs.for_each(JobTable::clear);
        for mut job in snapshot.jobs {
            let key = job.key;
            job.unlist_done();
            self.jobs.with(&key, |jobs| jobs.insert(job));
        }
        for (key, done) in snapshot.done_occurrences {
            self.jobs
                .with(&key, |jobs| jobs.update(key, |job| job.done = done));
        }
        self.restore_teams(snapshot.teams);
        *self.workers.lock() = WorkerRecords::new(
            snapshot.workers,
            snapshot.removed_workers,
            snapshot.successions,
        );
        *self.waves.lock() = snapshot.waves;
        let mut workers = snapshot.unanswered_workers;
        let unanswered_starts = snapshot.unanswered_starts.into_iter();
        let unanswered_starts = unanswered_starts.map(|(task, recorded_ms)| {
            let worker = workers.remove(&task);
            let start = UnansweredStart {
                recorded_ms,
                worker,
            };
            (task, start)
        });
        *self.unanswered_starts.lock() = unanswered_starts.collect();
        self.update_going_down();
        self.now_ms.store(snapshot.now_ms, Ordering::Relaxed);
    }

    fn put_configuration(&self, configuration: &Configuration) -> Answer {
        let mut current = self.configuration.write();
        if configuration.version == current.version && current.text != configuration.text {
            return Answer::Conflict;
        }
        if configuration.version <= current.version {
            return Answer::NotNewer;
        }
        let mut queues = self.queues.write();
        for queue in &configuration.queues {
            queues.insert(queue.name.clone(), Arc::new(queue.clone()));
        }
        *current = Arc::new(configuration.clone());
        let mut teams = self.teams.write();
        for team in configuration.teams.iter() {
            teams.insert(team.name.clone(), Arc::new(team.clone()));
        }
        drop(teams);
        drop(queues);
        drop(current);
        self.drop_unused_queues(configuration);
        self.drop_unused_teams(configuration);
        Answer::Done
    }

    /// Drops the teams that neither the configuration in force names nor any job belongs to, if the
    /// removed ones are large together.
    fn drop_unused_teams(&self, configuration: &Configuration) {
        let configured = &configuration.teams;
        let mut removed = self.teams();
        removed.retain(|team| configured.get(&team.name).is_none());
        let removed_bytes = removed.iter().map(|team| team.state_bytes()).sum::<usize>();
        if removed_bytes <= MAX_REMOVED_TEAM_BYTES {
            return;
        }
        let mut used = BTreeSet::new();
        self.for_each_job(|job| {
            if let Some(team) = &job.team
                && !used.contains(team)
            {
                used.insert(team.clone());
            }
        });
        let mut teams = self.teams.write();
        teams.retain(|name, _| configured.get(name).is_some() || used.contains(name));
    }

    /// Drops the queues that neither the configuration in force names nor any job belongs to, if the
    /// removed ones are large together.
    fn drop_unused_queues(&self, configuration: &Configuration) {
        let configured = configuration.queues.iter().map(|queue| &queue.name);
        let configured: BTreeSet<_> = configured.collect();
        let queues = self.queues.read().clone();
        let removed = queues
            .values()
            .filter(|queue| !configured.contains(&queue.name));
        let removed_bytes = removed.map(|queue| queue.state_bytes()).sum::<usize>();
        if removed_bytes <= MAX_REMOVED_QUEUE_BYTES {
            return;
        }
        let mut used = BTreeSet::new();
        self.for_each_job(|job| {
            if !used.contains(&job.queue) {
                used.insert(job.queue.clone());
            }
        });
        let mut queues = self.queues.write();
        queues.retain(|name, _| configured.contains(name) || used.contains(name));
    }

    fn submit(
        &self,
        key: JobKey,
        queue: &Name,
        team: Option<&TeamName>,
        spec: &JobSpec,
        now_ms: u64,
    ) -> Answer {
        let is_queue_known = self.queues.read().contains_key(queue);
        let is_team_known = team.is_none_or(|team| self.teams.read().contains_key(team));
        let new = Job::new(key, queue.clone(), team.cloned(), spec.clone(), now_ms);
        let oldest_retained_ms = now_ms.saturating_sub(self.retention_ms);
        self.jobs.with(&key, |jobs| {
            // The caller resent a job that is already known.
            if jobs.contains(key) {
                return Answer::Done;
            }
            // A configuration that was committed before the job removed its queue.
            if !is_queue_known {
                return Answer::NoSuchQueue;
            }
            if !is_team_known {
                return Answer::NoSuchTeam;
            }
            jobs.retain(|job| {
                let is_over = job.phase.is_final() && job.occurrences.is_empty();
                !is_over || job.ended_ms >= oldest_retained_ms
            });
            jobs.insert(new);
            Answer::Done
        })
    }

    fn cancel(&self, key: JobKey, now_ms: u64) -> Answer {
        let answer = self.jobs.with(&key, |jobs| {
            jobs.update(key, |job| match job.phase {
                JobPhase::Cancelled => Answer::Done,
                phase if phase.is_final() => Answer::EndedBefore(phase),
                _ => {
                    job.cancel(now_ms);
                    Answer::Done
                }
            })
        });
        answer.unwrap_or(Answer::NoSuchJob)
    }

    fn apply_event(&self, event: &RunEvent, now_ms: u64) -> Option<RunEffect> {
        let (RunEvent::Placed { task, .. }
        | RunEvent::Ended { task, .. }
        | RunEvent::Lost { task, .. }) = event;
        let key = task.step.job;
        // A run that starts beside an upkeep order would be ended by it. The log decides which of the
        // two came first.
        if let RunEvent::Placed { incarnation, .. } = event
            && self.is_going_down(incarnation)
        {
            return None;
        }
        let queue = self.with_job(key, |job| job.queue.clone());
        let queue = queue.and_then(|name| self.queue(&name));
        let max_attempts = queue.map_or(FALLBACK_MAX_ATTEMPTS, |queue| queue.max_attempts);
        let effect = self.jobs.with(&key, |jobs| {
            jobs.update(key, |job| job.apply_event(event, max_attempts, now_ms))
        });
        if let RunEvent::Ended {
            incarnation,
            number,
            ..
        } = event
        {
            self.workers.lock().acknowledge(incarnation, *number);
        }
        effect.flatten()
    }

    /// Adds a wave. The machines of completed waves are dropped after the time for which ended jobs are
    /// retained; the waves stay, so that a resent request does not start one again.
    fn start_wave(&self, key: WaveKey, wave: &Wave, now_ms: u64) -> Answer {
        let oldest_retained_ms = now_ms.saturating_sub(self.retention_ms);
        let mut waves = self.waves.lock();
        for known in waves.values_mut() {
            let last_ms = known.requested_ms.max(known.due_ms);
            if last_ms < oldest_retained_ms && known.is_completed() {
                known.machines.clear();
            }
        }
        waves.entry(key).or_insert_with(|| wave.clone());
        Answer::Done
    }

    fn update_machine<F>(&self, key: WaveKey, machine: &Name, next: F) -> Answer
    where
        F: FnOnce(MachinePhase) -> MachinePhase,
    {
        if let Some(wave) = self.waves.lock().get_mut(&key)
            && let Some(phase) = wave.machines.get_mut(machine)
        {
            *phase = next(phase.clone());
        }
        self.update_going_down();
        Answer::Done
    }

    fn update_going_down(&self) {
        let mut going_down = BTreeSet::new();
        for phase in self
            .waves
            .lock()
            .values()
            .flat_map(|wave| wave.machines.values())
        {
            if let MachinePhase::Ordered { incarnation } = phase {
                going_down.extend(incarnation.clone());
            }
        }
        *self.going_down.lock() = going_down;
    }

    /// Puts the record of a worker. What is known of an earlier incarnation is kept for as long as an ended
    /// job.
    fn put_worker(&self, record: &WorkerRecord, now_ms: u64) -> Answer {
        let oldest_ms = now_ms.saturating_sub(self.retention_ms);
        self.workers.lock().put(record, now_ms, oldest_ms)
    }

    /// Removes the record of a worker. What it announced and what was acknowledged to it is kept for as
    /// long as an ended job.
    fn remove_worker(&self, incarnation: &WorkerIncarnation, now_ms: u64) -> Answer {
        let oldest_ms = now_ms.saturating_sub(self.retention_ms);
        self.workers.lock().remove(incarnation, now_ms, oldest_ms);
        Answer::Done
    }
}
