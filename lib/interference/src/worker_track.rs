use std::collections::BTreeMap;

use tarragon_names::Millis;

use crate::{
    image_table::{MAX_IMAGES, Slot},
    observation::{Neighbors, Observation},
    run_report::{RunKey, RunReport},
    tracked_run::TrackedRun,
};

/// Longest time between two reports of a worker. After a longer one the durations of its runs are
/// not known closely enough.
const MAX_REPORT_GAP: Millis = Millis(2_500);

/// Time after the start of a run within which a neighbor that starts counts as present at the start.
/// Tasks that are placed together start at nearly the same time.
const START_TOLERANCE: Millis = Millis(200);

/// Shortest run that is compared. In a shorter one, the time to start outweighs the work.
const MIN_DURATION: Millis = Millis(200);

/// A report and the slot of its image, if the image takes part.
pub(crate) type SlottedReport<'a> = (&'a RunReport, Option<Slot>);

/// Observations that a report of a worker brings, each with the slot of its image.
#[derive(Debug, Default)]
pub(crate) struct NewObservations {
    pub(crate) durations: Vec<(Slot, Observation)>,
    pub(crate) spans: Vec<(Slot, Observation)>,
}

/// What is known about the runs on a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerTrack {
    /// Number that stands for the worker in observations.
    number: u32,
    pub(crate) observed_at: Millis,
    runs: BTreeMap<RunKey, TrackedRun>,
}

impl WorkerTrack {
    /// Memory of a run, in bytes.
    pub(crate) const BYTES_OF_A_RUN: usize = size_of::<RunKey>() + TrackedRun::BYTES;

    pub(crate) fn new(number: u32, now: Millis) -> Self {
        Self {
            number,
            observed_at: now,
            runs: BTreeMap::new(),
        }
    }

    pub(crate) fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Removes the neighbors of these slots from all runs.
    pub(crate) fn clear_slots(&mut self, freed: u32) {
        for run in self.runs.values_mut() {
            run.clear_slots(freed);
        }
    }

    /// Takes a report of all runs of the worker: those that go on, and those that ended since the
    /// last report, each with whether it ended with success. At most `max_new` runs are added.
    pub(crate) fn observe(
        &mut self,
        now: Millis,
        running: &[SlottedReport<'_>],
        ended: &[(SlottedReport<'_>, bool)],
        max_new: usize,
    ) -> NewObservations {
        let mut from = std::mem::replace(&mut self.observed_at, now);
        if now.since(from) > MAX_REPORT_GAP {
            self.runs.clear();
            from = now;
        }
        let mut previous = std::mem::take(&mut self.runs);
        let ended_reports = ended.iter().map(|(report, _)| *report);
        let all = running.iter().copied().chain(ended_reports);
        let present = all.collect::<Vec<_>>();
        let presence = Presence::between(from, now, &present);
        let mut new = NewObservations::default();
        for (report, slot) in running {
            let Some(slot) = slot else {
                continue;
            };
            let tracked = match previous.remove(&report.run) {
                Some(mut tracked) => {
                    let (present_ms, throttled) = presence.beside(report, *slot);
                    tracked.add_presence(&present_ms, throttled);
                    tracked
                }
                None if self.runs.len() >= max_new => continue,
                None => TrackedRun::new(at_start(report, from, &present)),
            };
            let tracked = self.runs.entry(report.run).or_insert(tracked);
            if let Some((log_cost, neighbors)) = tracked.take_work(report.work, now) {
                let observation = observation(self.number, report, now, log_cost, neighbors);
                new.spans.push((*slot, observation));
            }
        }
        for ((report, slot), is_success) in ended {
            let tracked = previous.remove(&report.run);
            let neighbors = match tracked {
                Some(tracked) => tracked.at_start,
                None => at_start(report, from, &present),
            };
            let ran = now.since(report.since);
            if let (Some(slot), Some(neighbors)) = (slot, neighbors)
                && *is_success
                && report.has_comparable_duration
                && ran >= MIN_DURATION
            {
                let log_cost = (ran.0 as f64).ln();
                let observation = observation(self.number, report, now, log_cost, neighbors);
                new.durations.push((*slot, observation));
            }
        }
        new
    }
}

fn observation(
    worker: u32,
    report: &RunReport,
    at: Millis,
    log_cost: f64,
    neighbors: Neighbors,
) -> Observation {
    Observation {
        at,
        run: report.run,
        worker,
        is_gang: report.is_gang,
        log_cost,
        neighbors,
    }
}

/// Sources that were present when a run started, if it started after the report at `from`.
///
/// Neighbors during the whole run would not do: a run that takes long for any reason meets more of
/// them, so runs without a neighbor would be short and the neighbor would look like the cause.
fn at_start(report: &RunReport, from: Millis, present: &[SlottedReport<'_>]) -> Option<Neighbors> {
    if report.since < from {
        return None;
    }
    let mut neighbors = Neighbors::default();
    let others = present.iter().filter(|(other, _)| other.run != report.run);
    let others = others.filter(|(other, _)| other.since <= report.since + START_TOLERANCE);
    for (other, slot) in others {
        let bit = slot.map_or(0, Slot::bit);
        neighbors.with |= bit;
        if other.is_throttled {
            neighbors.unclear |= bit;
        }
    }
    Some(neighbors)
}

/// Time for which sources were present between two reports.
struct Presence {
    from: Millis,
    now: Millis,
    /// Longest and second longest time for which runs of each image were present.
    longest_ms: [(u32, u32); MAX_IMAGES],
    throttled: u32,
}

impl Presence {
    fn between(from: Millis, now: Millis, present: &[SlottedReport<'_>]) -> Self {
        let mut presence = Self {
            from,
            now,
            longest_ms: [(0, 0); MAX_IMAGES],
            throttled: 0,
        };
        for (report, slot) in present {
            let Some(slot) = slot else {
                continue;
            };
            let overlap = presence.overlap(report);
            let (first, second) = &mut presence.longest_ms[slot.index()];
            if overlap > *first {
                (*first, *second) = (overlap, *first);
            } else {
                *second = overlap.max(*second);
            }
            if report.is_throttled {
                presence.throttled |= slot.bit();
            }
        }
        presence
    }

    fn overlap(&self, report: &RunReport) -> u32 {
        let since = self.from.max(report.since);
        u32::try_from(self.now.since(since).0).unwrap_or(u32::MAX)
    }

    /// Time for which each image was present beside a run. The run itself does not count, so that
    /// its own image is present only if another of its runs is.
    fn beside(&self, report: &RunReport, slot: Slot) -> ([u32; MAX_IMAGES], u32) {
        let mut present_ms = self.longest_ms.map(|(longest, _)| longest);
        let (longest, second) = self.longest_ms[slot.index()];
        present_ms[slot.index()] = if self.overlap(report) == longest {
            second
        } else {
            longest
        };
        (present_ms, self.throttled)
    }
}
