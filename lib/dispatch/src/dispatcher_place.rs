//! Placement of waiting steps on workers.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use tarragon_names::{Millis, Name, WorkerName};
use tarragon_workflow::{RunEvent, StepKey, TaskKey};

use crate::{
    DecisionEvent, Dispatcher,
    dispatcher_throttle::FULL_RATE,
    packing::{Candidate, pack, pack_all},
    run_spec::RunSpec,
    run_view::RunView,
    step_plan::StepPlan,
    wait::Wait,
    worker_state::WorkerState,
};

/// Set of workers considered for a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CandidateSet {
    /// All workers, for a queue without advice.
    All,
    /// Approved workers with a valid ticket.
    ValidTicket,
    /// All approved workers, also those with an expired ticket.
    Approved,
}

/// Workers claimed for gangs that do not fit yet; later steps are not placed there.
pub(crate) type Claims = BTreeSet<WorkerName>;

/// Highest share of workers claimed for gangs at the same time, in percent. Claimed capacity stays
/// idle until the whole gang fits.
const MAX_CLAIMED_PERCENT: usize = 12;

impl Dispatcher {
    /// Places all waiting steps that fit, the most urgent first.
    pub(crate) fn place(&mut self) {
        let now = self.now;
        let order = self
            .plans
            .values()
            .filter(|plan| !plan.waiting.is_empty() && plan.not_before <= now)
            .map(|plan| self.rank(plan))
            .collect::<Vec<_>>();
        self.update_headroom(order.iter().map(|rank| (rank.priority, rank.key)));
        let mut order = order.into_iter().map(Reverse).collect::<BinaryHeap<_>>();
        self.capped_teams.clear();
        let mut claims = Claims::new();
        let mut claims_priority = u32::MAX;
        while let Some(Reverse(rank)) = order.pop() {
            let current = self.plans.get(&rank.key).map(|plan| self.rank(plan));
            // The team has used more of its share since the steps were ordered.
            if let Some(current) = current.filter(|current| *current > rank) {
                order.push(Reverse(current));
                continue;
            }
            self.place_step(rank.key, &mut claims);
            if !claims.is_empty() {
                claims_priority = claims_priority.min(rank.priority);
            }
        }
        self.gang_claims = (claims_priority, claims);
    }

    /// Places newly planned steps, without a placement of all steps.
    pub(crate) fn place_new_steps(&mut self) {
        for key in std::mem::take(&mut self.new_steps) {
            if self.defer_for_share(&key) {
                self.needs_placement = true;
                continue;
            }
            let Some(plan) = self.plans.get(&key) else {
                continue;
            };
            let (claims_priority, gang_claims) = &self.gang_claims;
            let mut claims = if plan.queue.priority < *claims_priority {
                Claims::new()
            } else {
                gang_claims.clone()
            };
            self.place_step(key, &mut claims);
        }
    }

    /// Sums up the needs of the waiting steps by priority, for [`Headroom::below`].
    ///
    /// [`Headroom::below`]: crate::headroom::Headroom::below
    fn update_headroom<I>(&mut self, waiting: I)
    where
        I: Iterator<Item = (u32, StepKey)>,
    {
        let mut sums = BTreeMap::<u32, u64>::new();
        for (priority, key) in waiting {
            if let Some(plan) = self.plans.get(&key) {
                let sum = sums.entry(priority).or_default();
                *sum = sum.saturating_add(plan.waiting_need().cpu_milli);
            }
        }
        self.headroom.set_waiting(sums);
    }

    /// Returns whether a step waits because the free capacity is left to more urgent steps.
    fn must_leave_headroom(&self, plan: &StepPlan) -> bool {
        if plan.step().best_effort || plan.step().long_running {
            return false;
        }
        let pool = &plan.queue.pool;
        let capacity = self.workers.capacity_of(pool);
        let has_waited_long = plan.has_waited_long(self.now_ms);
        let priority = plan.queue.priority;
        let headroom = self
            .headroom
            .below(priority, has_waited_long, capacity, self.now);
        let need = if plan.step().gang {
            plan.waiting_need()
        } else {
            plan.step().reserved()
        };
        // A step that needs nearly the whole pool starts when the pool is empty.
        let headroom = headroom.min(capacity.saturating_sub(need.cpu_milli));
        headroom > 0 && self.workers.available_in(pool) < headroom.saturating_add(need.cpu_milli)
    }

    pub(crate) fn place_step(&mut self, key: StepKey, claims: &mut Claims) {
        let Some(plan) = self.plans.get(&key) else {
            return;
        };
        if plan.waiting.is_empty() || self.defer_for_cap(&key) {
            return;
        }
        self.workers.update_index(self.now);
        let Some(plan) = self.plans.get(&key) else {
            return;
        };
        if self.must_leave_headroom(plan) {
            self.set_wait(&key, Wait::Headroom);
            return;
        }
        if plan.queue.advice.is_some() {
            self.place_with_advice(key, claims);
        } else if let Some(chosen) = self.choose_workers(&key, CandidateSet::All, claims) {
            self.release_reservation(&key);
            self.place_tasks(key, &chosen);
        } else if !self.preempt(key, CandidateSet::All, claims) {
            self.set_wait(&key, Wait::Worker);
            self.release_reservation(&key);
            self.claim(&key, CandidateSet::All, claims);
        }
    }

    /// Chooses workers for the waiting tasks of a step. For a gang, all tasks must fit.
    pub(crate) fn choose_workers(
        &mut self,
        key: &StepKey,
        candidate_set: CandidateSet,
        claims: &Claims,
    ) -> Option<Vec<(WorkerName, u32)>> {
        let candidates = self.candidates(key, candidate_set, claims);
        if let Some(chosen) = self.choose_without_interference(key, candidate_set, &candidates) {
            return Some(chosen);
        }
        self.fit(key, candidates)
    }

    /// Chooses workers for the waiting tasks of a step among candidates.
    pub(crate) fn fit(
        &self,
        key: &StepKey,
        candidates: Vec<Candidate>,
    ) -> Option<Vec<(WorkerName, u32)>> {
        let plan = self.plans.get(key)?;
        let step = plan.step();
        let need = step.reserved();
        let count = self.startable_tasks(plan);
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
        candidate_set: CandidateSet,
        claims: &Claims,
    ) -> Vec<Candidate> {
        let Some(plan) = self.plans.get(key) else {
            return Vec::new();
        };
        let mut candidates = Vec::new();
        match candidate_set {
            CandidateSet::All => {
                let states = self.workers.iter();
                candidates
                    .extend(states.filter_map(|(_, state)| self.candidate(plan, state, claims)));
            }
            CandidateSet::Approved | CandidateSet::ValidTicket => {
                for (worker, approval) in &plan.advice.approved {
                    let Some(state) = self.workers.get(worker) else {
                        continue;
                    };
                    let has_valid_ticket = approval.incarnation == *state.incarnation()
                        && approval.usable_until > self.now;
                    if has_valid_ticket || candidate_set == CandidateSet::Approved {
                        candidates.extend(self.candidate(plan, state, claims));
                    }
                }
            }
        }
        candidates
    }

    /// Returns a worker as a candidate for tasks of a step, if it is eligible.
    pub(crate) fn candidate(
        &self,
        plan: &StepPlan,
        state: &WorkerState,
        claims: &Claims,
    ) -> Option<Candidate> {
        let worker = &state.incarnation().worker;
        if claims.contains(worker) || !self.is_eligible(plan, state) {
            return None;
        }
        let step = plan.step();
        let on_data_rack = step.data_rack.is_some() && step.data_rack == state.record.rack;
        let limit = step.max_per_worker.map_or(u32::MAX, |most| {
            most.saturating_sub(state.running_tasks_of(&plan.key))
        });
        Some(Candidate {
            worker: worker.clone(),
            free: state.free_for(&plan.key),
            rack: state.record.rack.clone(),
            limit,
            is_preferred: on_data_rack || plan.reserved.contains_key(worker),
            has_interfering_run: false,
            is_slow: state.speed.is_slow(self.mean_speed)
                || (step.best_effort && state.best_effort_rate < FULL_RATE),
        })
    }

    /// Returns whether a worker may run a step, regardless of capacity and advice.
    fn is_eligible(&self, plan: &StepPlan, state: &WorkerState) -> bool {
        let label = plan.step().label.as_ref();
        state.is_usable(self.now)
            && state.record.pool == plan.queue.pool
            && label.is_none_or(|label| state.record.labels.contains(label))
    }

    /// Claims workers for a gang that does not fit yet, so that later steps leave them free.
    pub(crate) fn claim(&self, key: &StepKey, candidate_set: CandidateSet, claims: &mut Claims) {
        let Some(plan) = self.plans.get(key) else {
            return;
        };
        let step = plan.step();
        let max_claims = self.workers.len() * MAX_CLAIMED_PERCENT / 100;
        if !step.gang || claims.len() >= max_claims {
            return;
        }
        let mut candidates = self.candidates(key, candidate_set, claims);
        candidates.sort_by_key(|c| std::cmp::Reverse(c.free.cpu_milli));
        let need = step.reserved();
        let mut left = plan.waiting.len() as u32;
        let mut claimed = Vec::new();
        for candidate in candidates {
            let Some(state) = self.workers.get(&candidate.worker) else {
                continue;
            };
            // Tasks that last never leave room to the gang.
            let emptied = Candidate {
                free: state.capacity_beside_lasting(),
                ..candidate
            };
            let fits = emptied.fits(&need);
            if fits == 0 {
                continue;
            }
            claimed.push(emptied.worker);
            left = left.saturating_sub(fits);
            if left == 0 {
                claims.extend(claimed);
                return;
            }
        }
    }

    /// Returns the number of the next run of each of these tasks and the checkpoint that it resumes
    /// from. All are read at once, because the members of a gang must get the same.
    fn next_runs<I>(&self, key: StepKey, is_gang: bool, tasks: I) -> Vec<(u32, Option<Name>)>
    where
        I: Iterator<Item = u32>,
    {
        let runs = self.workflow_state.with_job(key.job, |job| {
            let occurrence = job.occurrences.get(&key.occurrence);
            let progress = occurrence.and_then(|o| o.steps.get(key.step as usize));
            let next = |index| match progress {
                Some(progress) => {
                    let checkpoint = progress.checkpoint(index, is_gang);
                    (progress.next_run(index, is_gang), checkpoint)
                }
                None => (1, None),
            };
            tasks.map(next).collect()
        });
        runs.unwrap_or_default()
    }

    /// Places waiting tasks on the chosen workers and records the decisions.
    pub(crate) fn place_tasks(&mut self, key: StepKey, chosen: &[(WorkerName, u32)]) {
        let Some(plan) = self.plans.get_mut(&key) else {
            return;
        };
        let step = plan.step().clone();
        let need = step.reserved();
        let spec = RunSpec::new(&step, Some(&*plan.queue), plan.team.clone());
        let waited = self.now_ms.saturating_sub(plan.due_ms);
        let priority = plan.queue.priority;
        let are_all_waiting = plan.waiting.len() == step.count as usize;
        let mut tasks = std::mem::take(&mut plan.waiting).into_iter();
        let mut placements = Vec::new();
        for (worker, count) in chosen {
            let ticket = plan.advice.approved.get(worker).map(|a| a.ticket.clone());
            for index in tasks.by_ref().take(*count as usize) {
                placements.push((index, worker.clone(), ticket.clone()));
            }
        }
        plan.waiting = tasks.collect();
        let tasks = placements.iter().map(|(index, ..)| *index);
        let runs = self.next_runs(key, step.gang, tasks);
        let is_first = are_all_waiting && runs.first().is_some_and(|(run, _)| *run == 1);
        if is_first && step.depends_on.is_empty() {
            self.load_counters
                .record_first_placement(priority, Millis(waited));
        }
        for ((index, worker, ticket), (run, checkpoint)) in placements.into_iter().zip(runs) {
            let task = TaskKey { step: key, index };
            let Some(state) = self.workers.get_mut(&worker) else {
                continue;
            };
            let mut view = RunView::new(run, spec.clone(), self.now);
            view.ticket = ticket;
            view.resume_from = checkpoint;
            state.insert_run(task, view);
            let incarnation = state.record.incarnation.clone();
            let free = state.free_for(&key);
            self.placed.insert((task, worker.clone()));
            self.records.push(RunEvent::Placed {
                task,
                run,
                incarnation,
            });
            let detail = format!("waited {waited} ms, needs {need}, leaves {free}");
            self.emit(
                DecisionEvent::new("run_placed", detail)
                    .task(task, run)
                    .worker(&worker),
            );
        }
    }
}
