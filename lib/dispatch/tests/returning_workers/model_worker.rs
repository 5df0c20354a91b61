use std::collections::BTreeMap;

use tarragon_dispatch::{
    FencingToken, FinishedRun, OrderOutcome, PollAnswer, PollCall, Refusal, RunStatus, StartOrder,
    StopOrder,
};
use tarragon_names::Name;
use tarragon_workflow::{RunEnd, StepSpec, TaskKey, WorkerIncarnation, WorkerRecord};

use super::Draw;
use crate::common::{EPOCH_MS, worker};

/// Longest lease that a worker accepts, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// Number of ends in an answer, so low that answers are often truncated.
const MAX_LISTED_ENDS: usize = 3;

/// Time within which a stopped run ends, in milliseconds.
const MAX_STOP_MS: u64 = 800;

/// Time from the start of a run to its first work, in milliseconds.
const STARTUP_MS: u64 = 60;

/// Time for which a worker is cut off from the leader.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    pub until: u64,
    /// Whether calls to the worker are lost; otherwise only its answers are.
    pub loses_calls: bool,
    pub loses_heartbeats: bool,
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct ModelRun {
    /// Time at which the run was started.
    pub started_at: u64,
    /// Last checkpoint that the run carries or has saved.
    pub saved: Option<Name>,
    /// Work including that of the checkpoint from which the run resumed.
    pub work_ms: u64,
    /// Work of this run alone.
    pub own_work_ms: u64,
    /// Work at the last checkpoint.
    pub saved_work_ms: u64,
    /// Time at which a stopped run ends.
    pub stops_at: Option<u64>,
    /// Own work after which the run fails because of its worker.
    pub worker_fails_after_ms: Option<u64>,
    /// Work of the whole task, for the reported progress; `None` if it lasts.
    pub total_ms: Option<u64>,
}

/// A poll that the worker has not answered.
#[derive(Clone, Debug)]
pub struct HeldPoll {
    pub call: PollCall,
    pub answer_at: u64,
    pub times_out_at: u64,
}

/// A worker as the protocol describes it.
pub struct ModelWorker {
    pub record: WorkerRecord,
    pub is_up: bool,
    pub cut: Option<Cut>,
    /// Share of the runs that fail through the worker's fault, in percent.
    pub failing_percent: u64,
    pub runs: BTreeMap<(TaskKey, u32), ModelRun>,
    pub ends: Vec<FinishedRun>,
    pub polls: Vec<HeldPoll>,
    pub next_heartbeat_at: u64,
    /// Whether this incarnation has announced itself.
    pub is_announced: bool,
    /// Whether a poll was carried out in time. Before that, nothing shuts out the calls for the
    /// incarnation before.
    pub is_polled: bool,
    /// Time of the last start or the end of the last cut.
    pub reachable_since: u64,
    last_number: u64,
    fence: Option<FencingToken>,
    lease_until_ms: Option<u64>,
    /// Highest run that was stopped or has ended, by task.
    refused: BTreeMap<TaskKey, u32>,
    /// Reading of the clock at `clock_set_at`, and its rate in thousandths.
    clock_ms: u64,
    clock_set_at: u64,
    clock_rate: u64,
}

impl ModelWorker {
    pub fn new(name: &str, draw: &mut Draw) -> Self {
        Self {
            record: worker(name, 6),
            is_up: true,
            cut: None,
            failing_percent: if draw.chance(20) { 50 } else { 0 },
            runs: BTreeMap::new(),
            ends: Vec::new(),
            polls: Vec::new(),
            next_heartbeat_at: 0,
            is_announced: false,
            is_polled: false,
            reachable_since: 0,
            last_number: 0,
            fence: None,
            lease_until_ms: None,
            refused: BTreeMap::new(),
            clock_ms: draw.below(1_000_000),
            clock_set_at: 0,
            clock_rate: draw.between(980, 1_000),
        }
    }

    pub fn incarnation(&self) -> &WorkerIncarnation {
        &self.record.incarnation
    }

    pub fn clock_ms(&self, now: u64) -> u64 {
        self.clock_ms + (now - self.clock_set_at) * self.clock_rate / 1_000
    }

    /// Starts the next incarnation under the same name, which remembers nothing.
    pub fn restart(&mut self, now: u64, draw: &mut Draw) {
        self.is_up = true;
        self.record.incarnation.started_ms = EPOCH_MS + now;
        self.clock_ms = draw.below(1_000);
        self.clock_set_at = now;
        self.fence = None;
        self.last_number = 0;
        self.lease_until_ms = None;
        self.refused.clear();
        self.next_heartbeat_at = now;
        self.is_announced = false;
        self.is_polled = false;
        self.reachable_since = now;
    }

    /// Ends the incarnation with its runs; their ends are never listed.
    pub fn crash(&mut self) {
        self.is_up = false;
        self.runs.clear();
        self.ends.clear();
    }

    /// Ends a cut whose time is over.
    pub fn end_cut(&mut self, now: u64) {
        if self.cut.is_some() {
            self.reachable_since = now;
        }
        self.cut = self.cut.filter(|cut| now < cut.until);
    }

    /// Returns whether the lease has just expired. Everything that runs ends then.
    pub fn expire_lease(&mut self, now: u64) -> bool {
        let clock_ms = self.clock_ms(now);
        let is_over = self.lease_until_ms.is_some_and(|until| until <= clock_ms);
        if is_over {
            self.lease_until_ms = None;
        }
        is_over
    }

    fn extend_lease(&mut self, until_ms: u64, now: u64) {
        let clock_ms = self.clock_ms(now);
        let until_ms = until_ms.min(clock_ms + MAX_LEASE_MS);
        if until_ms > clock_ms {
            self.lease_until_ms = self.lease_until_ms.max(Some(until_ms));
        }
    }

    /// Records the token of a call for an incarnation; returns false if a higher one is known.
    pub fn admit(&mut self, fence: FencingToken) -> bool {
        let is_admitted = Some(fence) >= self.fence;
        self.fence = self.fence.max(Some(fence));
        is_admitted
    }

    /// Accepts or refuses a start order. `plan` tells the step and the whole work of the task.
    /// Returns whether a run was started besides the answer.
    pub fn start(
        &mut self,
        order: &StartOrder,
        (spec, total_ms): (&StepSpec, u64),
        resumed_work_ms: u64,
        now: u64,
        draw: &mut Draw,
    ) -> (OrderOutcome, bool) {
        if !self.admit(order.fence) {
            return (OrderOutcome::Refused(Refusal::Fence), false);
        }
        if order.lease_until_ms <= self.clock_ms(now) {
            return (OrderOutcome::Refused(Refusal::Late), false);
        }
        self.extend_lease(order.lease_until_ms, now);
        let key = (order.task, order.run);
        if self.runs.contains_key(&key) {
            return (OrderOutcome::Accepted, false);
        }
        if self
            .refused
            .get(&order.task)
            .is_some_and(|highest| order.run <= *highest)
        {
            return (OrderOutcome::Refused(Refusal::Old), false);
        }
        let fails = draw.chance(self.failing_percent);
        let run = ModelRun {
            started_at: now,
            saved: order.checkpoint.clone(),
            work_ms: resumed_work_ms,
            own_work_ms: 0,
            saved_work_ms: resumed_work_ms,
            stops_at: None,
            worker_fails_after_ms: fails.then(|| draw.between(20, 300)),
            total_ms: (!spec.long_running).then_some(total_ms),
        };
        self.runs.insert(key, run);
        (OrderOutcome::Accepted, true)
    }

    pub fn stop(&mut self, order: &StopOrder, now: u64, draw: &mut Draw) -> OrderOutcome {
        if !self.admit(order.fence) {
            return OrderOutcome::Refused(Refusal::Fence);
        }
        if let Some(run) = self.runs.get_mut(&(order.task, order.run)) {
            run.stops_at
                .get_or_insert(now + draw.between(20, MAX_STOP_MS));
        } else {
            self.refuse(order.task, order.run);
        }
        OrderOutcome::Accepted
    }

    fn refuse(&mut self, task: TaskKey, run: u32) {
        let highest = self.refused.entry(task).or_default();
        *highest = run.max(*highest);
    }

    /// Takes a poll with an admitted token: forgets the acknowledged ends and renews the lease.
    pub fn poll(&mut self, call: &PollCall, now: u64) {
        self.ends.retain(|end| end.number > call.acknowledged);
        if let Some(until_ms) = call.lease_until_ms {
            self.extend_lease(until_ms, now);
        }
    }

    /// Keeps a poll until its answer is due.
    pub fn hold_poll(&mut self, call: PollCall, times_out_at: u64, now: u64) {
        self.polls.push(HeldPoll {
            answer_at: now + call.wait.0,
            times_out_at,
            call,
        });
    }

    /// Takes the polls whose answers are due.
    pub fn take_due_polls(&mut self, now: u64) -> Vec<HeldPoll> {
        let has_ends = !self.ends.is_empty();
        let (due, held) = std::mem::take(&mut self.polls)
            .into_iter()
            .partition(|poll| has_ends || poll.answer_at <= now);
        self.polls = held;
        due
    }

    pub fn status(&self, now: u64) -> PollAnswer {
        let running = self.runs.iter().map(|((task, run), state)| RunStatus {
            task: *task,
            run: *run,
            checkpoint: state.saved.clone(),
            percent: state
                .total_ms
                .map_or(100, |total| state.work_ms * 100 / total.max(1)),
            usage_or_tail_ms: None,
        });
        PollAnswer {
            started_ms: Some(self.incarnation().started_ms),
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            finished: self.ends.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            is_truncated: self.ends.len() > MAX_LISTED_ENDS,
        }
    }

    /// Ends a run and returns its entry in the list of ends.
    pub fn end_run(&mut self, key: (TaskKey, u32), end: RunEnd) -> Option<FinishedRun> {
        let run = self.runs.remove(&key)?;
        self.refuse(key.0, key.1);
        self.last_number += 1;
        let finished = FinishedRun {
            number: self.last_number,
            task: key.0,
            run: key.1,
            end,
            checkpoint: run.saved,
        };
        self.ends.push(finished.clone());
        Some(finished)
    }
}

impl ModelRun {
    /// Returns whether the run has started up and is not being stopped.
    pub fn can_work(&self, now: u64) -> bool {
        self.stops_at.is_none() && now >= self.started_at + STARTUP_MS
    }
}
