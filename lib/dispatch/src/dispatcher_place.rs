//! Placement of waiting steps on workers.

use std::collections::BTreeSet;

use tarragon_names::WorkerName;
use tarragon_workflow::{RunEvent, StepKey, TaskKey};

use crate::{
    Dispatcher, Note,
    dispatcher_pace::FULL_PACE,
    packing::{Candidate, pack, pack_all},
    run_terms::RunTerms,
    run_view::RunView,
    seat::Seat,
    step_plan::StepPlan,
};

/// Which of the workers that may run a step are considered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Among {
    /// All, for a queue without advice.
    All,
    /// Those with a ticket that is still valid.
    Fresh,
    /// All that were approved.
    Approved,
}

/// Workers kept for a gang that could not be placed yet.
pub(crate) type Claims = BTreeSet<WorkerName>;

/// Most workers that are kept for gangs at the same time, in percent; kept room stays idle until
/// it is enough.
const CLAIMED_PERCENT: usize = 12;

impl Dispatcher {
    /// Places what can be placed, in the order of urgency.
    pub(crate) fn place(&mut self) {
        let (now, now_ms) = (self.now, self.now_ms);
        let mut order = self
            .plans
            .values()
            .filter(|plan| !plan.waiting.is_empty() && plan.not_before <= now)
            .map(|plan| plan.rank(now_ms))
            .collect::<Vec<_>>();
        order.sort_unstable();
        let mut claims = Claims::new();
        let mut first_kept = u32::MAX;
        for (priority, .., key) in order {
            self.place_step(key, &mut claims);
            if !claims.is_empty() {
                first_kept = first_kept.min(priority);
            }
        }
        self.kept = (first_kept, claims);
    }

    /// Places steps whose turn has just come, apart from all others.
    pub(crate) fn place_arrivals(&mut self) {
        for key in std::mem::take(&mut self.arrivals) {
            let Some(plan) = self.plans.get(&key) else {
                continue;
            };
            let (first_kept, kept) = &self.kept;
            let mut claims = if plan.queue.priority < *first_kept {
                Claims::new()
            } else {
                kept.clone()
            };
            self.place_step(key, &mut claims);
        }
    }

    pub(crate) fn place_step(&mut self, key: StepKey, claims: &mut Claims) {
        let Some(plan) = self.plans.get(&key) else {
            return;
        };
        if plan.waiting.is_empty() {
            return;
        }
        if plan.queue.advice.is_some() {
            self.place_advised(key, claims);
        } else if let Some(chosen) = self.choose(&key, Among::All, claims) {
            self.release(&key);
            self.start_on(key, &chosen);
        } else if !self.preempt(key, Among::All, claims) {
            self.release(&key);
            self.claim(&key, Among::All, claims);
        }
    }

    /// Workers for the waiting tasks of a step; for a gang, room for all of them.
    pub(crate) fn choose(
        &self,
        key: &StepKey,
        among: Among,
        claims: &Claims,
    ) -> Option<Vec<(WorkerName, u32)>> {
        let plan = self.plans.get(key)?;
        let step = plan.step();
        let need = step.reserved();
        let count = plan.waiting.len() as u32;
        let candidates = self.candidates(key, among, claims);
        let fit = |candidates: Vec<Candidate>| {
            if step.gang {
                return pack_all(candidates, &need, count, step.same_rack);
            }
            Some(pack(candidates, &need, count)).filter(|chosen| !chosen.is_empty())
        };
        let is_untried = |c: &&Candidate| !plan.failed_on.contains(&c.worker);
        let untried = candidates.iter().filter(is_untried).cloned().collect();
        fit(untried).or_else(|| fit(candidates))
    }

    pub(crate) fn candidates(
        &self,
        key: &StepKey,
        among: Among,
        claims: &Claims,
    ) -> Vec<Candidate> {
        let Some(plan) = self.plans.get(key) else {
            return Vec::new();
        };
        let mut candidates = Vec::new();
        match among {
            Among::All => {
                let seats = self.seats.iter();
                candidates.extend(seats.filter_map(|(_, seat)| self.candidate(plan, seat, claims)));
            }
            Among::Approved | Among::Fresh => {
                for (worker, approval) in &plan.advice.approved {
                    let Some(seat) = self.seats.get(worker) else {
                        continue;
                    };
                    let is_fresh = approval.life == *seat.life() && approval.fresh_until > self.now;
                    if is_fresh || among == Among::Approved {
                        candidates.extend(self.candidate(plan, seat, claims));
                    }
                }
            }
        }
        candidates
    }

    /// A worker as a place for tasks of a step, if it is fit for them.
    fn candidate(&self, plan: &StepPlan, seat: &Seat, claims: &Claims) -> Option<Candidate> {
        let worker = &seat.life().worker;
        if claims.contains(worker) || !self.may_run(plan, seat) {
            return None;
        }
        let step = plan.step();
        let on_data_rack = step.data_rack.is_some() && step.data_rack == seat.record.rack;
        let limit = step.max_per_worker.map_or(u32::MAX, |most| {
            most.saturating_sub(seat.count_of(&plan.key))
        });
        Some(Candidate {
            worker: worker.clone(),
            free: seat.free_for(&plan.key),
            rack: seat.record.rack.clone(),
            limit,
            is_preferred: on_data_rack || plan.reserved.contains_key(worker),
            is_slow: seat.pace.is_slow(self.mean_pace)
                || (step.best_effort && seat.filler_pace < FULL_PACE),
        })
    }

    /// Tells whether a worker is fit for a step, apart from room and advice.
    fn may_run(&self, plan: &StepPlan, seat: &Seat) -> bool {
        let label = plan.step().label.as_ref();
        seat.is_usable(self.now)
            && seat.record.pool == plan.queue.pool
            && label.is_none_or(|label| seat.record.labels.contains(label))
    }

    /// Keeps the workers of a gang that has no room yet from steps that come after it.
    pub(crate) fn claim(&self, key: &StepKey, among: Among, claims: &mut Claims) {
        let Some(plan) = self.plans.get(key) else {
            return;
        };
        let step = plan.step();
        let most = self.seats.len() * CLAIMED_PERCENT / 100;
        if !step.gang || claims.len() >= most {
            return;
        }
        let mut candidates = self.candidates(key, among, claims);
        candidates.sort_by_key(|c| std::cmp::Reverse(c.free.cpu_milli));
        let need = step.reserved();
        let mut left = plan.waiting.len() as u32;
        let mut claimed = Vec::new();
        for candidate in candidates {
            let Some(seat) = self.seats.get(&candidate.worker) else {
                continue;
            };
            let whole = Candidate {
                free: seat.record.capacity,
                ..candidate
            };
            let fits = whole.fits(&need);
            if fits == 0 {
                continue;
            }
            claimed.push(whole.worker);
            left = left.saturating_sub(fits);
            if left == 0 {
                claims.extend(claimed);
                return;
            }
        }
    }

    /// Decides the start of waiting tasks on the chosen workers.
    pub(crate) fn start_on(&mut self, key: StepKey, chosen: &[(WorkerName, u32)]) {
        let Some(plan) = self.plans.get_mut(&key) else {
            return;
        };
        let step = plan.step().clone();
        let need = step.reserved();
        let terms = RunTerms::new(&step, Some(&*plan.queue));
        let waited = self.now_ms.saturating_sub(plan.asked_ms);
        let mut tasks = std::mem::take(&mut plan.waiting).into_iter();
        let mut decided = Vec::new();
        for (worker, count) in chosen {
            let ticket = plan.advice.approved.get(worker).map(|a| a.ticket.clone());
            for index in tasks.by_ref().take(*count as usize) {
                decided.push((index, worker.clone(), ticket.clone()));
            }
        }
        plan.waiting = tasks.collect();
        for (index, worker, ticket) in decided {
            let task = TaskKey { step: key, index };
            let run = self.flow.with_job(key.job, |job| {
                let occurrence = job.occurrences.get(&key.occurrence);
                let run = occurrence.and_then(|o| o.steps.get(key.step as usize));
                run.map_or(1, |run| run.next_run(index, step.gang))
            });
            let (Some(run), Some(seat)) = (run, self.seats.get_mut(&worker)) else {
                continue;
            };
            let mut view = RunView::new(run, terms, self.now);
            view.ticket = ticket;
            seat.insert_run(task, view);
            let life = seat.record.incarnation.clone();
            let free = seat.free_for(&key);
            self.placed.insert((task, worker.clone()));
            self.records.push(RunEvent::Placed {
                task,
                run,
                incarnation: life,
            });
            let detail = format!("waited {waited} ms, needs {need}, leaves {free}");
            self.note(
                Note::new("run_placed", detail)
                    .task(task, run)
                    .worker(&worker),
            );
        }
    }
}
