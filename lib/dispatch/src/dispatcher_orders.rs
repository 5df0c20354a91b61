//! The life of a run from the decision to its certain end.

use std::{collections::BTreeSet, sync::Arc};

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{Command, TaskKey, WorkerIncarnation};

use crate::{
    Dispatcher, Note, OrderOutcome, Output, Refusal, StartOrder, StopOrder,
    run_view::{StartState, StopState},
};

/// Time without placements on a worker that refused as not healthy.
const UNHEALTHY_PAUSE: Millis = Millis(1_000);

/// Time without placements of a step after a refusal, so that a permanent cause does not fill the
/// log.
const REFUSED_PAUSE: Millis = Millis(100);

impl Dispatcher {
    /// The decision is in the log: the order may go out, unless the job has ended meanwhile.
    pub(crate) fn placed_applied(&mut self, task: &TaskKey, run: u32, worker: &WorkerName) {
        let flow = Arc::clone(&self.flow);
        let is_current = flow.with_job(task.step.job, |job| {
            job.task(task).is_some_and(|t| t.is_placed_as(run))
        });
        let seat = self.seats.get_mut(worker);
        let Some(view) = seat.and_then(|seat| seat.runs.get_mut(task)) else {
            // The worker is gone; the record that says so follows in the log.
            return;
        };
        if view.run != run || view.start != StartState::Committing {
            return;
        }
        if is_current != Some(true) {
            self.drop_view(task, worker);
        } else if view.stop == StopState::NotWanted {
            view.start = StartState::Unanswered { again_at: self.now };
        } else {
            // Nothing was sent.
            self.lose_run(*task, worker);
        }
    }

    /// Ends a run that certainly does not go on, and frees its room.
    pub(crate) fn lose_run(&mut self, task: TaskKey, worker: &WorkerName) {
        let seat = self.seats.get_mut(worker);
        let Some(seat) = seat else { return };
        let Some(view) = seat.runs.get(&task).filter(|view| !view.is_ended) else {
            return;
        };
        let (run, saved) = (view.run, view.saved.clone());
        seat.set_ended(&task, true);
        self.note(
            Note::new("run_lost", String::new())
                .task(task, run)
                .worker(worker),
        );
        self.record_lost(task, run, saved);
        self.is_dirty = true;
    }

    pub(crate) fn start_ended(
        &mut self,
        life: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        outcome: OrderOutcome,
    ) {
        let now = self.now;
        let Some(seat) = self.seats.of_life(life) else {
            return;
        };
        if outcome != OrderOutcome::Unanswered {
            seat.heard = now;
        }
        let Some(view) = seat.runs.get_mut(&task).filter(|view| view.run == run) else {
            return;
        };
        let is_old = !matches!(view.start, StartState::Sent);
        let had_unanswered = view.had_unanswered;
        match outcome {
            OrderOutcome::Accepted => {
                if !matches!(view.start, StartState::Present { .. }) {
                    view.start = StartState::Present { since: now };
                }
                return;
            }
            OrderOutcome::Unanswered => {
                view.had_unanswered = true;
                if !is_old {
                    view.start = StartState::Unanswered { again_at: now };
                }
                if view.tries >= self.cfg.start_tries && !is_old {
                    view.want_stop(now);
                    view.start = StartState::Inherited;
                    self.break_gang(task.step, run);
                }
            }
            OrderOutcome::Refused(_) if is_old || view.is_ended => return,
            OrderOutcome::Refused(refusal) => {
                self.start_refused(life, task, run, refusal, had_unanswered);
            }
        }
        self.note(
            Note::new("start_not_accepted", outcome.to_string())
                .task(task, run)
                .worker(&life.worker)
                .warning(),
        );
    }

    fn start_refused(
        &mut self,
        life: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        refusal: Refusal,
        had_unanswered: bool,
    ) {
        let now = self.now;
        if refusal == Refusal::OtherLife {
            self.remove_life(life, "another life answers");
            return;
        }
        if let Some(plan) = self.plans.get_mut(&task.step) {
            plan.not_before = now + REFUSED_PAUSE;
            if refusal == Refusal::Ticket
                && let Some(approval) = plan.advice.approved.get_mut(&life.worker)
            {
                approval.fresh_until = Millis(0);
            }
        }
        if let Some(seat) = self.seats.get_mut(&life.worker) {
            match refusal {
                Refusal::Unhealthy | Refusal::Room => {
                    seat.avoid_until = seat.avoid_until.max(now + UNHEALTHY_PAUSE);
                }
                Refusal::Fence => seat.leave_alone(now),
                _ => {}
            }
            if let Some(view) = seat.runs.get_mut(&task)
                && had_unanswered
            {
                // An earlier order for this run may still arrive; a stop keeps it from starting.
                view.want_stop(now);
                view.start = StartState::Inherited;
            }
        }
        if !had_unanswered && refusal != Refusal::Fence {
            self.lose_run(task, &life.worker);
        }
        self.break_gang(task.step, run);
    }

    pub(crate) fn stop_ended(
        &mut self,
        life: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        outcome: OrderOutcome,
    ) {
        let now = self.now;
        let retry = now + self.cfg.order_retry;
        let Some(seat) = self.seats.of_life(life) else {
            return;
        };
        if outcome == OrderOutcome::Refused(Refusal::OtherLife) {
            self.remove_life(life, "another life answers");
            return;
        }
        if outcome == OrderOutcome::Refused(Refusal::Fence) {
            seat.leave_alone(now);
        }
        if let Some(view) = seat.runs.get_mut(&task).filter(|view| view.run == run) {
            view.stop = if outcome == OrderOutcome::Accepted {
                StopState::Taken { at: now }
            } else {
                StopState::Wanted { at: retry }
            };
        }
        if outcome != OrderOutcome::Accepted {
            self.note(
                Note::new("stop_not_accepted", outcome.to_string())
                    .task(task, run)
                    .worker(&life.worker)
                    .warning(),
            );
        }
    }

    /// Records that a life of a worker has ended.
    pub(crate) fn remove_life(&mut self, life: &WorkerIncarnation, cause: &str) {
        self.note(
            Note::new("worker_gone", cause.to_owned())
                .worker(&life.worker)
                .warning(),
        );
        let command = Command::RemoveWorker(life.clone());
        self.out.push(Output::Propose(command));
        if let Some(seat) = self.seats.get_mut(&life.worker) {
            seat.is_lapsed = true;
            seat.leave_alone(self.now);
        }
    }

    /// Sends the orders that are due.
    pub(crate) fn drive_orders(&mut self, touched: &BTreeSet<WorkerName>) {
        let Some(term) = self.term else { return };
        let (now, cfg) = (self.now, self.cfg);
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        let mut unsent = Vec::new();
        self.seats.each_mut(touched, |worker, seat| {
            if seat.is_lapsed {
                return;
            }
            let mut due = Vec::new();
            for (task, view) in seat.runs.iter_mut().filter(|(_, view)| !view.is_ended) {
                if let StopState::Wanted { at } = view.stop {
                    let is_unsent =
                        view.tries == 0 && matches!(view.start, StartState::Unanswered { .. });
                    if view.start == StartState::Committing || now < at {
                        continue;
                    }
                    if is_unsent {
                        unsent.push((*task, worker.clone()));
                    } else {
                        view.stop = StopState::Sent;
                        stops.push(StopOrder {
                            life: seat.record.incarnation.clone(),
                            address: seat.record.address.clone(),
                            task: *task,
                            run: view.run,
                            fence: term,
                            limit: cfg.order_limit,
                        });
                    }
                } else if let StartState::Unanswered { again_at } = view.start
                    && view.stop == StopState::NotWanted
                    && again_at <= now
                {
                    view.start = StartState::Sent;
                    view.tries += 1;
                    let limit = if view.tries == 1 {
                        cfg.first_limit
                    } else {
                        cfg.order_limit
                    };
                    due.push((*task, view.run, view.ticket.clone(), limit));
                }
            }
            for (task, run, ticket, limit) in due {
                if let Some(until) = seat.grant(now, cfg.lease) {
                    starts.push((task, run, ticket, limit, seat.record.clone(), until));
                }
            }
        });
        for (task, worker) in unsent {
            self.lose_run(task, &worker);
        }
        self.out.extend(stops.into_iter().map(Output::Stop));
        for (task, run, ticket, limit, record, until) in starts {
            let given = self.flow.with_job(task.step.job, |job| {
                let is_gang = job.spec.steps.get(task.step.step as usize)?.gang;
                let occurrence = job.occurrences.get(&task.step.occurrence)?;
                let step = occurrence.steps.get(task.step.step as usize)?;
                let checkpoint = step.checkpoint(task.index, is_gang);
                Some((job.spec.payload.clone(), checkpoint))
            });
            let Some((payload, checkpoint)) = given.flatten() else {
                continue;
            };
            self.out.push(Output::Start(StartOrder {
                life: record.incarnation,
                address: record.address,
                task,
                run,
                payload,
                lease_until_ms: until,
                fence: term,
                checkpoint,
                ticket,
                limit,
            }));
        }
    }
}
