use tarragon_names::{Millis, Name};

use crate::{dispatcher_pace::FULL_PACE, run_terms::RunTerms};

/// How far the order to start a run is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartState {
    /// The decision is not committed yet.
    Committing,
    /// The order is on its way.
    Sent,
    /// No answer came; it is sent again at this time.
    Unanswered { again_at: Millis },
    /// The worker has the run, as it said at this time.
    Present { since: Millis },
    /// An earlier leader placed the run; whether its order arrived is not known.
    Inherited,
}

/// How far the order to stop a run is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopState {
    /// The run should go on.
    NotWanted,
    /// The run should end; the order is sent at this time.
    Wanted { at: Millis },
    /// The order is on its way.
    Sent,
    /// The worker has taken the order at this time.
    Taken { at: Millis },
}

/// A run on a worker as the leader knows it.
#[derive(Clone, Debug)]
pub(crate) struct RunView {
    pub(crate) run: u32,
    pub(crate) terms: RunTerms,
    pub(crate) start: StartState,
    pub(crate) stop: StopState,
    /// Starts that were sent, and whether one of them stayed unanswered.
    pub(crate) tries: u32,
    pub(crate) had_unanswered: bool,
    /// A look has shown it.
    pub(crate) is_listed: bool,
    pub(crate) ticket: Option<Name>,
    pub(crate) placed_at: Millis,
    pub(crate) saved: Option<Name>,
    /// Share at which it works, or of its work that is done, in percent, as the worker last said.
    pub(crate) percent: u64,
    /// Share at which it was ordered to work, in percent; none if that is not known.
    pub(crate) pace: Option<u64>,
    /// Thousandths of a core in use, or the tail of a serving run in ms, as the worker last said.
    pub(crate) in_use: Option<u64>,
    /// The end was listed or is certain, and its record is proposed; the room is free.
    pub(crate) is_ended: bool,
}

impl RunView {
    pub(crate) fn new(run: u32, terms: RunTerms, now: Millis) -> Self {
        Self {
            run,
            terms,
            start: StartState::Committing,
            stop: StopState::NotWanted,
            tries: 0,
            had_unanswered: false,
            is_listed: false,
            ticket: None,
            placed_at: now,
            saved: None,
            percent: 0,
            pace: Some(FULL_PACE),
            in_use: None,
            is_ended: false,
        }
    }

    pub(crate) fn want_stop(&mut self, now: Millis) {
        if self.stop == StopState::NotWanted {
            self.stop = StopState::Wanted { at: now };
        }
    }
}
