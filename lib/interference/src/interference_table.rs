use std::collections::{BTreeMap, VecDeque};

use tarragon_names::{Millis, Name, WorkerName};

use crate::{
    Pair, PairChange, RunReport,
    image_table::{ImageTable, MAX_IMAGES, Slot},
    observation::Observation,
    pair::{Estimate, PairState},
    pairing::{COMPARED_PERCENT, MAX_COMPARISONS, Observations, estimate_source},
    worker_track::{SlottedReport, WorkerTrack},
};

/// Time for which an observation counts. Interference changes within seconds, and everything is
/// forgotten within 30 s: after this time, `HOLD` and a cycle of passes over all images.
const RETENTION: Millis = Millis(18_000);

/// Time for which a known pair stays known without observations. A pair that is kept apart brings no
/// new ones.
const HOLD: Millis = Millis(8_000);

/// Number of new comparisons that end this time early if they do not confirm the pair.
const UNCONFIRMED_COMPARISONS: usize = 7;

/// Time between two passes. Each pass estimates the effect of one image, so a cycle over all of them
/// takes 3.2 s at most.
const PASS_INTERVAL: Millis = Millis(100);

/// Maximum number of durations, and of spans, that are kept. The images share them evenly, and each
/// keeps its latest ones, so that the time of a pass has a bound whatever the number of images.
const MAX_OBSERVATIONS: usize = 4_096;

/// Maximum number of durations, and of spans, that are kept of an image.
const MAX_OBSERVATIONS_OF_AN_IMAGE: usize = 512;

/// Maximum number of runs that are tracked at the same time on all workers.
const MAX_TRACKED_RUNS: usize = 8_192;

/// Maximum number of workers whose runs are tracked.
const MAX_WORKERS: usize = 4_096;

/// Least slowdown, in percent, for which a pair is kept apart. The strictest objective of a step is
/// one and a half times its work, so a smaller one uses up less than half of what a caller allows.
const MIN_KNOWN_PERCENT: f64 = 125.0;

/// Greatest p-value with which a pair becomes known: that of seven comparisons that
/// all agree.
const MAX_KNOWN_P_VALUE: f64 = 0.008;

/// Greatest p-value with which a pair stays known, and with which its effect is taken
/// off before other sources are judged: that of four comparisons that all agree.
const MAX_KEPT_P_VALUE: f64 = 0.07;

/// Number of estimates in a row that must be certain before a pair becomes known. In between, the
/// effects of other sources of the same slowdown are taken off.
const MIN_CERTAIN_IN_A_ROW: u32 = 3;

/// Estimates which images slow down which others on the same worker.
#[derive(Clone, Debug)]
pub struct InterferenceTable {
    images: ImageTable,
    workers: BTreeMap<WorkerName, WorkerTrack>,
    last_worker_number: u32,
    tracked_runs: usize,
    /// Durations of runs, by the slot of their image.
    durations: Vec<VecDeque<Observation>>,
    /// Spans of runs, by the slot of their image.
    spans: Vec<VecDeque<Observation>>,
    pairs: BTreeMap<(Slot, Slot), PairState>,
    known_pairs: usize,
    /// Known pairs that were removed since the last pass because one of their images was.
    forgotten: Vec<PairChange>,
    last_source: Option<Slot>,
    next_pass_at: Millis,
}

impl Default for InterferenceTable {
    fn default() -> Self {
        Self {
            images: ImageTable::default(),
            workers: BTreeMap::new(),
            last_worker_number: 0,
            tracked_runs: 0,
            durations: vec![VecDeque::new(); MAX_IMAGES],
            spans: vec![VecDeque::new(); MAX_IMAGES],
            pairs: BTreeMap::new(),
            known_pairs: 0,
            forgotten: Vec::new(),
            last_source: None,
            next_pass_at: Millis(0),
        }
    }
}

impl InterferenceTable {
    /// Takes a report of all runs on a worker that have an image: those that go on, and those that
    /// ended since the last report, each with whether it ended with success.
    pub fn observe(
        &mut self,
        worker: &WorkerName,
        now: Millis,
        running: &[RunReport],
        ended: &[(RunReport, bool)],
    ) {
        let is_known = self.workers.contains_key(worker);
        if !is_known
            && (running.is_empty() && ended.is_empty() || self.workers.len() >= MAX_WORKERS)
        {
            return;
        }
        // A report may free the slot of an image, so all are counted before any slot is looked up.
        for report in running.iter().chain(ended.iter().map(|(report, _)| report)) {
            let freed = self.images.record(&report.image, now);
            self.clear_slots(freed);
        }
        let slotted = |report| slotted(&self.images, report);
        let running = running.iter().map(slotted).collect::<Vec<_>>();
        let ended = ended.iter().map(|(report, end)| (slotted(report), *end));
        let ended = ended.collect::<Vec<_>>();
        if !is_known {
            self.last_worker_number = self.last_worker_number.wrapping_add(1);
            let track = WorkerTrack::new(self.last_worker_number, now);
            self.workers.insert(worker.clone(), track);
        }
        let Some(track) = self.workers.get_mut(worker) else {
            return;
        };
        let others = self.tracked_runs - track.runs();
        let max_runs = MAX_TRACKED_RUNS.saturating_sub(others);
        let new = track.observe(now, &running, &ended, max_runs);
        self.tracked_runs = others + track.runs();
        let share = self.share_of_an_image();
        for (slot, observation) in new.durations {
            push_bounded(&mut self.durations[slot.index()], observation, share);
        }
        for (slot, observation) in new.spans {
            push_bounded(&mut self.spans[slot.index()], observation, share);
        }
    }

    /// Makes one pass, if it is due: estimates the effect of one image on all others and returns the
    /// pairs that became known or were forgotten.
    pub fn evaluate(&mut self, now: Millis) -> Vec<PairChange> {
        if now < self.next_pass_at {
            return Vec::new();
        }
        self.next_pass_at = now + PASS_INTERVAL;
        self.forget_expired(now);
        let mut changes = std::mem::take(&mut self.forgotten);
        let used = self.images.used();
        let next = used.iter().find(|slot| Some(**slot) > self.last_source);
        let Some(source) = next.or(used.first()).copied() else {
            return changes;
        };
        self.last_source = Some(source);
        let estimates = self.estimate(source);
        for affected in used {
            let estimate = estimates.get(&affected).cloned();
            changes.extend(self.update_pair(source, affected, estimate, now));
        }
        self.count_known();
        changes
    }

    /// Returns the pairs that are kept apart.
    pub fn known_pairs(&self) -> Vec<Pair> {
        let known = self.pairs.values().filter(|state| state.is_known);
        known.map(|state| state.pair.clone()).collect()
    }

    /// Returns the number of pairs that are kept apart.
    pub fn known_count(&self) -> usize {
        self.known_pairs
    }

    /// Returns the pairs that are kept apart and contain an image, as source or as affected one.
    pub fn pairs_with(&self, image: &Name) -> Vec<Pair> {
        if self.known_pairs == 0 {
            return Vec::new();
        }
        let pairs = self.known_pairs().into_iter();
        pairs
            .filter(|pair| pair.source == *image || pair.affected == *image)
            .collect()
    }

    /// Upper bound of the memory for observations, runs, pairs and names, in bytes.
    pub fn max_bytes() -> usize {
        let observations = 2 * MAX_OBSERVATIONS * size_of::<Observation>();
        let pair = size_of::<((Slot, Slot), PairState)>() + MAX_COMPARISONS * size_of::<Millis>();
        let pairs = MAX_IMAGES * MAX_IMAGES * pair;
        let runs = MAX_TRACKED_RUNS * WorkerTrack::BYTES_OF_A_RUN;
        let workers = MAX_WORKERS * size_of::<(WorkerName, WorkerTrack)>();
        // Trees and growing buffers use up to twice the space of their contents.
        2 * (observations + pairs + runs + workers) + ImageTable::max_name_bytes()
    }

    /// Number of observations, runs, pairs and images that are kept.
    pub fn entries(&self) -> usize {
        let observations = self.durations.iter().chain(&self.spans);
        let observations = observations.map(VecDeque::len).sum::<usize>();
        observations + self.tracked_runs + self.pairs.len() + self.images.used().len()
    }

    /// Number of durations, and of spans, that each image may keep.
    fn share_of_an_image(&self) -> usize {
        let images = self.images.used().len().max(1);
        (MAX_OBSERVATIONS / images).min(MAX_OBSERVATIONS_OF_AN_IMAGE)
    }

    /// Removes all traces of the images that had these slots.
    fn clear_slots(&mut self, freed: u32) {
        if freed == 0 {
            return;
        }
        for slot in Slot::all().filter(|slot| freed & slot.bit() != 0) {
            self.durations[slot.index()].clear();
            self.spans[slot.index()].clear();
        }
        for observation in self.durations.iter_mut().chain(&mut self.spans).flatten() {
            observation.neighbors.clear(freed);
        }
        for track in self.workers.values_mut() {
            track.clear_slots(freed);
        }
        let forgotten = &mut self.forgotten;
        self.pairs.retain(|(source, affected), state| {
            let is_freed = freed & (source.bit() | affected.bit()) != 0;
            if is_freed && state.is_known {
                forgotten.push(PairChange::Forgotten(state.pair.clone()));
            }
            !is_freed
        });
        self.count_known();
    }

    fn count_known(&mut self) {
        let known = self.pairs.values();
        self.known_pairs = known.filter(|state| state.is_known).count();
    }

    fn forget_expired(&mut self, now: Millis) {
        let since = Millis(now.0.saturating_sub(RETENTION.0));
        let share = self.share_of_an_image();
        for observations in self.durations.iter_mut().chain(&mut self.spans) {
            while observations.front().is_some_and(|first| first.at < since)
                || observations.len() > share
            {
                observations.pop_front();
            }
        }
        self.workers.retain(|_, track| track.observed_at >= since);
        self.tracked_runs = self.workers.values().map(WorkerTrack::runs).sum();
        let freed = self.images.forget_unseen(since);
        self.clear_slots(freed);
    }

    fn estimate(&self, source: Slot) -> BTreeMap<Slot, Estimate> {
        let mut effects = vec![Vec::new(); MAX_IMAGES];
        for ((other, affected), state) in &self.pairs {
            if *other != source && is_kept(&state.estimate) {
                effects[affected.index()].push((*other, state.estimate.log_effect));
            }
        }
        let effect_of_others = |affected: Slot, observation: &Observation| {
            let others = effects[affected.index()].iter();
            let present = others.filter(|(other, _)| observation.neighbors.with & other.bit() != 0);
            present.map(|(_, effect)| effect).sum()
        };
        let durations = flatten(&self.durations);
        let spans = flatten(&self.spans);
        estimate_source(source, &durations, &spans, effect_of_others)
    }

    fn update_pair(
        &mut self,
        source: Slot,
        affected: Slot,
        estimate: Option<Estimate>,
        now: Millis,
    ) -> Option<PairChange> {
        let key = (source, affected);
        let before = self.pairs.get(&key).cloned();
        let is_known = before.as_ref().is_some_and(|state| state.is_known);
        let Some(estimate) = estimate.clone().filter(is_kept) else {
            let state = before?;
            let fresh =
                estimate.map_or(0, |estimate| estimate.comparisons_after(state.supported_at));
            let is_held =
                is_known && fresh < UNCONFIRMED_COMPARISONS && now.since(state.supported_at) < HOLD;
            if is_held {
                return None;
            }
            self.pairs.remove(&key);
            return is_known.then_some(PairChange::Forgotten(state.pair));
        };
        let is_certain = estimate.p_value <= MAX_KNOWN_P_VALUE
            && estimate.log_effect >= (MIN_KNOWN_PERCENT / 100.0).ln();
        let in_a_row = before.map_or(0, |state| state.certain_in_a_row);
        let certain_in_a_row = if is_certain { in_a_row + 1 } else { 0 };
        let becomes_known = !is_known && certain_in_a_row >= MIN_CERTAIN_IN_A_ROW;
        let pair = self.pair(source, affected, &estimate)?;
        let state = PairState {
            pair: pair.clone(),
            supported_at: estimate.latest(),
            estimate,
            certain_in_a_row,
            is_known: is_known || becomes_known,
        };
        self.pairs.insert(key, state);
        becomes_known.then_some(PairChange::Known(pair))
    }

    fn pair(&self, source: Slot, affected: Slot, estimate: &Estimate) -> Option<Pair> {
        Some(Pair {
            source: self.images.name(source)?.clone(),
            affected: self.images.name(affected)?.clone(),
            slowdown_percent: (estimate.log_effect.exp() * 100.0).round() as u64,
            p_value_permille: (estimate.p_value * 1_000.0).ceil() as u64,
            comparisons: estimate.compared_at.len(),
        })
    }
}

/// Returns whether an estimate is certain enough for a known pair to stay known.
fn is_kept(estimate: &Estimate) -> bool {
    estimate.p_value <= MAX_KEPT_P_VALUE && estimate.log_effect >= (COMPARED_PERCENT / 100.0).ln()
}

fn slotted<'a>(images: &ImageTable, report: &'a RunReport) -> SlottedReport<'a> {
    (report, images.slot(&report.image))
}

fn push_bounded(
    observations: &mut VecDeque<Observation>,
    observation: Observation,
    max_observations: usize,
) {
    if observations.len() >= max_observations {
        observations.pop_front();
    }
    observations.push_back(observation);
}

fn flatten(by_slot: &[VecDeque<Observation>]) -> Observations<'_> {
    let slots = Slot::all().zip(by_slot);
    slots
        .flat_map(|(slot, observations)| observations.iter().map(move |o| (slot, o)))
        .collect()
}
