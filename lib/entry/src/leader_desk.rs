use std::{sync::Arc, time::Duration};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_dispatch::Input;
use tarragon_names::{Name, Term, WorkerName};
use tarragon_replica::{Clock, LeaderHint, ReplicaHandle};
use tarragon_telemetry::{Event, EventSink};
use tarragon_workflow::{
    Answer, Command, Configuration, JobKey, JobSpec, Queue, Wave, WaveKey, WorkflowState,
};

use crate::{
    Hello, Reply, Request, WorkerReport, WorkflowLog,
    dispatch_handle::DispatchHandle,
    heartbeats::{Heartbeats, Meaning},
    voters::Voters,
};

/// Jobs that are remembered, ended ones included, before more are refused; it bounds the memory.
const MOST_JOBS: usize = 100_000;

/// Time to come back that a refused caller is told, in milliseconds.
const RETRY_MS: u64 = 500;

/// Answers requests while this host leads.
#[derive(Debug)]
pub(crate) struct LeaderDesk {
    pub(crate) flow: Arc<WorkflowState>,
    pub(crate) replica: ReplicaHandle<WorkflowLog>,
    pub(crate) dispatch: DispatchHandle,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) hint: Arc<LeaderHint>,
    pub(crate) events: Arc<dyn EventSink>,
    pub(crate) voters: Arc<Voters>,
    pub(crate) heartbeats: Heartbeats,
    /// Where workers may send their heartbeats.
    pub(crate) heartbeat_address: Name,
    /// Time in which a write is committed, or its outcome counts as unknown.
    pub(crate) commit_limit: Duration,
}

impl LeaderDesk {
    /// Answers a request, or says that another host leads.
    pub(crate) async fn answer(&self, request: Request) -> Outcome<Reply> {
        if !self.leads() {
            return Ok(Reply::NotLeader {
                leader: self.hint.with_term(),
            });
        }
        match request {
            Request::Submit { host, path, spec } => self.submit(&host, &path, spec).await,
            Request::ReadStatus { host, path } => self.confirmed(self.look(&host, &path)),
            Request::Cancel { host, path } => self.cancel(&host, &path).await,
            Request::PutConfiguration(document) => self.put_document(document).await,
            Request::ReadConfiguration => {
                let document = self.flow.configuration();
                self.confirmed(Ok(Reply::Configuration(document.text.clone())))
            }
            Request::Announce(report) => self.announce(report).await,
            Request::Leave(worker) => self.leave(&worker).await,
            Request::StartWave { key, wave } => self.start_wave(key, wave).await,
            Request::CheckWave(key) => self.confirmed(self.look_at_wave(key)),
            Request::Hello(hello) => self.hello(hello).await,
            Request::Advise(_) => Err(Failure::of(Code::NoSuchCall)),
        }
    }

    pub(crate) fn leads(&self) -> bool {
        self.dispatch.leads_at(self.clock.now())
    }

    /// Gives out what was read only if no other host can have led meanwhile.
    fn confirmed(&self, read: Outcome<Reply>) -> Outcome<Reply> {
        if self.leads() {
            read
        } else {
            Ok(Reply::NotLeader { leader: None })
        }
    }

    /// The queue of a request and the job that it names, if it names one.
    fn resolve(&self, host: &str, path: &str) -> Outcome<(Queue, Option<JobKey>)> {
        let document = self.flow.configuration();
        if document.version == 0 {
            let failure = Failure::new(Code::CatalogueNotFresh, "no configuration yet");
            return Err(failure.retry_after(RETRY_MS));
        }
        let Some((queue, rest)) = document.resolve(host, path) else {
            return Err(Failure::of(Code::NoEntry));
        };
        let job = if rest.is_empty() {
            None
        } else {
            Some(rest.parse()?)
        };
        Ok((queue.clone(), job))
    }

    async fn submit(&self, host: &str, path: &str, spec: JobSpec) -> Outcome<Reply> {
        let (queue, job) = match self.resolve(host, path) {
            Ok(resolved) => resolved,
            Err(failure) => return self.confirmed(Err(failure)),
        };
        let Some(job) = job else {
            return Err(Failure::new(Code::Malformed, "the path names no job"));
        };
        if self.flow.with_job(job, |_| ()).is_some() {
            return self.confirmed(Ok(Reply::Done));
        }
        spec.check()?;
        if self.flow.job_count() >= MOST_JOBS {
            return self.confirmed(Err(Failure::of(Code::TooManyRequests).retry_after(RETRY_MS)));
        }
        let asked = spec.to_string();
        let command = Command::Submit {
            job,
            queue: queue.name.clone(),
            spec,
        };
        self.propose(command).await?;
        let event = Event::info("job_accepted").request(Name::from(job.to_string()));
        let version = self.flow.configuration().version;
        let detail = format!("queue {}, configuration {version}, {asked}", queue.name);
        self.events.emit(&event.detail(detail));
        Ok(Reply::Done)
    }

    fn look(&self, host: &str, path: &str) -> Outcome<Reply> {
        let (queue, job) = self.resolve(host, path)?;
        let Some(job) = job else {
            return Ok(Reply::PendingCount(
                self.flow.pending_job_count(&queue.name),
            ));
        };
        let phase = self.flow.with_job(job, |job| job.phase);
        let phase = phase.ok_or_else(|| Failure::of(Code::NoSuchJob))?;
        Ok(Reply::Phase(phase))
    }

    async fn cancel(&self, host: &str, path: &str) -> Outcome<Reply> {
        let (_, job) = match self.resolve(host, path) {
            Ok(resolved) => resolved,
            Err(failure) => return self.confirmed(Err(failure)),
        };
        let Some(job) = job else {
            return Err(Failure::new(Code::Malformed, "the path names no job"));
        };
        if self.flow.with_job(job, |_| ()).is_none() {
            return self.confirmed(Err(Failure::of(Code::NoSuchJob)));
        }
        let answer = self.propose(Command::Cancel { job }).await?;
        let event = Event::info("job_cancelled").request(Name::from(job.to_string()));
        self.events.emit(&event.detail(answer.to_string()));
        match answer {
            Answer::NoSuchJob => Err(Failure::of(Code::NoSuchJob)),
            _ => Ok(Reply::Done),
        }
    }

    async fn put_document(&self, document: Configuration) -> Outcome<Reply> {
        let version = document.version;
        let answer = self.propose(Command::PutConfiguration(document)).await?;
        let held = self.flow.configuration().version;
        let event = Event::info("configuration_put");
        let detail = format!("version {version}: {answer}, version {held} in force");
        self.events.emit(&event.detail(detail));
        Ok(Reply::Done)
    }

    async fn announce(&self, report: WorkerReport) -> Outcome<Reply> {
        let life = report.record.incarnation.clone();
        let commands = match self.heartbeats.judge(&self.flow, &report) {
            Meaning::Stale => Vec::new(),
            Meaning::Unchanged => {
                let life = life.clone();
                let leaves_in = report.leaves_in;
                self.dispatch.send(Input::HeartbeatReceived {
                    incarnation: life,
                    leaves_in,
                });
                Vec::new()
            }
            Meaning::Changed(commands) => {
                let event = Event::info("worker_announced").worker(life.worker.clone());
                let record = &report.record;
                let labels = record.labels.iter().map(|label| &**label);
                let detail = format!(
                    "{life} at {}, {}, labels {}, draining: {}, sequence {}",
                    record.address,
                    record.capacity,
                    labels.collect::<Vec<_>>().join(" "),
                    record.is_draining,
                    report.sequence
                );
                self.events.emit(&event.detail(detail));
                commands
            }
        };
        if commands.is_empty() {
            return Ok(self.announced());
        }
        for command in commands {
            self.propose(command).await?;
        }
        let leaves_in = report.leaves_in;
        self.dispatch.send(Input::HeartbeatReceived {
            incarnation: life,
            leaves_in,
        });
        Ok(self.announced())
    }

    fn announced(&self) -> Reply {
        Reply::Announced {
            heartbeat_address: self.heartbeat_address.clone(),
        }
    }

    async fn leave(&self, worker: &WorkerName) -> Outcome<Reply> {
        let Some(record) = self.flow.worker(worker) else {
            return Ok(Reply::Done);
        };
        // The message may be late and from an earlier life under the same name, so that only a
        // worker that said it would leave is removed by it; silence removes any other.
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
        let event = Event::info("wave_started");
        let detail = format!(
            "wave {key}, {} machines, {} at once",
            wave.machines.len(),
            wave.max_machines_down
        );
        self.propose(Command::StartWave { key, wave }).await?;
        self.events.emit(&event.detail(detail));
        Ok(Reply::Done)
    }

    fn look_at_wave(&self, key: WaveKey) -> Outcome<Reply> {
        let wave = self.flow.wave(key);
        let wave = wave.ok_or_else(|| Failure::of(Code::NoSuchTarget))?;
        Ok(Reply::Wave {
            is_completed: wave.is_completed(),
        })
    }

    async fn hello(&self, hello: Hello) -> Outcome<Reply> {
        let host = hello.host.clone();
        self.dispatch.send(if hello.is_stopping {
            Input::HostStops(host)
        } else {
            Input::HostSeen {
                host,
                is_large: hello.member.is_some(),
            }
        });
        let members = self.voters.seen(hello).await?;
        let term = self.hint.with_term().map_or(Term(0), |(term, _)| term);
        Ok(Reply::Welcome { term, members })
    }

    pub(crate) async fn propose(&self, command: Command) -> Outcome<Answer> {
        let at_ms = self.clock.wall_ms();
        self.replica
            .propose(at_ms, command, self.commit_limit)
            .await
    }
}
