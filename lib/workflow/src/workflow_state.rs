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
    RunEvent, TaskKey, Team, Wave, WaveKey, WorkerIncarnation, WorkerRecord, job_table::JobTable,
    unanswered_start::UnansweredStart, worker_records::WorkerRecords,
};

/// Number of shards of the job table.
const JOB_SHARDS: usize = 16;

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
    pub(crate) retention_ms: u64,
    pub(crate) configuration: RwLock<Arc<Configuration>>,
    pub(crate) queues: RwLock<BTreeMap<Name, Arc<Queue>>>,
    /// Teams of the configuration in force, and removed ones that jobs may still belong to.
    pub(crate) teams: RwLock<BTreeMap<TeamName, Arc<Team>>>,
    pub(crate) jobs: Sharded<JobTable>,
    pub(crate) workers: Mutex<WorkerRecords>,
    pub(crate) waves: Mutex<BTreeMap<WaveKey, Wave>>,
    /// Incarnations on machines whose upkeep is ordered and not confirmed; follows from the waves.
    pub(crate) going_down: Mutex<BTreeSet<WorkerIncarnation>>,
    /// Tasks for which a start order got no answer lately.
    pub(crate) unanswered_starts: Mutex<BTreeMap<TaskKey, UnansweredStart>>,
    pub(crate) now_ms: AtomicU64,
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
