use std::collections::BTreeMap;

use tarragon_names::{Attempt, Fence, Millis, Resources, Session, TaskId, Term};

use crate::{
    GuardAction, GuardConfig, GuardEvent, RunningTask, TaskEnd, TaskSpec, WorkerOrder,
    WorkerReport, task_listing::TaskListing,
};

/// Maximum number of tasks remembered in a session. Beyond it the worker requests a new session;
/// orders of earlier sessions are then refused by their fencing tokens, so the tasks can be
/// forgotten.
const MAX_SEEN_TASKS: usize = 100_000;

/// Worker's side of the lease protocol, which decides which tasks run.
///
/// The guard never runs a task without a lease, refuses orders of every session but the current
/// one, and starts an attempt at most once. Delayed answers are recognized by the clock readings
/// that they repeat, so readings passed in must not recur in a later process of the same worker. A
/// monotonic clock that starts at the wall clock time of process start is sufficient.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseGuard {
    cfg: GuardConfig,
    highest_term: Term,
    session: Option<Session>,
    /// Time of the first registration since the last session ended; answers to earlier
    /// registrations are ignored.
    registering_since: Option<Millis>,
    lease_until: Millis,
    last_sent: Option<Millis>,
    running: BTreeMap<TaskId, (Attempt, Resources)>,
    listing: TaskListing,
    /// Ends of attempts that the leader has not confirmed.
    unconfirmed_ends: BTreeMap<(TaskId, Attempt), TaskEnd>,
    /// Highest attempt of each task that began or was withdrawn in this session.
    seen_attempts: BTreeMap<TaskId, Attempt>,
    is_leaving: bool,
}

impl LeaseGuard {
    /// Creates the guard of a worker that has just started, without a session or running tasks.
    pub fn new(cfg: GuardConfig) -> Self {
        Self {
            cfg,
            highest_term: Term(0),
            session: None,
            registering_since: None,
            lease_until: Millis(0),
            last_sent: None,
            running: BTreeMap::new(),
            listing: TaskListing::default(),
            unconfirmed_ends: BTreeMap::new(),
            seen_attempts: BTreeMap::new(),
            is_leaving: false,
        }
    }

    /// Running tasks with the number of the attempt.
    pub fn running(&self) -> impl Iterator<Item = (TaskId, Attempt)> {
        self.running
            .iter()
            .map(|(task, (attempt, _))| (*task, *attempt))
    }

    /// Returns whether no task runs and every end is confirmed, so that a leaving worker can exit.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.unconfirmed_ends.is_empty()
    }

    /// Current session; None while the worker registers.
    pub fn session(&self) -> Option<Session> {
        self.session
    }

    /// Reading of the worker's own clock at which the lease ends unless renewed.
    pub fn lease_until(&self) -> Millis {
        self.lease_until
    }

    /// Processes an event at the reading `now` of the worker's own clock.
    pub fn step(&mut self, now: Millis, event: GuardEvent) -> Vec<GuardAction> {
        let mut out = Vec::new();
        self.check_lease(now, &mut out);
        match event {
            GuardEvent::Tick => {}
            GuardEvent::Connected => self.last_sent = None,
            GuardEvent::Order(order) => self.handle_order(now, order, &mut out),
            GuardEvent::Usage { task, usage } => {
                if let Some((_, used)) = self.running.get_mut(&task) {
                    *used = usage;
                }
            }
            GuardEvent::Ended { task, attempt, end } => {
                if self.is_running(task, attempt) {
                    self.running.remove(&task);
                    self.unconfirmed_ends.insert((task, attempt), end);
                    self.report_end(task, attempt, &mut out);
                }
            }
            GuardEvent::Leave => {
                self.is_leaving = true;
                self.report_leaving(&mut out);
            }
        }
        self.send_due_report(now, &mut out);
        out
    }

    /// Stops all tasks if the lease has ended. Called before the event is processed.
    fn check_lease(&mut self, now: Millis, out: &mut Vec<GuardAction>) {
        if now < self.lease_until || (self.session.is_none() && self.running.is_empty()) {
            return;
        }
        for (task, (attempt, _)) in std::mem::take(&mut self.running) {
            out.push(GuardAction::Stop { task, attempt });
            self.unconfirmed_ends
                .insert((task, attempt), TaskEnd::Stopped);
        }
        self.leave_session();
    }

    fn leave_session(&mut self) {
        if self.session.take().is_some() {
            self.registering_since = None;
            self.last_sent = None;
        }
    }

    fn handle_order(&mut self, now: Millis, order: WorkerOrder, out: &mut Vec<GuardAction>) {
        match order {
            WorkerOrder::Welcome {
                term,
                session,
                clock,
                lease,
            } => {
                let is_current = self.registering_since.is_some_and(|first| clock >= first);
                if self.session.is_none() && is_current && self.renew(now, term, clock, lease) {
                    self.session = Some(session);
                    self.registering_since = None;
                    self.last_sent = None;
                    self.listing.reset();
                    self.prune_seen_attempts();
                }
            }
            WorkerOrder::HeartbeatReply {
                term,
                session,
                clock,
                lease,
            } => {
                if self.session == Some(session) {
                    self.renew(now, term, clock, lease);
                    self.listing.record_answer(clock);
                }
            }
            WorkerOrder::UnknownSession { term } => {
                if term >= self.highest_term {
                    self.highest_term = term;
                    self.leave_session();
                }
            }
            WorkerOrder::Start {
                fence,
                task,
                attempt,
                spec,
            } => {
                if self.accepts_fence(fence) {
                    self.start_attempt(task, attempt, spec, out);
                }
            }
            WorkerOrder::Stop {
                fence,
                task,
                attempt,
            } => {
                if self.accepts_fence(fence) {
                    self.stop_attempt(task, attempt, out);
                }
            }
            WorkerOrder::Throttle {
                fence,
                task,
                attempt,
                cpu_milli,
            } => {
                if self.accepts_fence(fence) && self.is_running(task, attempt) {
                    out.push(GuardAction::Throttle {
                        task,
                        attempt,
                        cpu_milli,
                    });
                }
            }
            WorkerOrder::Checkpoint {
                fence,
                task,
                attempt,
            } => {
                if self.accepts_fence(fence) && self.is_running(task, attempt) {
                    out.push(GuardAction::Checkpoint { task, attempt });
                }
            }
            WorkerOrder::EndRecorded { task, attempt } => {
                self.unconfirmed_ends.remove(&(task, attempt));
            }
            WorkerOrder::SwitchGateway => out.push(GuardAction::SwitchGateway),
        }
    }

    /// Renews the lease, counted from the worker's own reading `clock`; false if the answer is from
    /// a deposed leader, or invalid, or the lease has already ended.
    fn renew(&mut self, now: Millis, term: Term, clock: Millis, lease: Millis) -> bool {
        if term < self.highest_term || clock > now || now >= clock + lease {
            return false;
        }
        self.highest_term = term;
        self.lease_until = self.lease_until.max(clock + lease);
        true
    }

    /// Returns whether an order is for the current session and not from a deposed leader.
    fn accepts_fence(&mut self, fence: Fence) -> bool {
        if self.session != Some(fence.session) || fence.term < self.highest_term {
            return false;
        }
        self.highest_term = fence.term;
        true
    }

    fn start_attempt(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        spec: TaskSpec,
        out: &mut Vec<GuardAction>,
    ) {
        let was_seen = self
            .seen_attempts
            .get(&task)
            .is_some_and(|seen| *seen >= attempt);
        if self.running.contains_key(&task) || was_seen {
            self.report_end(task, attempt, out);
            return;
        }
        self.seen_attempts.insert(task, attempt);
        self.running.insert(task, (attempt, Resources::ZERO));
        out.push(GuardAction::Start {
            task,
            attempt,
            spec,
        });
    }

    fn stop_attempt(&mut self, task: TaskId, attempt: Attempt, out: &mut Vec<GuardAction>) {
        if self.is_running(task, attempt) {
            out.push(GuardAction::Stop { task, attempt });
            return;
        }
        if self
            .seen_attempts
            .get(&task)
            .is_none_or(|seen| *seen < attempt)
        {
            self.seen_attempts.insert(task, attempt);
            self.unconfirmed_ends
                .insert((task, attempt), TaskEnd::NeverBegan);
        }
        self.report_end(task, attempt, out);
    }

    fn is_running(&self, task: TaskId, attempt: Attempt) -> bool {
        self.running
            .get(&task)
            .is_some_and(|(running, _)| *running == attempt)
    }

    /// Forgets attempts at the start of a session. Orders of earlier sessions are refused, so only
    /// the attempts that orders of the new session may repeat are kept.
    fn prune_seen_attempts(&mut self) {
        let running = self.running().collect::<Vec<_>>();
        self.seen_attempts.clear();
        for (task, attempt) in running
            .into_iter()
            .chain(self.unconfirmed_ends.keys().copied())
        {
            let seen = self.seen_attempts.entry(task).or_default();
            *seen = attempt.max(*seen);
        }
    }

    fn report_end(&self, task: TaskId, attempt: Attempt, out: &mut Vec<GuardAction>) {
        let end = self.unconfirmed_ends.get(&(task, attempt));
        if let (Some(session), Some(end)) = (self.session, end) {
            out.push(GuardAction::Send(WorkerReport::TaskEnded {
                session,
                task,
                attempt,
                end: *end,
            }));
        }
    }

    fn report_leaving(&self, out: &mut Vec<GuardAction>) {
        if let Some(session) = self.session.filter(|_| self.is_leaving) {
            out.push(GuardAction::Send(WorkerReport::Leaving { session }));
        }
    }

    /// Sends a registration, or a heartbeat with the unconfirmed ends, if one is due.
    fn send_due_report(&mut self, now: Millis, out: &mut Vec<GuardAction>) {
        if self.seen_attempts.len() > MAX_SEEN_TASKS {
            self.leave_session();
        }
        if self
            .last_sent
            .is_some_and(|sent| now.since(sent) < self.cfg.heartbeat_interval)
        {
            return;
        }
        self.last_sent = Some(now);
        let running = self.running.iter();
        let running = running.map(|(task, (attempt, usage))| RunningTask {
            task: *task,
            attempt: *attempt,
            usage: *usage,
        });
        let Some(session) = self.session else {
            self.registering_since.get_or_insert(now);
            let ended = self.unconfirmed_ends.iter();
            out.push(GuardAction::Send(WorkerReport::Register {
                worker: self.cfg.worker.clone(),
                domain: self.cfg.domain.clone(),
                rack: self.cfg.rack.clone(),
                capacity: self.cfg.capacity,
                clock: now,
                running: running.collect(),
                ended: ended
                    .map(|((task, attempt), end)| (*task, *attempt, *end))
                    .collect(),
            }));
            return;
        };
        let running = self.listing.list(now, running);
        for (task, attempt) in self.unconfirmed_ends.keys() {
            self.report_end(*task, *attempt, out);
        }
        out.push(GuardAction::Send(WorkerReport::Heartbeat {
            session,
            clock: now,
            running,
        }));
        self.report_leaving(out);
    }
}
