//! Requests for advice on the workers that may run a step: about which workers, when, and through
//! which host.

use tarragon_names::{Millis, Name, Resources, WorkerName};
use tarragon_workflow::{AdviceTerms, StepKey};

use crate::{
    AdviceAnswer, AdviceRequest, DecisionEvent, Dispatcher, Output,
    advice::Approval,
    advice_relays::LONG_REQUEST,
    dispatcher::PendingRequest,
    dispatcher_place::{CandidateSet, Claims},
    nameable_workers::NameableWorkers,
    packing::Candidate,
    step_plan::StepPlan,
    wait::Wait,
};

/// Largest number of workers named in one request.
const MAX_NAMED_WORKERS: usize = 100;

/// Largest number of workers without available capacity that are considered for one request.
const MAX_UNFIT_WORKERS: usize = 200;

/// Smallest number of workers named in one request, unless fewer are left.
const MIN_NAMED_WORKERS: usize = 4;

/// Workers named in a request, in percent of those that the approval rate calls for.
const NAMED_WORKERS_PERCENT: u64 = 150;

/// Time that a request spends on the named workers, in percent of its base time, if that many
/// workers are worth naming: each further request costs the base time again.
const PER_WORKER_TIME_PERCENT: u64 = 100;

/// Like `PER_WORKER_TIME_PERCENT`, for a short request.
const SHORT_PER_WORKER_TIME_PERCENT: u64 = 50;

/// Approval rate assumed before the first answer, in thousandths.
const INITIAL_APPROVED_PERMILLE: u64 = 500;

/// Weight of a new answer in the approval rate, in percent.
const NEW_ANSWER_WEIGHT_PERCENT: u64 = 20;

/// Lowest approval rate used to size a request, in thousandths.
const MIN_APPROVED_PERMILLE: u64 = 50;

/// Requests with at least this base time are sent before there is capacity for the step.
const EARLY_REQUEST: Millis = Millis(60);

/// Pause after no worker was found to ask about.
const NO_WORKER_PAUSE: Millis = Millis(50);

/// Pause after a request that got no answer.
const FAILED_REQUEST_PAUSE: Millis = Millis(150);

impl Dispatcher {
    /// Places a step whose tasks may run only on approved workers.
    pub(crate) fn place_with_advice(&mut self, key: StepKey, claims: &mut Claims) {
        if let Some(chosen) = self.choose_workers(&key, CandidateSet::ValidTicket, claims) {
            self.release_reservation(&key);
            self.place_tasks(key, &chosen);
            return;
        }
        if self.preempt(key, CandidateSet::ValidTicket, claims) {
            return;
        }
        let Some(plan) = self.plans.get(&key) else {
            return;
        };
        if plan.advice.open_request.is_some() {
            self.claim(&key, CandidateSet::Approved, claims);
            return;
        }
        // A reservation made earlier for the step is void here: its tickets expired before the
        // capacity was free.
        self.release_reservation(&key);
        let Some(plan) = self.plans.get(&key) else {
            return;
        };
        let duration = plan
            .queue
            .advice
            .map_or(Millis(0), |terms| request_duration(&terms, 0));
        let has_relay = self.relays.has_idle_relay(duration, self.now);
        if self.now < plan.advice.next_request_at || !has_relay {
            if !has_relay {
                self.set_wait(&key, Wait::Relay);
            }
            self.claim(&key, CandidateSet::Approved, claims);
            return;
        }
        if let Some(chosen) = self.choose_workers(&key, CandidateSet::Approved, claims) {
            // The reservation lasts until the tickets are renewed.
            let workers = chosen.iter().map(|(worker, _)| worker.clone()).collect();
            if self.request_advice(key, workers) {
                self.reserve(&key, &chosen);
            }
            return;
        }
        let workers = self.workers_to_name(&key, claims);
        if workers.is_empty() {
            if let Some(plan) = self.plans.get_mut(&key) {
                plan.advice.next_request_at = self.now + NO_WORKER_PAUSE;
                plan.wait = Wait::Worker;
            }
            self.renew_tickets_early(key, duration);
        } else {
            self.request_advice(key, workers);
        }
        self.claim(&key, CandidateSet::Approved, claims);
    }

    /// Renews the tickets of a step that waits for capacity, if a request takes long.
    ///
    /// With valid tickets the step starts as soon as there is capacity; otherwise the capacity
    /// would stay idle for the duration of a request. Only relays that no other step needs are
    /// used.
    fn renew_tickets_early(&mut self, key: StepKey, duration: Millis) {
        let Some(plan) = self.plans.get(&key) else {
            return;
        };
        let approved = &plan.advice.approved;
        let renewal_time = duration + Millis(approved.len() as u64);
        let are_tickets_valid = approved
            .values()
            .any(|approval| approval.usable_until > self.now + renewal_time);
        if duration < LONG_REQUEST
            || are_tickets_valid
            || approved.is_empty()
            || !self.relays.has_free_relay(duration, self.now)
        {
            return;
        }
        let workers = approved.keys().cloned().collect();
        self.request_advice(key, workers);
    }

    pub(crate) fn reserve(&mut self, key: &StepKey, chosen: &[(WorkerName, u32)]) {
        self.release_reservation(key);
        let Some(plan) = self.plans.get_mut(key) else {
            return;
        };
        let need = plan.step().reserved();
        for (worker, count) in chosen {
            plan.reserved.insert(worker.clone(), *count);
            if let Some(state) = self.workers.get_mut(worker) {
                state.reserved.insert(*key, need.times(u64::from(*count)));
            }
        }
    }

    /// Returns the workers to name in a request, those with the most available capacity first: as
    /// many as are expected to yield enough approved capacity for the waiting tasks.
    ///
    /// Capacity that other steps have asked for already comes last, since two steps that ask for the
    /// same capacity at the same time need a second request. If there is too little capacity, workers
    /// where it may be freed are named too.
    fn workers_to_name(&self, key: &StepKey, claims: &Claims) -> Vec<WorkerName> {
        let Some(plan) = self.plans.get(key) else {
            return Vec::new();
        };
        let Some(terms) = plan.queue.advice else {
            return Vec::new();
        };
        let need = plan.step().reserved();
        let is_early = request_duration(&terms, 0) >= EARLY_REQUEST;
        let affordable = affordable_workers(&terms).clamp(MIN_NAMED_WORKERS, MAX_NAMED_WORKERS);
        let least = if is_early {
            MIN_NAMED_WORKERS
        } else {
            affordable
        };
        let wanted = u64::from(self.startable_tasks(plan)) * 1_000 * NAMED_WORKERS_PERCENT
            / 100
            / self.approval_rate(&plan.queue.name);
        let mut workers = self.nameable_workers(plan, claims, wanted, least);
        workers.name_asked_by_others(&need, wanted, MAX_NAMED_WORKERS);
        if workers.expected < wanted {
            let rest = std::mem::take(&mut workers.without_capacity);
            let rest = if is_early {
                rest.into_iter().map(|candidate| candidate.worker).collect()
            } else {
                self.preemptible_workers(rest, &need, plan.queue.priority)
            };
            workers.name_up_to(affordable, rest);
        }
        workers.named
    }

    /// Looks for workers that are not judged yet, until `wanted` tasks fit on at least `least`.
    fn nameable_workers(
        &self,
        plan: &StepPlan,
        claims: &Claims,
        wanted: u64,
        least: usize,
    ) -> NameableWorkers {
        let need = plan.step().reserved();
        let mut workers = NameableWorkers::default();
        for state in self.workers.most_available(&plan.queue.pool) {
            let named = workers.named.len();
            if named >= MAX_NAMED_WORKERS || (workers.expected >= wanted && named >= least) {
                break;
            }
            let available = state.available();
            let has_cpu = need.cpu_milli <= available.cpu_milli;
            if !has_cpu && workers.unfit_count() >= MAX_UNFIT_WORKERS {
                break;
            }
            if plan.advice.is_judged(&state.incarnation().worker) {
                continue;
            }
            if let Some(candidate) = self.candidate(plan, state, claims) {
                workers.add(candidate, available, &need);
            }
        }
        workers
    }

    /// Returns the workers on which a task fits after preemption.
    fn preemptible_workers(
        &self,
        candidates: Vec<Candidate>,
        need: &Resources,
        priority: u32,
    ) -> Vec<WorkerName> {
        if priority >= self.lowest_priority {
            return Vec::new();
        }
        let candidates = candidates.into_iter();
        let fitting = candidates.filter_map(|c| self.preemption_candidate(c, need, priority));
        fitting.map(|candidate| candidate.worker).collect()
    }

    /// Share of the workers named for a queue that are approved, in thousandths.
    fn approval_rate(&self, queue: &Name) -> u64 {
        let rate = self.approved_permille.get(queue).copied();
        rate.unwrap_or(INITIAL_APPROVED_PERMILLE)
            .max(MIN_APPROVED_PERMILLE)
    }

    /// Sends a request through an idle relay. Returns false if there is none.
    fn request_advice(&mut self, key: StepKey, mut workers: Vec<WorkerName>) -> bool {
        workers.truncate(MAX_NAMED_WORKERS);
        let request_id = self.last_request_id + 1;
        let Some(plan) = self.plans.get_mut(&key) else {
            return false;
        };
        let Some(terms) = plan.queue.advice else {
            return false;
        };
        let duration = request_duration(&terms, workers.len() as u64);
        let Some(host) = self.relays.acquire(duration, request_id, self.now) else {
            return false;
        };
        self.last_request_id = request_id;
        plan.advice.open_request = Some(request_id);
        plan.wait = Wait::Advice;
        let asked = plan.asked_on_each(workers.len());
        for worker in &workers {
            if let Some(state) = self.workers.get_mut(worker) {
                state.asked.insert(key, asked);
            }
        }
        let timeout = duration + self.cfg.advice_slack;
        self.pending_requests.insert(
            request_id,
            PendingRequest {
                step: key,
                workers: workers.clone(),
                expires_at: self.now + timeout + self.cfg.advice_slack,
            },
        );
        let detail = format!("step {key}, {} workers, through {host}", workers.len());
        self.emit(DecisionEvent::new("advice_asked", detail).job(key.job));
        self.outputs.push(Output::RequestAdvice(AdviceRequest {
            request_id,
            host,
            step: key,
            workers,
            timeout,
        }));
        true
    }

    pub(crate) fn finish_advice(&mut self, request_id: u64, answer: Option<AdviceAnswer>) {
        self.relays.release(request_id, answer.is_some(), self.now);
        let Some(request) = self.pending_requests.remove(&request_id) else {
            return;
        };
        self.needs_placement = true;
        for worker in &request.workers {
            if let Some(state) = self.workers.get_mut(worker) {
                state.asked.remove(&request.step);
            }
        }
        let Some(plan) = self.plans.get_mut(&request.step) else {
            return;
        };
        plan.advice.open_request = None;
        let key = request.step;
        let Some(answer) = answer else {
            plan.advice.next_request_at = self.now + FAILED_REQUEST_PAUSE;
            self.release_reservation(&key);
            self.emit(
                DecisionEvent::new("advice_missing", format!("step {key}"))
                    .job(key.job)
                    .warning(),
            );
            return;
        };
        let terms_valid = plan.queue.advice.map_or(Millis(0), |terms| terms.valid);
        let valid = answer
            .valid
            .map_or(terms_valid, |valid| valid.min(terms_valid));
        let usable_until = (self.now + valid)
            .0
            .saturating_sub(self.cfg.ticket_margin.0);
        let is_renewal = request
            .workers
            .iter()
            .all(|worker| plan.advice.approved.contains_key(worker));
        let mut approved = 0;
        for worker in &request.workers {
            let ticket = answer.approved.iter().find(|(name, _)| name == worker);
            let state = self.workers.get(worker);
            if let (Some((_, ticket)), Some(state)) = (ticket, state) {
                approved += 1;
                plan.advice.refused.remove(worker);
                let approval = Approval {
                    incarnation: state.incarnation().clone(),
                    ticket: ticket.clone(),
                    usable_until: Millis(usable_until),
                };
                plan.advice.approved.insert(worker.clone(), approval);
            } else {
                plan.advice.approved.remove(worker);
                plan.advice.refused.insert(worker.clone());
            }
        }
        let queue = plan.queue.name.clone();
        if !is_renewal {
            self.update_approval_rate(queue, approved, request.workers.len() as u64);
        }
        let detail = format!(
            "step {key}, {approved} of {} approved",
            request.workers.len()
        );
        self.emit(DecisionEvent::new("advice_answered", detail).job(key.job));
        // Capacity reserved for the step goes to it before other steps are considered.
        self.place_step(key, &mut Claims::new());
        let now = self.now;
        let is_reservation_needed =
            |plan: &StepPlan| plan.advice.open_request.is_some() || now < plan.capacity_by;
        if !self.plans.get(&key).is_some_and(is_reservation_needed) {
            self.release_reservation(&key);
        }
    }

    fn update_approval_rate(&mut self, queue: Name, approved: u64, named: u64) {
        let new_rate = approved * 1_000 / named.max(1);
        let mean_rate = self.approved_permille.entry(queue).or_insert(new_rate);
        *mean_rate = (*mean_rate * (100 - NEW_ANSWER_WEIGHT_PERCENT)
            + new_rate * NEW_ANSWER_WEIGHT_PERCENT)
            / 100;
    }

    /// Treats requests as unanswered whose relay has not reported in time.
    pub(crate) fn expire_pending_requests(&mut self) {
        let now = self.now;
        let late = self
            .pending_requests
            .iter()
            .filter(|(_, request)| request.expires_at <= now);
        let late = late.map(|(request_id, _)| *request_id).collect::<Vec<_>>();
        for request_id in late {
            self.finish_advice(request_id, None);
        }
    }
}

/// Number of workers that a request may name for the time that they take.
fn affordable_workers(terms: &AdviceTerms) -> usize {
    let percent = if request_duration(terms, 0) >= EARLY_REQUEST {
        PER_WORKER_TIME_PERCENT
    } else {
        SHORT_PER_WORKER_TIME_PERCENT
    };
    let time = terms.decide_us * percent / 100;
    (time / terms.per_worker_us.max(1)) as usize
}

/// Expected duration of a request.
fn request_duration(terms: &AdviceTerms, workers: u64) -> Millis {
    Millis((terms.decide_us + terms.per_worker_us * workers) / 1_000)
}
