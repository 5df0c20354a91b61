use std::{sync::Arc, time::Duration};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_discovery::LeaderHint;
use tarragon_dispatch::Input;
use tarragon_names::{Name, TeamName, WorkerName};
use tarragon_replica::{Clock, LeaderLease, ReplicaHandle};
use tarragon_telemetry::{Event, EventSink};
use tarragon_workflow::{
    Answer, Command, Configuration, JobKey, JobPhase, JobSpec, KeyDigest, TeamTable, Wave, WaveKey,
    WorkerRecord, WorkflowState,
};

use crate::{
    EntryMetrics, Hello, RefusalCause, Reply, Request, WorkerReport, WorkflowLog,
    dispatch_handle::DispatchHandle,
    heartbeat_tracker::{HeartbeatEffect, HeartbeatTracker},
    task_admission::{TaskAdmission, TaskReservation},
    unstarted_jobs::UnstartedJobs,
    voter_manager::VoterManager,
};

/// Maximum number of jobs in the state, ended ones included, to bound the memory; further jobs are
/// refused.
const MAX_JOBS: usize = 100_000;

/// Time after which a refused caller may try again, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// What a caller's request refers to.
#[derive(Debug)]
struct ResolvedCall {
    /// Name of the queue.
    queue: Name,
    job: Option<JobKey>,
    /// Team of the caller; `None` if the call needs no key and carries none.
    team: Option<TeamName>,
    /// Teams of the configuration that the request was resolved with.
    teams: Arc<TeamTable>,
}

/// Handles requests while this host leads.
#[derive(Debug)]
pub(crate) struct LeaderService {
    pub(crate) workflow_state: Arc<WorkflowState>,
    pub(crate) replica: ReplicaHandle<WorkflowLog>,
    pub(crate) dispatch: DispatchHandle,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) leader_hint: Arc<LeaderHint>,
    pub(crate) events: Arc<dyn EventSink>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) voter_manager: Arc<VoterManager>,
    pub(crate) unstarted_jobs: Arc<UnstartedJobs>,
    pub(crate) task_admission: TaskAdmission,
    pub(crate) heartbeats: HeartbeatTracker,
    /// Address of this host for heartbeats, which is announced to workers.
    pub(crate) heartbeat_address: Name,
    /// Time after which the outcome of a write that is not committed counts as unknown.
    pub(crate) commit_timeout: Duration,
}

impl LeaderService {
    /// Answers a request, or returns [`Reply::NotLeader`] if this host does not lead.
    pub(crate) async fn answer(&self, request: Request) -> Outcome<Reply> {
        if !self.is_leader() {
            return Ok(Reply::NotLeader {
                leader: self.leader_hint.with_term(),
            });
        }
        match request {
            Request::WithKey { key, request } => self.answer_caller(Some(key), *request).await,
            Request::PutConfiguration(configuration) => self.put_configuration(configuration).await,
            Request::PutTeamConfiguration {
                configuration,
                teams,
            } => {
                self.put_configuration(Configuration {
                    teams,
                    ..configuration
                })
                .await
            }
            Request::ReadConfiguration => {
                let configuration = self.workflow_state.configuration();
                self.if_still_leader(Ok(Reply::Configuration(configuration.text.clone())))
            }
            Request::Announce(report) => self.record_heartbeat(report).await,
            Request::Leave(worker) => self.remove_leaving_worker(&worker).await,
            Request::StartWave { key, wave } => self.start_wave(key, wave).await,
            Request::CheckWave(key) => self.if_still_leader(self.check_wave(key)),
            Request::Hello(hello) => self.register_host(hello).await,
            request => self.answer_caller(None, request).await,
        }
    }

    /// Answers a request of a caller, with the key that it carries.
    async fn answer_caller(&self, key: Option<KeyDigest>, request: Request) -> Outcome<Reply> {
        match request {
            Request::Submit { host, path, spec } => self.submit(&host, &path, key, spec).await,
            Request::ReadStatus { host, path } => {
                self.if_still_leader(self.read_status(&host, &path, key))
            }
            Request::Cancel { host, path } => self.cancel(&host, &path, key).await,
            _ => Err(Failure::of(Code::NoSuchCall)),
        }
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.lease().is_some()
    }

    /// Returns the lease of this host; `None` if another host may lead.
    pub(crate) fn lease(&self) -> Option<LeaderLease> {
        self.dispatch.lease_at(self.clock.now())
    }

    /// Returns a result that was read from the local state, or [`Reply::NotLeader`] if another host
    /// may lead by now and may have changed the state.
    fn if_still_leader(&self, result: Outcome<Reply>) -> Outcome<Reply> {
        if self.is_leader() {
            result
        } else {
            Ok(Reply::NotLeader { leader: None })
        }
    }

    /// Returns the queue of a caller's request, the job if the path names one, and the caller's team.
    ///
    /// The lease of the leader proves that the configuration is the newest one, for keys as for queues.
    fn resolve(&self, host: &str, path: &str, key: Option<KeyDigest>) -> Outcome<ResolvedCall> {
        let configuration = self.workflow_state.configuration();
        if configuration.version == 0 {
            let failure = Failure::new(Code::CatalogueNotFresh, "no configuration yet");
            return Err(failure.retry_after(RETRY_AFTER_MS));
        }
        let Some((queue, rest)) = configuration.resolve(host, path) else {
            return Err(Failure::of(Code::NoEntry));
        };
        let teams = Arc::clone(&configuration.teams);
        let team = teams.authenticate(&queue.name, key.as_ref());
        let team = team.inspect_err(|_| self.count_refusal(None, RefusalCause::UnknownKey))?;
        let team = team.map(|team| team.name.clone());
        let job = if rest.is_empty() {
            None
        } else {
            Some(rest.parse()?)
        };
        Ok(ResolvedCall {
            queue: queue.name.clone(),
            job,
            team,
            teams,
        })
    }

    /// Returns the state of a job that the caller may see; `None` if there is no such job.
    fn visible_phase(&self, call: &ResolvedCall, job: JobKey) -> Outcome<Option<JobPhase>> {
        let known = self
            .workflow_state
            .with_job(job, |job| (job.phase, job.team.clone()));
        let Some((phase, owner)) = known else {
            return Ok(None);
        };
        let owner = owner.and_then(|owner| self.workflow_state.team(&owner));
        let team = call.team.as_ref();
        let checked = call.teams.check_owner(owner.as_deref(), team);
        checked.inspect_err(|_| self.count_refusal(team, RefusalCause::OtherTeam))?;
        Ok(Some(phase))
    }

    fn count_refusal(&self, team: Option<&TeamName>, cause: RefusalCause) {
        self.metrics.refused_calls.count(team, cause);
    }

    async fn submit(
        &self,
        host: &str,
        path: &str,
        key: Option<KeyDigest>,
        spec: JobSpec,
    ) -> Outcome<Reply> {
        let call = match self.resolve(host, path, key) {
            Ok(call) => call,
            Err(failure) => return self.if_still_leader(Err(failure)),
        };
        let Some(job) = call.job else {
            return Err(Failure::new(Code::Malformed, "the path names no job"));
        };
        match self.visible_phase(&call, job) {
            Ok(None) => {}
            known => return self.if_still_leader(known.map(|_| Reply::Done)),
        }
        spec.check()?;
        let _reservation = match self.admit(&call, job, &spec) {
            Ok(reservation) => reservation,
            Err(failure) => return self.if_still_leader(Err(failure)),
        };
        self.check_formed().await?;
        let detail = self.submission_detail(&call, &spec);
        match self.propose(submit_command(&call, job, spec)).await? {
            Answer::NoSuchQueue => return Err(Failure::of(Code::NoEntry)),
            Answer::NoSuchTeam => {
                // The key may belong to another team by now, so the caller tries again.
                let failure = Failure::new(Code::CatalogueNotFresh, "the team was just removed");
                return Err(failure.retry_after(RETRY_AFTER_MS));
            }
            _ => {}
        }
        // A submission of another team with the same job may have been committed just before this one.
        self.visible_phase(&call, job)?;
        let event = Event::info("job_accepted").request(Name::from(job.to_string()));
        self.events.emit(&event.detail(detail));
        Ok(Reply::Done)
    }

    /// Reserves room for a new job, or refuses one that exceeds the cap of its team or for which there
    /// is no room.
    fn admit(
        &self,
        call: &ResolvedCall,
        job: JobKey,
        spec: &JobSpec,
    ) -> Outcome<TaskReservation<'_>> {
        if let Some(team) = call.team.as_ref().and_then(|team| call.teams.get(team)) {
            let checked = team.check_job(spec);
            checked.inspect_err(|_| self.count_refusal(Some(&team.name), RefusalCause::Cap))?;
        }
        if self.workflow_state.job_count() >= MAX_JOBS {
            return Err(Failure::of(Code::TooManyRequests).retry_after(RETRY_AFTER_MS));
        }
        let tasks = spec.tasks();
        self.task_admission
            .reserve(&self.workflow_state, job, tasks)
    }

    fn submission_detail(&self, call: &ResolvedCall, spec: &JobSpec) -> String {
        let version = self.workflow_state.configuration().version;
        let queue = &call.queue;
        let team = call.team.as_ref().map(|team| format!(", team {team}"));
        let team = team.unwrap_or_default();
        format!("queue {queue}, configuration {version}, {spec}{team}")
    }

    fn read_status(&self, host: &str, path: &str, key: Option<KeyDigest>) -> Outcome<Reply> {
        let call = self.resolve(host, path, key)?;
        let Some(job) = call.job else {
            let unplaced = self.workflow_state.pending_job_count(&call.queue);
            let unstarted = self.unstarted_jobs.count(&call.queue);
            return Ok(Reply::PendingCount(unplaced + unstarted));
        };
        let phase = self.visible_phase(&call, job)?;
        let phase = phase.ok_or_else(|| Failure::of(Code::NoSuchJob))?;
        Ok(Reply::Phase(phase))
    }

    async fn cancel(&self, host: &str, path: &str, key: Option<KeyDigest>) -> Outcome<Reply> {
        let call = match self.resolve(host, path, key) {
            Ok(call) => call,
            Err(failure) => return self.if_still_leader(Err(failure)),
        };
        let Some(job) = call.job else {
            return Err(Failure::new(Code::Malformed, "the path names no job"));
        };
        match self.visible_phase(&call, job) {
            Ok(Some(_)) => {}
            Ok(None) => return self.if_still_leader(Err(Failure::of(Code::NoSuchJob))),
            Err(failure) => return self.if_still_leader(Err(failure)),
        }
        let answer = self.propose(Command::Cancel { job }).await?;
        let event = Event::info("job_cancelled").request(Name::from(job.to_string()));
        self.events.emit(&event.detail(answer.to_string()));
        match answer {
            Answer::NoSuchJob => Err(Failure::of(Code::NoSuchJob)),
            _ => Ok(Reply::Done),
        }
    }

    async fn put_configuration(&self, configuration: Configuration) -> Outcome<Reply> {
        let version = configuration.version;
        // A configuration that changes nothing does not take up room in the log.
        if version <= self.workflow_state.configuration().version {
            return self.if_still_leader(Ok(Reply::Done));
        }
        self.check_formed().await?;
        let answer = self.propose(put_command(configuration)).await?;
        let version_in_force = self.workflow_state.configuration().version;
        let event = Event::info("configuration_put");
        let detail = format!("version {version}: {answer}, version {version_in_force} in force");
        self.events.emit(&event.detail(detail));
        Ok(Reply::Done)
    }

    async fn record_heartbeat(&self, report: WorkerReport) -> Outcome<Reply> {
        let incarnation = report.record.incarnation.clone();
        match self.heartbeats.effect_of(&self.workflow_state, &report) {
            HeartbeatEffect::Stale => return Ok(self.announced_reply()),
            HeartbeatEffect::Unchanged => {}
            HeartbeatEffect::UnknownPool => return self.refuse_unknown_pool(&report),
            HeartbeatEffect::AddressTaken(holder) => {
                let claim = report.record;
                self.dispatch.send(Input::AddressClaimed { holder, claim });
                return Ok(self.announced_reply());
            }
            HeartbeatEffect::Changed(command) => {
                let event = Event::info("worker_announced").worker(incarnation.worker.clone());
                let record = &report.record;
                let labels = record.labels.iter().map(|label| &**label);
                let detail = format!(
                    "{incarnation} at {}, {}, labels {}, draining: {}, sequence {}",
                    record.address,
                    record.capacity,
                    labels.collect::<Vec<_>>().join(" "),
                    record.is_draining,
                    report.sequence
                );
                self.events.emit(&event.detail(detail));
                self.propose(command).await?;
            }
        }
        let leaves_in = report.leaves_in;
        self.dispatch.send(Input::HeartbeatReceived {
            incarnation,
            leaves_in,
        });
        Ok(self.announced_reply())
    }

    /// Refuses the heartbeat of a worker that serves no pool of the configuration. A worker whose pool is
    /// configured later repeats its heartbeat.
    fn refuse_unknown_pool(&self, report: &WorkerReport) -> Outcome<Reply> {
        let WorkerRecord {
            incarnation, pool, ..
        } = &report.record;
        let event = Event::warning("heartbeat_refused").worker(incarnation.worker.clone());
        let detail = format!("{incarnation} of pool {pool}, which is not configured");
        self.events.emit(&event.detail(detail));
        let failure = Failure::new(Code::CatalogueNotFresh, "the service is not configured");
        Err(failure.retry_after(RETRY_AFTER_MS))
    }

    fn announced_reply(&self) -> Reply {
        Reply::Announced {
            heartbeat_address: self.heartbeat_address.clone(),
        }
    }

    async fn remove_leaving_worker(&self, worker: &WorkerName) -> Outcome<Reply> {
        let Some(record) = self.workflow_state.worker(worker) else {
            return Ok(Reply::Done);
        };
        // The message may be a late one of an earlier incarnation with the same name, so it removes
        // only a worker that has announced that it leaves. Any other worker is removed after
        // silence.
        if record.is_draining {
            let event = Event::info("worker_left").worker(worker.clone());
            self.events
                .emit(&event.detail(record.incarnation.to_string()));
            self.propose(Command::RemoveWorker(record.incarnation))
                .await?;
        }
        Ok(Reply::Done)
    }

    async fn start_wave(&self, key: WaveKey, wave: Wave) -> Outcome<Reply> {
        // The operator resent a wave that is already known.
        if self.workflow_state.wave(key).is_some() {
            return self.if_still_leader(Ok(Reply::Done));
        }
        let event = Event::info("wave_started");
        let detail = format!(
            "wave {key}, {} machines, {} at once",
            wave.machines.len(),
            wave.max_machines_down
        );
        self.check_formed().await?;
        self.propose(Command::StartWave { key, wave }).await?;
        self.events.emit(&event.detail(detail));
        Ok(Reply::Done)
    }

    fn check_wave(&self, key: WaveKey) -> Outcome<Reply> {
        let wave = self.workflow_state.wave(key);
        let wave = wave.ok_or_else(|| Failure::of(Code::NoSuchTarget))?;
        Ok(Reply::Wave {
            is_completed: wave.is_completed(),
        })
    }

    async fn register_host(&self, hello: Hello) -> Outcome<Reply> {
        let host = hello.host.clone();
        self.dispatch.send(if hello.is_stopping {
            Input::HostStops(host)
        } else {
            Input::HostSeen {
                host,
                domain: hello.domain.clone(),
                is_large: hello.member.is_some(),
                capacity: hello.capacity,
            }
        });
        let members = self.voter_manager.register_host(hello).await?;
        let Some(lease) = self.lease() else {
            return Ok(Reply::NotLeader { leader: None });
        };
        Ok(Reply::Welcome {
            term: lease.term(),
            members,
        })
    }

    /// Refuses what would be lost with one disk while the group forms.
    async fn check_formed(&self) -> Outcome<()> {
        if self.voter_manager.is_forming().await? {
            let cause = "the group has too few voters so far";
            let failure = Failure::new(Code::CatalogueNotFresh, cause);
            return Err(failure.retry_after(RETRY_AFTER_MS));
        }
        Ok(())
    }

    pub(crate) async fn propose(&self, command: Command) -> Outcome<Answer> {
        let at_ms = self.clock.wall_ms();
        self.replica
            .propose(at_ms, command, self.commit_timeout)
            .await
    }
}

/// The command that adds a job for the team of its caller.
fn submit_command(call: &ResolvedCall, job: JobKey, spec: JobSpec) -> Command {
    let queue = call.queue.clone();
    match call.team.clone() {
        Some(team) => Command::SubmitForTeam {
            job,
            queue,
            team,
            spec,
        },
        None => Command::Submit { job, queue, spec },
    }
}

/// The command that puts a configuration.
fn put_command(configuration: Configuration) -> Command {
    if configuration.teams.is_empty() {
        return Command::PutConfiguration(configuration);
    }
    let teams = Arc::clone(&configuration.teams);
    Command::PutTeamConfiguration {
        configuration,
        teams,
    }
}
