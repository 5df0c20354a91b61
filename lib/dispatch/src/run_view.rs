use tarragon_names::{Millis, Name};
use tarragon_workflow::WorkerIncarnation;

use crate::{
    late_answers::LateAnswers,
    load_counters::{LoadCounters, StopCause},
    run_progress::RunProgress,
    run_rate::RunRate,
    run_spec::RunSpec,
};

/// Highest run number of a task that may be preempted, so that every task ends eventually.
const MAX_PREEMPTED_RUN: u32 = 3;

/// Time for which a start order without an answer may still be carried out.
pub(crate) const START_ORDER_LIFETIME: Millis = Millis(30_000);

/// Progress of the order to start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartState {
    /// The decision is not committed yet.
    Committing,
    /// The order was sent and has no answer yet.
    Sent,
    /// No answer came, or no order was sent yet; the order is sent at this time.
    Unanswered { again_at: Millis },
    /// The worker has confirmed the run, first at this time.
    Present { since: Millis },
    /// It is not known whether a start order reached the worker: an earlier leader placed the run,
    /// or an order stayed unanswered.
    Inherited,
}

/// Progress of the order to stop a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopState {
    /// The run should continue.
    NotRequested,
    /// The run should end; the order is sent at this time.
    Requested { at: Millis },
    /// The order was sent and has no answer yet.
    Sent,
    /// The worker accepted the order at this time.
    Accepted { at: Millis },
}

/// The leader's knowledge of a run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct RunView {
    pub(crate) run: u32,
    pub(crate) spec: RunSpec,
    pub(crate) start: StartState,
    pub(crate) stop: StopState,
    /// Number of start orders that were sent. One of an earlier leader counts only if it was sent so lately
    /// that no poll may have listed the run.
    pub(crate) start_attempts: u32,
    /// Number of orders in a row that did not leave the host that was to send them.
    pub(crate) unsent_orders: u32,
    /// Number of stop orders in a row that were not accepted.
    pub(crate) failed_stops: u32,
    /// Time at which the stop was requested first.
    pub(crate) stop_requested_at: Millis,
    /// Whether one of these start orders got no answer.
    pub(crate) has_unanswered_start: bool,
    /// Late answers to start orders that count as unanswered.
    pub(crate) late_answers: LateAnswers,
    /// Time until which a start order that was sent and has no answer may arrive; 0 if there is none.
    pub(crate) start_may_arrive_until: Millis,
    /// Earlier incarnation of the worker on which the run was placed; `None` if it is the present
    /// one.
    pub(crate) transferred_from: Option<WorkerIncarnation>,
    /// Whether a poll of the present incarnation has listed the run.
    pub(crate) is_listed: bool,
    pub(crate) ticket: Option<Name>,
    pub(crate) placed_at: Millis,
    /// Checkpoint that each start order for the run carries. It is fixed with the placement, because
    /// all members of a gang must resume from the same one.
    pub(crate) resume_from: Option<Name>,
    /// Last checkpoint that a poll has listed.
    pub(crate) checkpoint: Option<Name>,
    pub(crate) progress: RunProgress,
    pub(crate) rate: RunRate,
    /// CPU in use in thousandths of a core or, for a latency-sensitive run, its tail latency in
    /// milliseconds, as the worker last reported.
    pub(crate) usage_or_tail_ms: Option<u64>,
    /// Whether the end was listed or is certain. Its record is then proposed, and the capacity is
    /// free.
    pub(crate) is_ended: bool,
    /// Number of the end once the worker has listed it. Only the first listing counts for the health of
    /// the worker.
    pub(crate) listed_end: Option<u64>,
}

impl RunView {
    pub(crate) fn new(run: u32, spec: RunSpec, now: Millis) -> Self {
        Self {
            run,
            spec,
            start: StartState::Committing,
            stop: StopState::NotRequested,
            start_attempts: 0,
            unsent_orders: 0,
            failed_stops: 0,
            stop_requested_at: Millis(0),
            has_unanswered_start: false,
            late_answers: LateAnswers::default(),
            start_may_arrive_until: Millis(0),
            transferred_from: None,
            is_listed: false,
            ticket: None,
            placed_at: now,
            resume_from: None,
            checkpoint: None,
            progress: RunProgress::default(),
            rate: RunRate::of_new_run(),
            usage_or_tail_ms: None,
            is_ended: false,
            listed_end: None,
        }
    }

    /// Requests the stop of the run, and counts its cause unless a stop was requested before.
    pub(crate) fn request_stop(
        &mut self,
        cause: StopCause,
        counters: &mut LoadCounters,
        now: Millis,
    ) {
        if self.stop == StopState::NotRequested {
            self.stop = StopState::Requested { at: now };
            self.stop_requested_at = now;
            counters.record_stop(cause);
        }
    }

    /// Returns whether a start order for the run may still arrive at the worker: one was sent and has
    /// no answer, or an earlier leader may have sent one.
    pub(crate) fn has_outstanding_start(&self, now: Millis) -> bool {
        now < self.start_may_arrive_until
    }

    /// Returns whether the run may be on the next incarnation of the worker, or may still start there. An
    /// accepted order does not tell which incarnation has accepted it; a poll that lists the run does.
    pub(crate) fn may_be_on_next_incarnation(&self, now: Millis) -> bool {
        let is_possible = self.may_be_on_unnoticed_incarnation() || self.has_outstanding_start(now);
        !self.is_ended && is_possible
    }

    /// Returns whether the run may be on an incarnation of its worker that nobody has noticed yet. One that
    /// a poll has listed ended with the incarnation that listed it.
    pub(crate) fn may_be_on_unnoticed_incarnation(&self) -> bool {
        self.start_attempts > 0 && !self.is_listed
    }

    /// Returns whether the run was never ordered to start.
    pub(crate) fn is_unordered(&self) -> bool {
        let is_due = matches!(self.start, StartState::Unanswered { .. });
        is_due && self.start_attempts == 0 && !self.has_unanswered_start
    }

    /// Returns whether the worker refuses start orders for the run that arrive from now on.
    pub(crate) fn is_refused(&self) -> bool {
        self.transferred_from.is_none() || matches!(self.stop, StopState::Accepted { .. })
    }

    /// Returns whether the run may be stopped for a more urgent one.
    pub(crate) fn is_preemptible(&self) -> bool {
        self.spec.is_resumable
            && self.run <= MAX_PREEMPTED_RUN
            && self.stop == StopState::NotRequested
            && matches!(self.start, StartState::Present { .. })
            && !self.is_ended
    }

    /// Returns whether a stop was requested at least `age` ago and the worker has not accepted it.
    pub(crate) fn has_unaccepted_stop(&self, now: Millis, age: Millis) -> bool {
        let is_open = matches!(self.stop, StopState::Requested { .. } | StopState::Sent);
        is_open && !self.is_ended && now.since(self.stop_requested_at) >= age
    }
}
