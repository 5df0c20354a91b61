//! Decides whether a run that falls behind is worth a new run elsewhere.
//!
//! Load pattern: a few percent of the runs take seven times as long as the others of their step, and
//! each of them makes its job late long after the rest of the work is done.

use tarragon_names::Millis;

/// Multiple of an estimate, in percent, that a new run may take if nothing else tells its duration.
/// Estimates are often too low by a factor of three.
const UNTRUSTED_ESTIMATE_PERCENT: u64 = 300;

/// Time that the run has left, in percent of the time until a new run would end, from which a move
/// pays: the new run may fall behind too, and the work done so far is lost.
const MIN_GAIN_PERCENT: u64 = 150;

/// Like `MIN_GAIN_PERCENT`, for the time itself: a smaller gain is within the error of the reports.
const MIN_GAIN: Millis = Millis(500);

/// Largest part of all runs that are being stopped at a time, in percent. A cause that slows many
/// runs, such as a slow network, is not mended by moving them.
const MAX_STOPPING_PERCENT: usize = 2;

/// Number of other runs of a step that tell the duration of a new one.
const MIN_SIBLINGS: usize = 2;

/// A run that may be moved.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Straggler {
    /// Time until the run ends at its present speed.
    pub(crate) remaining: Millis,
    /// Time until its step has to end.
    pub(crate) left: Millis,
    /// Time from the decision until a new run starts.
    pub(crate) restart: Millis,
    /// Expected duration of the whole work on the worker of the new run.
    pub(crate) duration: Millis,
    /// Part of the work that the checkpoint holds, in percent.
    pub(crate) saved_percent: u64,
}

impl Straggler {
    /// Time from the decision until a new run ends.
    pub(crate) fn elsewhere(&self) -> Millis {
        let unsaved = 100 - self.saved_percent.min(100);
        self.restart + Millis(self.duration.0 * unsaved / 100)
    }

    /// Returns whether the run ends after its objective and a new run would end well before it.
    pub(crate) fn is_worth_moving(&self) -> bool {
        self.remaining > self.left && is_large_gain(self.remaining, self.elsewhere())
    }
}

/// Returns whether a run with this time left may be worth moving at all. It spares a closer look at
/// most runs.
pub(crate) fn may_be_worth_moving(remaining: Millis, restart: Millis) -> bool {
    is_large_gain(remaining, restart)
}

fn is_large_gain(remaining: Millis, elsewhere: Millis) -> bool {
    let least = Millis(elsewhere.0 * MIN_GAIN_PERCENT / 100) + MIN_GAIN;
    remaining >= least
}

/// Number of runs that may be stopped now, of `runs` runs of which `stopping` are being stopped.
pub(crate) fn max_moves(runs: usize, stopping: usize) -> usize {
    let most = (runs * MAX_STOPPING_PERCENT / 100).max(1);
    most.saturating_sub(stopping)
}

/// Expected duration of a run on the mean worker, from the durations of the other runs of its step,
/// both those that have ended and those that go on, corrected by the speeds of their workers.
pub(crate) fn expected_duration(mut others: Vec<u64>, estimate: Millis) -> Millis {
    if others.len() < MIN_SIBLINGS {
        return Millis(estimate.0 * UNTRUSTED_ESTIMATE_PERCENT / 100);
    }
    others.sort_unstable();
    Millis(others[others.len() / 2])
}
