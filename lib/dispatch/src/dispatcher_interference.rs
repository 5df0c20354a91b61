//! Images that slow each other down on one worker: what the workers report about them, and placement
//! that keeps them apart where there is capacity elsewhere.

use tarragon_interference::{InterferenceTable, Pair, PairChange, RunKey, RunReport, StepId, Work};
use tarragon_names::{Millis, Name, WorkerName};
use tarragon_workflow::{RunEnd, StepKey, TaskKey};

use crate::{
    DecisionEvent, Dispatcher, PollAnswer,
    dispatcher_place::CandidateSet,
    dispatcher_throttle::FULL_RATE,
    packing::Candidate,
    run_view::{RunView, StartState, StopState},
    worker_state::WorkerState,
};

/// Interval between two lists of the known pairs in the log.
const LIST_INTERVAL: Millis = Millis(10_000);

/// Maximum number of pairs in one line of the log.
const MAX_LISTED_PAIRS: usize = 8;

/// What the leader has learned about interference between images.
#[derive(Clone, Debug, Default)]
pub(crate) struct Interference {
    table: InterferenceTable,
    next_list_at: Millis,
}

impl Dispatcher {
    /// Returns the number of pairs of images that are kept apart.
    pub fn interfering_pairs(&self) -> usize {
        let interference = self.interference.as_ref();
        interference.map_or(0, |interference| interference.table.known_count())
    }

    pub(crate) fn forget_interference(&mut self) {
        if let Some(interference) = &mut self.interference {
            *interference = Interference::default();
        }
    }

    /// Takes in what an answer to a poll says about the runs of a worker.
    pub(crate) fn observe_interference(&mut self, worker: &WorkerName, answer: &PollAnswer) {
        let Some(interference) = &mut self.interference else {
            return;
        };
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let (mut running, mut ended) = (Vec::new(), Vec::new());
        for (task, view) in &state.runs {
            let Some(report) = run_report(task, view, self.leading_since) else {
                continue;
            };
            if !view.is_ended {
                running.push(report);
                continue;
            }
            let listed = answer.finished.iter().find(|finished| {
                (finished.task, finished.run) == (*task, view.run)
                    && Some(finished.number) == view.listed_end
            });
            if let Some(finished) = listed {
                ended.push((report, finished.end == RunEnd::Done));
            }
        }
        interference
            .table
            .observe(worker, self.now, &running, &ended);
    }

    /// Makes a pass over the observations, and reports the pairs that became known or were forgotten.
    pub(crate) fn evaluate_interference(&mut self) {
        let now = self.now;
        let Some(interference) = &mut self.interference else {
            return;
        };
        let changes = interference.table.evaluate(now);
        let mut listed = Vec::new();
        if now >= interference.next_list_at {
            interference.next_list_at = now + LIST_INTERVAL;
            listed = interference.table.known_pairs();
        }
        for change in changes {
            let event = match change {
                PairChange::Known(pair) => {
                    DecisionEvent::new("interference_known", describe(&pair))
                }
                PairChange::Forgotten(pair) => {
                    DecisionEvent::new("interference_forgotten", describe(&pair))
                }
            };
            self.emit(event);
        }
        if !listed.is_empty() {
            let pairs = listed.iter().take(MAX_LISTED_PAIRS).map(describe);
            let pairs = pairs.collect::<Vec<_>>().join("; ");
            let detail = format!("{} pairs: {pairs}", listed.len());
            self.emit(DecisionEvent::new("interference_pairs", detail));
        }
    }

    /// Chooses workers so that the tasks of a step and the images that they slow down or are slowed
    /// down by stay apart. Returns `None` if that changes nothing.
    ///
    /// A gang is left alone: its members should start at once, and on few workers.
    pub(crate) fn choose_without_interference(
        &mut self,
        key: &StepKey,
        candidate_set: CandidateSet,
        candidates: &[Candidate],
    ) -> Option<Vec<(WorkerName, u32)>> {
        let table = &self.interference.as_ref()?.table;
        let step = self.plans.get(key)?.step();
        let image = step.image.as_ref().filter(|_| !step.gang)?;
        let pairs = table.pairs_with(image);
        if pairs.is_empty() {
            return None;
        }
        let mut marked = candidates.to_vec();
        for candidate in &mut marked {
            let state = self.workers.get(&candidate.worker);
            let met = state.and_then(|state| interfering_pair_on(state, image, &pairs));
            candidate.has_interfering_run = met.is_some();
        }
        let itself = pairs.iter().find(|pair| pair.source == pair.affected);
        let spread = itself.and_then(|_| self.fit_spread(key, &marked));
        let chosen = spread.or_else(|| self.fit(key, marked))?;
        let otherwise = self.fit(key, candidates.to_vec())?;
        if chosen == otherwise {
            return None;
        }
        // Workers chosen with expired tickets are only asked about.
        if candidate_set != CandidateSet::Approved {
            let is_left = |worker: &WorkerName| chosen.iter().all(|(other, _)| other != worker);
            let left = otherwise.iter().map(|(worker, _)| worker);
            let left = left.filter(|worker| is_left(worker)).find_map(|worker| {
                let pair = interfering_pair_on(self.workers.get(worker)?, image, &pairs)?;
                Some((worker, pair))
            });
            let cause = left.map(|(_, pair)| pair).or(itself).map(describe);
            let detail = format!("step {key}: {}", cause.unwrap_or_default());
            let mut event = DecisionEvent::new("placed_apart", detail).job(key.job);
            if let Some((worker, _)) = left {
                event = event.worker(worker);
            }
            self.emit(event);
        }
        Some(chosen)
    }

    /// Chooses a worker for each task of a step of which the tasks slow each other down; `None` if
    /// there are too few workers without such a task, or if some workers are preferred.
    fn fit_spread(
        &self,
        key: &StepKey,
        candidates: &[Candidate],
    ) -> Option<Vec<(WorkerName, u32)>> {
        if candidates.iter().any(|candidate| candidate.is_preferred) {
            return None;
        }
        let tasks = self.startable_tasks(self.plans.get(key)?);
        let single = candidates
            .iter()
            .filter(|c| !c.has_interfering_run)
            .cloned();
        let single = single.map(|candidate| Candidate {
            limit: candidate.limit.min(1),
            ..candidate
        });
        let chosen = self.fit(key, single.collect())?;
        let count = chosen.iter().map(|(_, count)| count).sum::<u32>();
        (count == tasks).then_some(chosen)
    }
}

/// Returns a pair of the image and of a run on the worker, if they slow each other down.
fn interfering_pair_on<'a>(
    state: &WorkerState,
    image: &Name,
    pairs: &'a [Pair],
) -> Option<&'a Pair> {
    let runs = state.runs.values().filter(|view| !view.is_ended);
    let mut others = runs.filter_map(|view| view.spec.image.as_ref());
    others.find_map(|other| {
        let is = |a: &Name, b: &Name| a == image && b == other;
        let mut pairs = pairs.iter();
        pairs.find(|pair| is(&pair.source, &pair.affected) || is(&pair.affected, &pair.source))
    })
}

/// State of a run with an image, if it is known when the run started.
fn run_report(task: &TaskKey, view: &RunView, leading_since: Millis) -> Option<RunReport> {
    let image = view.spec.image.clone()?;
    let StartState::Present { since } = view.start else {
        return None;
    };
    let spec = &view.spec;
    // A run of an earlier leader was on its worker before it was listed here.
    let is_own = view.placed_at > leading_since && !view.has_unanswered_start;
    let is_whole = view.resume_from.is_none() && view.stop == StopState::NotRequested;
    let work = match (spec.target, view.usage_or_tail_ms) {
        (Some(target), Some(tail)) => Work::Tail(tail.saturating_mul(1_000) / target.0.max(1)),
        (None, _) if spec.estimate.0 > 0 && !spec.is_best_effort => {
            Work::Progress(view.progress.percent)
        }
        _ => Work::Unknown,
    };
    let step = StepId {
        job: task.step.job.0,
        occurrence: task.step.occurrence,
        step: task.step.step,
    };
    Some(RunReport {
        run: RunKey {
            step,
            index: task.index,
            run: view.run,
        },
        image,
        since,
        work,
        has_comparable_duration: is_own && is_whole && !spec.is_gang && !spec.is_best_effort,
        is_gang: spec.is_gang,
        is_throttled: spec.is_best_effort && !view.rate.is_certainly(FULL_RATE),
    })
}

/// A pair with its estimate and certainty, for the log.
fn describe(pair: &Pair) -> String {
    let Pair {
        source,
        affected,
        slowdown_percent,
        p_value_permille,
        comparisons,
    } = pair;
    format!(
        "{affected} beside {source} takes {slowdown_percent}% of its time, \
         p-value {p_value_permille} in 1000 from {comparisons} comparisons"
    )
}
