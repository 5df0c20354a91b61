use tarragon_names::Millis;

use crate::{
    image_table::{MAX_IMAGES, Slot},
    observation::Neighbors,
    run_report::Work,
};

/// Shortest time and least progress of a span. Progress is reported in whole percents, so a shorter
/// span measures little more than rounding.
const MIN_SPAN: Millis = Millis(400);
const MIN_SPAN_PERCENT: u64 = 4;

/// Share of a span, in percent, from which on a source counts as present during it.
const WITH_PERCENT: u64 = 70;

/// Share of a span, in percent, up to which a source counts as absent during it.
const WITHOUT_PERCENT: u64 = 10;

/// Progress at which a run has completed its work and only waits for its end to be reported.
const DONE_PERCENT: u64 = 100;

/// Time between two reports of the work of a run.
#[derive(Clone, Debug)]
struct Span {
    from: Millis,
    percent: u64,
    /// Time for which each source was present, in milliseconds.
    present_ms: [u32; MAX_IMAGES],
    throttled: u32,
}

/// A run whose speed is observed.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRun {
    /// Sources that were present when the run started; `None` if that is not known.
    pub(crate) at_start: Option<Neighbors>,
    span: Option<Box<Span>>,
}

impl TrackedRun {
    /// Memory of a run with its span, in bytes.
    pub(crate) const BYTES: usize = size_of::<Self>() + size_of::<Span>();

    pub(crate) fn new(at_start: Option<Neighbors>) -> Self {
        Self {
            at_start,
            span: None,
        }
    }

    /// Removes the neighbors of these slots.
    pub(crate) fn clear_slots(&mut self, freed: u32) {
        if let Some(neighbors) = &mut self.at_start {
            neighbors.clear(freed);
        }
        if let Some(span) = &mut self.span {
            span.throttled &= !freed;
            for slot in Slot::all().filter(|slot| freed & slot.bit() != 0) {
                span.present_ms[slot.index()] = 0;
            }
        }
    }

    /// Adds the time since the last report, in which each source was present for this long.
    pub(crate) fn add_presence(&mut self, present_ms: &[u32; MAX_IMAGES], throttled: u32) {
        if let Some(span) = &mut self.span {
            for (sum, present) in span.present_ms.iter_mut().zip(present_ms) {
                *sum = sum.saturating_add(*present);
            }
            span.throttled |= throttled;
        }
    }

    /// Takes a report of the work of the run. Returns the logarithm of its cost and the neighbors
    /// once a span is complete.
    ///
    /// The first span begins with the first report of work, since the time from the order to the
    /// first work depends on other things than neighbors.
    pub(crate) fn take_work(&mut self, work: Work, now: Millis) -> Option<(f64, Neighbors)> {
        let percent = match work {
            Work::Progress(percent) if percent > 0 && percent < DONE_PERCENT => percent,
            Work::Tail(_) => 0,
            _ => return None,
        };
        let begin = |span: &mut Option<Box<Span>>| {
            *span = Some(Box::new(Span {
                from: now,
                percent,
                present_ms: [0; MAX_IMAGES],
                throttled: 0,
            }));
        };
        let Some(span) = self.span.as_ref().filter(|span| span.percent <= percent) else {
            begin(&mut self.span);
            return None;
        };
        let length = now.since(span.from);
        let gained = percent - span.percent;
        let is_progress = matches!(work, Work::Progress(_));
        if length < MIN_SPAN || is_progress && gained < MIN_SPAN_PERCENT {
            return None;
        }
        let log_cost = match work {
            Work::Tail(permille) => (permille.max(1) as f64).ln(),
            _ => (length.0 as f64 / gained as f64).ln(),
        };
        let neighbors = neighbors_of(span, length);
        begin(&mut self.span);
        Some((log_cost, neighbors))
    }
}

fn neighbors_of(span: &Span, length: Millis) -> Neighbors {
    let mut neighbors = Neighbors::default();
    for slot in Slot::all() {
        let share = u64::from(span.present_ms[slot.index()]) * 100 / length.0.max(1);
        if share > WITHOUT_PERCENT && (share < WITH_PERCENT || span.throttled & slot.bit() != 0) {
            neighbors.unclear |= slot.bit();
        } else if share >= WITH_PERCENT {
            neighbors.with |= slot.bit();
        }
    }
    neighbors
}
