use std::collections::BTreeMap;

use tarragon_names::{Attempt, Fence, Millis, Resources, Session, TaskId, Term};

use crate::{
    GuardAction, GuardConfig, GuardEvent, RunningTask, TaskEnd, TaskSpec, WorkerOrder,
    WorkerReport, task_listing::TaskListing,
};

/// Attempts remembered in a session. Beyond it the worker takes a new session, whose orders are
/// told apart from all earlier ones, and forgets them.
const MAX_SEEN: usize = 100_000;

/// Worker's side of the lease, which decides what runs.
///
/// It never runs a task without a lease, refuses the orders of every session but its current one,
/// and starts an attempt at most once. The readings handed in must not repeat those of an earlier
/// process of the same worker, since a delayed answer is told apart by them; a monotonic clock
/// that is set to the wall clock at the start of the process will do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseGuard {
    cfg: GuardConfig,
    highest: Term,
    session: Option<Session>,
    /// First registration since the last session was left; older answers are ignored.
    registering: Option<Millis>,
    lease_until: Millis,
    last_sent: Option<Millis>,
    running: BTreeMap<TaskId, (Attempt, Resources)>,
    listing: TaskListing,
    /// Ends that the leader has not confirmed.
    ended: BTreeMap<(TaskId, Attempt), TaskEnd>,
    /// Highest attempt of each task that began or was withdrawn in this session.
    seen: BTreeMap<TaskId, Attempt>,
    leaving: bool,
}

impl LeaseGuard {
    /// A worker that has just started and runs nothing.
    pub fn new(cfg: GuardConfig) -> Self {
        Self {
            cfg,
            highest: Term(0),
            session: None,
            registering: None,
            lease_until: Millis(0),
            last_sent: None,
            running: BTreeMap::new(),
            listing: TaskListing::default(),
            ended: BTreeMap::new(),
            seen: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Tasks that run.
    pub fn running(&self) -> impl Iterator<Item = (TaskId, Attempt)> {
        self.running
            .iter()
            .map(|(task, (attempt, _))| (*task, *attempt))
    }

    /// Tells whether nothing runs and every end is confirmed, so that a leaving worker may go.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.ended.is_empty()
    }

    /// Current session.
    pub fn session(&self) -> Option<Session> {
        self.session
    }

    /// Time at which the lease ends unless it is renewed.
    pub fn lease_until(&self) -> Millis {
        self.lease_until
    }

    /// Takes an event at the worker's own clock reading `now`.
    pub fn step(&mut self, now: Millis, event: GuardEvent) -> Vec<GuardAction> {
        let mut out = Vec::new();
        self.check_lease(now, &mut out);
        match event {
            GuardEvent::Tick => {}
            GuardEvent::Connected => self.last_sent = None,
            GuardEvent::Order(order) => self.order(now, order, &mut out),
            GuardEvent::Usage { task, usage } => {
                if let Some((_, used)) = self.running.get_mut(&task) {
                    *used = usage;
                }
            }
            GuardEvent::Ended { task, attempt, end } => {
                if self.runs(task, attempt) {
                    self.running.remove(&task);
                    self.ended.insert((task, attempt), end);
                    self.report_end(task, attempt, &mut out);
                }
            }
            GuardEvent::Leave => {
                self.leaving = true;
                self.report_leaving(&mut out);
            }
        }
        self.beat(now, &mut out);
        out
    }

    /// Stops everything once the lease has ended, before any event is looked at.
    fn check_lease(&mut self, now: Millis, out: &mut Vec<GuardAction>) {
        if now < self.lease_until || (self.session.is_none() && self.running.is_empty()) {
            return;
        }
        for (task, (attempt, _)) in std::mem::take(&mut self.running) {
            out.push(GuardAction::Stop { task, attempt });
            self.ended.insert((task, attempt), TaskEnd::Stopped);
        }
        self.leave_session();
    }

    fn leave_session(&mut self) {
        if self.session.take().is_some() {
            self.registering = None;
            self.last_sent = None;
        }
    }

    fn order(&mut self, now: Millis, order: WorkerOrder, out: &mut Vec<GuardAction>) {
        match order {
            WorkerOrder::Welcome {
                term,
                session,
                clock,
                lease,
            } => {
                let answers = self.registering.is_some_and(|first| clock >= first);
                if self.session.is_none() && answers && self.renew(now, term, clock, lease) {
                    self.session = Some(session);
                    self.registering = None;
                    self.last_sent = None;
                    self.listing.reset();
                    self.forget_seen();
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
                    self.listing.answered(clock);
                }
            }
            WorkerOrder::UnknownSession { term } => {
                if term >= self.highest {
                    self.highest = term;
                    self.leave_session();
                }
            }
            WorkerOrder::Start {
                fence,
                task,
                attempt,
                spec,
            } => {
                if self.admits(fence) {
                    self.start(task, attempt, spec, out);
                }
            }
            WorkerOrder::Stop {
                fence,
                task,
                attempt,
            } => {
                if self.admits(fence) {
                    self.stop(task, attempt, out);
                }
            }
            WorkerOrder::Throttle {
                fence,
                task,
                attempt,
                cpu_milli,
            } => {
                if self.admits(fence) && self.runs(task, attempt) {
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
                if self.admits(fence) && self.runs(task, attempt) {
                    out.push(GuardAction::Checkpoint { task, attempt });
                }
            }
            WorkerOrder::EndRecorded { task, attempt } => {
                self.ended.remove(&(task, attempt));
            }
            WorkerOrder::SwitchGateway => out.push(GuardAction::SwitchGateway),
        }
    }

    /// Takes a lease that counts from the own reading `clock`; false if it is of no use.
    fn renew(&mut self, now: Millis, term: Term, clock: Millis, lease: Millis) -> bool {
        if term < self.highest || clock > now || now >= clock + lease {
            return false;
        }
        self.highest = term;
        self.lease_until = self.lease_until.max(clock + lease);
        true
    }

    /// Tells whether an order is meant for the current session and not from a deposed leader.
    fn admits(&mut self, fence: Fence) -> bool {
        if self.session != Some(fence.session) || fence.term < self.highest {
            return false;
        }
        self.highest = fence.term;
        true
    }

    fn start(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        spec: TaskSpec,
        out: &mut Vec<GuardAction>,
    ) {
        let seen = self.seen.get(&task).is_some_and(|seen| *seen >= attempt);
        if self.running.contains_key(&task) || seen {
            self.report_end(task, attempt, out);
            return;
        }
        self.seen.insert(task, attempt);
        self.running.insert(task, (attempt, Resources::ZERO));
        out.push(GuardAction::Start {
            task,
            attempt,
            spec,
        });
    }

    fn stop(&mut self, task: TaskId, attempt: Attempt, out: &mut Vec<GuardAction>) {
        if self.runs(task, attempt) {
            out.push(GuardAction::Stop { task, attempt });
            return;
        }
        if self.seen.get(&task).is_none_or(|seen| *seen < attempt) {
            self.seen.insert(task, attempt);
            self.ended.insert((task, attempt), TaskEnd::NeverBegan);
        }
        self.report_end(task, attempt, out);
    }

    fn runs(&self, task: TaskId, attempt: Attempt) -> bool {
        self.running
            .get(&task)
            .is_some_and(|(running, _)| *running == attempt)
    }

    /// Orders of an older session are refused, so only what the new one may repeat is kept.
    fn forget_seen(&mut self) {
        let running = self.running().collect::<Vec<_>>();
        self.seen.clear();
        for (task, attempt) in running.into_iter().chain(self.ended.keys().copied()) {
            let seen = self.seen.entry(task).or_default();
            *seen = attempt.max(*seen);
        }
    }

    fn report_end(&self, task: TaskId, attempt: Attempt, out: &mut Vec<GuardAction>) {
        let end = self.ended.get(&(task, attempt));
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
        if let Some(session) = self.session.filter(|_| self.leaving) {
            out.push(GuardAction::Send(WorkerReport::Leaving { session }));
        }
    }

    /// Sends a registration or a heartbeat with the unconfirmed ends when it is due.
    fn beat(&mut self, now: Millis, out: &mut Vec<GuardAction>) {
        if self.seen.len() > MAX_SEEN {
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
            self.registering.get_or_insert(now);
            let ended = self.ended.iter();
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
        for (task, attempt) in self.ended.keys() {
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
