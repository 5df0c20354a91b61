//! Moves runs that fall behind the other runs of their step.

use std::collections::BTreeMap;

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::TaskKey;

use crate::{
    Dispatcher,
    dispatcher_overdue::running_time,
    dispatcher_place::CandidateSet,
    load_counters::StopCause,
    packing::Trust,
    run_view::{RunView, StartState, StopState},
    step_plan::StepPlan,
    straggler::{Straggler, expected_duration, max_moves, may_be_worth_moving},
};

/// Time between two searches for runs that fall behind.
const SEARCH_INTERVAL: Millis = Millis(500);

/// Time from the end of a stopped run until the new one works.
const RESTART_SLACK: Millis = Millis(200);

/// A run that falls behind, or the member of a gang that falls behind most.
struct Suspect {
    task: TaskKey,
    worker: WorkerName,
    remaining: Millis,
    saved_percent: u64,
}

impl Dispatcher {
    /// Moves runs that end after their objective although a new run would end well before them.
    pub(crate) fn move_stragglers(&mut self) {
        if self.now < self.next_straggler_search_at {
            return;
        }
        self.next_straggler_search_at = self.now + SEARCH_INTERVAL;
        let (suspects, runs, stopping) = self.suspects();
        let gains = suspects.into_values().filter_map(|suspect| {
            let straggler = self.straggler(&suspect)?;
            let gain = straggler.remaining.since(straggler.elsewhere());
            straggler.is_worth_moving().then_some((gain, suspect))
        });
        let mut moved = gains.collect::<Vec<_>>();
        moved.sort_by_key(|(gain, _)| std::cmp::Reverse(*gain));
        moved.truncate(max_moves(runs, stopping));
        for (_, suspect) in moved {
            self.move_run(suspect.task, &suspect.worker, StopCause::BehindStep);
        }
    }

    /// Returns the runs that may be worth moving, one for each gang, the number of all runs, and
    /// that of the runs that are being stopped.
    fn suspects(&self) -> (BTreeMap<TaskKey, Suspect>, usize, usize) {
        let restart = self.cfg.stop_time + RESTART_SLACK;
        let mut suspects = BTreeMap::<TaskKey, Suspect>::new();
        let (mut runs, mut stopping) = (0, 0);
        for (worker, state) in self.workers.iter() {
            for (task, view) in &state.runs {
                runs += 1;
                let is_stopping = !view.is_ended && view.stop != StopState::NotRequested;
                stopping += usize::from(is_stopping);
                // A later run was moved before, or has failed: a task is moved at most once.
                if view.run > 1 || view.spec.is_best_effort {
                    continue;
                }
                let Some(remaining) = remaining_time(view, self.now) else {
                    continue;
                };
                if !may_be_worth_moving(remaining, restart) {
                    continue;
                }
                let unit = TaskKey {
                    index: if view.spec.is_gang { 0 } else { task.index },
                    ..*task
                };
                let known = suspects.get(&unit);
                if known.is_none_or(|known| known.remaining < remaining) {
                    let suspect = Suspect {
                        task: *task,
                        worker: worker.clone(),
                        remaining,
                        saved_percent: view.checkpoint_percent,
                    };
                    suspects.insert(unit, suspect);
                }
            }
        }
        (suspects, runs, stopping)
    }

    /// Returns what a move of a run would bring; `None` if no capacity is free for it.
    fn straggler(&self, suspect: &Suspect) -> Option<Straggler> {
        let key = suspect.task.step;
        let plan = self.plans.get(&key)?;
        let left = self.time_left(plan);
        if suspect.remaining <= left || self.must_leave_headroom(plan) {
            return None;
        }
        let others = self.durations_of_others(&suspect.task);
        let duration = expected_duration(others, plan.step().estimate);
        let factor = self.factor_elsewhere(plan, &suspect.worker)?;
        Some(Straggler {
            remaining: suspect.remaining,
            left,
            restart: self.cfg.stop_time + RESTART_SLACK,
            duration: Millis(duration.0 * factor / 1_000),
            saved_percent: if plan.step().checkpointing {
                suspect.saved_percent
            } else {
                0
            },
        })
    }

    /// Durations of the other runs of a step on the mean worker. The members of a gang take as long
    /// as the slowest one and tell nothing.
    fn durations_of_others(&self, task: &TaskKey) -> Vec<u64> {
        let first = TaskKey { index: 0, ..*task };
        let from = (first, WorkerName::default());
        let placed = self.placed.range(from..);
        let placed = placed.take_while(|(other, _)| other.step == task.step);
        let running = placed.filter(|(other, _)| other != task);
        let durations = running.filter_map(|(other, worker)| {
            let view = self.workers.get(worker)?.runs.get(other)?;
            if view.spec.is_gang {
                return None;
            }
            let whole = running_time(view, self.now)? + remaining_time(view, self.now)?;
            Some(whole.0 * 1_000 / self.speed_factor(worker).permille.max(1))
        });
        let mut durations = durations.collect::<Vec<_>>();
        durations.extend(self.step_durations.all_on_mean_worker(&task.step));
        durations
    }

    /// Duration of runs on the fastest worker with free capacity other than `current`, relative to
    /// the mean worker, but not below that: faster ones may be taken by others meanwhile. `None` if
    /// the capacity does not suffice, for a gang for all members.
    fn factor_elsewhere(&self, plan: &StepPlan, current: &WorkerName) -> Option<u64> {
        let candidate_set = if plan.queue.advice.is_some() {
            CandidateSet::Approved
        } else {
            CandidateSet::All
        };
        let step = plan.step();
        let need = step.reserved();
        let (_, claims) = &self.gang_claims;
        let mut candidates = self.candidates(&plan.key, candidate_set, claims);
        candidates.retain(|candidate| {
            candidate.worker != *current
                && candidate.trust != Trust::Failing
                && !plan.failed_on.contains(&candidate.worker)
                && candidate.fits(&need) > 0
        });
        candidates.sort_by_key(|candidate| candidate.speed.permille);
        let mut missing = if step.gang { step.count } else { 1 };
        for candidate in candidates {
            missing = missing.saturating_sub(candidate.fits(&need));
            if missing == 0 {
                return Some(candidate.speed.permille.max(1_000));
            }
        }
        None
    }
}

/// Time until a run ends at its present speed; `None` if that is not known.
fn remaining_time(view: &RunView, now: Millis) -> Option<Millis> {
    running_time(view, now)?;
    let StartState::Present { since } = view.start else {
        return None;
    };
    // A resumed run does not begin at 0%, and neither does one that an earlier leader placed.
    let is_new = view.resume_from.is_none() && view.start_may_arrive_until == Millis(0);
    view.progress.remaining(is_new.then_some(since), now)
}
