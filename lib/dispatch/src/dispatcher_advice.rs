//! Advice on the workers that may run a step: whom to ask about, when, and through which host.

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{AdviceTerms, StepKey};

use crate::{
    AdviceAnswer, AdviceRequest, DecisionEvent, Dispatcher, Output,
    advice::Approval,
    advice_relays::HEAVY_CALL,
    dispatcher::Asking,
    dispatcher_place::{Among, Claims},
    step_plan::StepPlan,
};

/// Most workers that one call names.
const MOST_NAMED: usize = 100;

/// Fewest workers that a call names when more are known.
const LEAST_NAMED: usize = 4;

/// Workers named in excess of those that the known share of approvals calls for, in percent.
const NAMED_EXCESS_PERCENT: u64 = 150;

/// Time for the workers named in a long call, as a share of its base, in percent.
const LONG_CALL_PERCENT: u64 = 100;

/// Share of approvals that is assumed before the first answer, in thousandths.
const ASSUMED_PERMILLE: u64 = 500;

/// Weight of a new answer in the known share of approvals, in percent.
const SHARE_WEIGHT_PERCENT: u64 = 20;

/// Smallest share of approvals that is counted on, in thousandths.
const LEAST_PERMILLE: u64 = 50;

/// Length of a call above which it is made before there is room.
const EARLY_CALL: Millis = Millis(60);

/// Pause after a look at all workers that found none to ask about.
const NONE_PAUSE: Millis = Millis(50);

/// Pause after a call that failed.
const FAILED_PAUSE: Millis = Millis(150);

impl Dispatcher {
    /// Places a step of which only approved workers may run the tasks.
    pub(crate) fn place_advised(&mut self, key: StepKey, claims: &mut Claims) {
        if let Some(chosen) = self.choose(&key, Among::Fresh, claims) {
            self.release(&key);
            self.start_on(key, &chosen);
            return;
        }
        if self.preempt(key, Among::Fresh, claims) {
            return;
        }
        let Some(plan) = self.plans.get(&key) else {
            return;
        };
        if plan.advice.asking.is_some() {
            self.claim(&key, Among::Approved, claims);
            return;
        }
        // Room that was made for the step and came too late for its tickets.
        self.release(&key);
        let Some(plan) = self.plans.get(&key) else {
            return;
        };
        let length = plan
            .queue
            .advice
            .map_or(Millis(0), |terms| call_length(&terms, 0));
        if self.now < plan.advice.ask_at || !self.lanes.has_idle(length, self.now) {
            self.claim(&key, Among::Approved, claims);
            return;
        }
        if let Some(chosen) = self.choose(&key, Among::Approved, claims) {
            // The room is kept until the tickets are renewed.
            let workers = chosen.iter().map(|(worker, _)| worker.clone()).collect();
            if self.ask(key, workers) {
                self.reserve(&key, &chosen);
            }
            return;
        }
        let workers = self.workers_to_ask(&key, claims);
        if workers.is_empty() {
            if let Some(plan) = self.plans.get_mut(&key) {
                plan.advice.ask_at = self.now + NONE_PAUSE;
            }
            self.renew_early(key, length);
        } else {
            self.ask(key, workers);
        }
        self.claim(&key, Among::Approved, claims);
    }

    /// Renews the tickets of a step that waits for room, if the call is long.
    ///
    /// When room appears, the step starts at once; otherwise the room would stay idle for the time
    /// of the call. Only hosts that nothing else needs are used.
    fn renew_early(&mut self, key: StepKey, length: Millis) {
        let Some(plan) = self.plans.get(&key) else {
            return;
        };
        let approved = &plan.advice.approved;
        let call = length + Millis(approved.len() as u64);
        let is_fresh = approved
            .values()
            .any(|approval| approval.fresh_until > self.now + call);
        if length < HEAVY_CALL
            || is_fresh
            || approved.is_empty()
            || !self.lanes.has_spare(length, self.now)
        {
            return;
        }
        let workers = approved.keys().cloned().collect();
        self.ask(key, workers);
    }

    pub(crate) fn reserve(&mut self, key: &StepKey, chosen: &[(WorkerName, u32)]) {
        self.release(key);
        let Some(plan) = self.plans.get_mut(key) else {
            return;
        };
        let need = plan.step().reserved();
        for (worker, count) in chosen {
            plan.reserved.insert(worker.clone(), *count);
            if let Some(seat) = self.seats.get_mut(worker) {
                seat.reserved.insert(*key, need.times(u64::from(*count)));
            }
        }
    }

    /// Workers not judged for the step yet, those with most room first.
    fn workers_to_ask(&self, key: &StepKey, claims: &Claims) -> Vec<WorkerName> {
        let Some(plan) = self.plans.get(key) else {
            return Vec::new();
        };
        let Some(terms) = plan.queue.advice else {
            return Vec::new();
        };
        let step = plan.step();
        let need = step.reserved();
        let waiting = plan.waiting.len() as u64;
        let is_early = call_length(&terms, 0) >= EARLY_CALL;
        let mut unknown = self.candidates(key, Among::All, claims);
        unknown.retain(|candidate| !plan.advice.is_known(&candidate.worker));
        if !is_early {
            self.retain_prospects(&mut unknown, &need, plan.queue.priority);
        }
        unknown.sort_by_key(|c| std::cmp::Reverse(c.free.cpu_milli));
        // Tasks that one worker takes when it is empty.
        let on_one = unknown.iter().filter_map(|candidate| {
            let seat = self.seats.get(&candidate.worker)?;
            let whole = crate::packing::Candidate {
                free: seat.record.capacity,
                ..candidate.clone()
            };
            Some(u64::from(whole.fits(&need)))
        });
        let on_one = on_one.max().unwrap_or(1).max(1);
        let needed = waiting.div_ceil(on_one);
        let share = self.approved_permille.get(&plan.queue.name);
        let share = share
            .copied()
            .unwrap_or(ASSUMED_PERMILLE)
            .max(LEAST_PERMILLE);
        let named = needed * 1_000 * NAMED_EXCESS_PERCENT / 100 / share;
        // A second call costs its whole base again, so a long one names as many workers as that is
        // worth.
        let worth = if is_early {
            terms.decide_us * LONG_CALL_PERCENT / 100 / terms.per_worker_us.max(1)
        } else {
            0
        };
        let named = (named.max(worth) as usize).clamp(LEAST_NAMED, MOST_NAMED);
        unknown
            .into_iter()
            .take(named)
            .map(|candidate| candidate.worker)
            .collect()
    }

    /// Sends a call through an idle host; false if there is none.
    fn ask(&mut self, key: StepKey, mut workers: Vec<WorkerName>) -> bool {
        workers.truncate(MOST_NAMED);
        let ask = self.next_ask + 1;
        let Some(plan) = self.plans.get_mut(&key) else {
            return false;
        };
        let Some(terms) = plan.queue.advice else {
            return false;
        };
        let length = call_length(&terms, workers.len() as u64);
        let Some(host) = self.lanes.take(length, ask, self.now) else {
            return false;
        };
        self.next_ask = ask;
        plan.advice.asking = Some(ask);
        let limit = length + self.cfg.advice_slack;
        self.asks.insert(
            ask,
            Asking {
                step: key,
                workers: workers.clone(),
                ends_by: self.now + limit + self.cfg.advice_slack,
            },
        );
        let detail = format!("step {key}, {} workers, through {host}", workers.len());
        self.note(DecisionEvent::new("advice_asked", detail).job(key.job));
        self.out.push(Output::RequestAdvice(AdviceRequest {
            request_id: ask,
            host,
            step: key,
            workers,
            timeout: limit,
        }));
        true
    }

    pub(crate) fn advised(&mut self, ask: u64, answer: Option<AdviceAnswer>) {
        self.lanes.release(ask, answer.is_some(), self.now);
        let Some(asking) = self.asks.remove(&ask) else {
            return;
        };
        self.is_dirty = true;
        let Some(plan) = self.plans.get_mut(&asking.step) else {
            return;
        };
        plan.advice.asking = None;
        let key = asking.step;
        let Some(answer) = answer else {
            plan.advice.ask_at = self.now + FAILED_PAUSE;
            self.release(&key);
            self.note(
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
        let fresh_until = (self.now + valid)
            .0
            .saturating_sub(self.cfg.ticket_margin.0);
        let is_renewal = asking
            .workers
            .iter()
            .all(|worker| plan.advice.approved.contains_key(worker));
        let mut approved = 0;
        for worker in &asking.workers {
            let ticket = answer.approved.iter().find(|(name, _)| name == worker);
            let seat = self.seats.get(worker);
            if let (Some((_, ticket)), Some(seat)) = (ticket, seat) {
                approved += 1;
                plan.advice.refused.remove(worker);
                let approval = Approval {
                    incarnation: seat.incarnation().clone(),
                    ticket: ticket.clone(),
                    fresh_until: Millis(fresh_until),
                };
                plan.advice.approved.insert(worker.clone(), approval);
            } else {
                plan.advice.approved.remove(worker);
                plan.advice.refused.insert(worker.clone());
            }
        }
        let queue = plan.queue.name.clone();
        if !is_renewal {
            self.learn_share(queue, approved, asking.workers.len() as u64);
        }
        let detail = format!(
            "step {key}, {approved} of {} approved",
            asking.workers.len()
        );
        self.note(DecisionEvent::new("advice_answered", detail).job(key.job));
        // The room that was kept for the step is given to it before others are considered.
        self.place_step(key, &mut Claims::new());
        let now = self.now;
        let is_room_needed = |plan: &StepPlan| plan.advice.asking.is_some() || now < plan.room_by;
        if !self.plans.get(&key).is_some_and(is_room_needed) {
            self.release(&key);
        }
    }

    fn learn_share(&mut self, queue: tarragon_names::Name, approved: u64, named: u64) {
        let seen = approved * 1_000 / named.max(1);
        let known = self.approved_permille.entry(queue).or_insert(seen);
        *known = (*known * (100 - SHARE_WEIGHT_PERCENT) + seen * SHARE_WEIGHT_PERCENT) / 100;
    }

    /// Gives up calls whose host has not reported in time.
    pub(crate) fn give_up_asks(&mut self) {
        let now = self.now;
        let late = self.asks.iter().filter(|(_, asking)| asking.ends_by <= now);
        let late = late.map(|(ask, _)| *ask).collect::<Vec<_>>();
        for ask in late {
            self.advised(ask, None);
        }
    }
}

/// Expected length of a call.
fn call_length(terms: &AdviceTerms, workers: u64) -> Millis {
    Millis((terms.decide_us + terms.per_worker_us * workers) / 1_000)
}
