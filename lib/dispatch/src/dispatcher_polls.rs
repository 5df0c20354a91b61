//! Polls of workers: they renew leases, report ended runs, and show whether unanswered orders were
//! carried out.

use std::collections::BTreeSet;

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{RunEvent, StepSpec, WorkerIncarnation};

use crate::{
    DecisionEvent, Dispatcher, FinishedRun, Output, PollAnswer, PollCall, PollOutcome, RunStatus,
    StopOrder,
    backoff::backoff,
    earlier_lease::longest_on_slow_clock,
    listed_end::ListedEnd,
    load_counters::StopCause,
    loss_cause::LossCause,
    run_view::{StartState, StopState},
    unexpected_runs::UnexpectedRuns,
    worker_speed::WorkerSpeed,
    worker_state::WorkerState,
};

/// Margin added to the time within which a stopped run ends.
const STOP_TIME_MARGIN: Millis = Millis(300);

/// Time between two polls of a worker with ends that are not acknowledged yet, which it lists again in each
/// answer, or with a run that a late order may have started. Such answers come at once.
const REPEATED_POLL_PAUSE: Millis = Millis(100);

/// Number of polls in a row that may fail to leave their host before the worker counts as silent.
/// Its lease is not renewed meanwhile.
const MAX_UNSENT_POLLS: u32 = 3;

impl Dispatcher {
    pub(crate) fn heartbeat_received(
        &mut self,
        incarnation: &WorkerIncarnation,
        leaves_in: Option<Millis>,
    ) {
        let now = self.now;
        if let Some(state) = self.workers.get_incarnation_mut(incarnation) {
            state.last_contact = now;
            if let Some(leaves_in) = leaves_in {
                state.leaves_at = Some(now + leaves_in);
            }
        }
    }

    pub(crate) fn poll_finished(&mut self, incarnation: &WorkerIncarnation, outcome: PollOutcome) {
        let (now, cfg) = (self.now, self.cfg);
        let sent_at = self.open_polls.remove(incarnation).unwrap_or(now);
        let Some(state) = self.workers.get_incarnation_mut(incarnation) else {
            return;
        };
        let answer = match outcome {
            PollOutcome::Answered(answer) => answer,
            PollOutcome::OtherIncarnation => {
                self.another_worker_answers(incarnation);
                return;
            }
            PollOutcome::Fenced => {
                state.suspend_polls(now);
                let event = DecisionEvent::new("worker_refuses_term", String::new());
                self.emit(event.worker(&incarnation.worker).warning());
                return;
            }
            PollOutcome::NotSent if state.unsent_polls + 1 < MAX_UNSENT_POLLS => {
                state.unsent_polls += 1;
                let worker = &incarnation.worker;
                state.next_poll_at = now + backoff(cfg.unsent_retry, state.unsent_polls, worker);
                return;
            }
            PollOutcome::Unanswered | PollOutcome::NotSent => {
                state.poll_failures += 1;
                state.next_poll_at = now + cfg.poll_retry;
                if state.poll_failures == 1 {
                    let detail = format!("poll sent {} ms ago", now.since(sent_at).0);
                    let event = DecisionEvent::new("worker_silent", detail);
                    self.emit(event.worker(&incarnation.worker).warning());
                    self.raise_fence(&incarnation.worker);
                }
                return;
            }
        };
        if let Some(started_ms) = answer.started_ms
            && !incarnation.may_have_started_at(Some(started_ms))
        {
            self.settle_late_starts(incarnation, &answer, sent_at);
            self.record_succession(incarnation, answer.started_ms);
            self.worker_restarted(incarnation, started_ms);
            return;
        }
        state.record_clock(answer.clock_ms, now);
        state.last_contact = now;
        state
            .address_claim
            .take_if(|claim| sent_at >= claim.received_at);
        let is_first_answer = state.confirmed_at.replace(sent_at).is_none();
        state.next_poll_at = now;
        let has_overdue_start = self
            .unanswered_starts
            .has_overdue(&state.record.address, sent_at);
        if state.held_ends.update(now) || has_overdue_start {
            state.next_poll_at += REPEATED_POLL_PAUSE;
        }
        let was_unresponsive = state.poll_failures > 0 || !state.is_synced;
        state.poll_failures = 0;
        state.unsent_polls = 0;
        state.is_synced = true;
        state.is_lease_expired = false;
        if was_unresponsive {
            self.needs_placement = true;
            let detail = format!(
                "{} runs, {} ends listed",
                answer.running.len(),
                answer.finished.len()
            );
            self.emit(DecisionEvent::new("worker_answers", detail).worker(&incarnation.worker));
        }
        if is_first_answer {
            self.hold_inherited_ends(incarnation, &answer.finished);
        }
        self.record_ends(incarnation, &answer.finished);
        self.reconcile_runs(incarnation, &answer, sent_at);
        self.settle_late_starts(incarnation, &answer, sent_at);
        self.observe_interference(&incarnation.worker, &answer);
        self.throttle_best_effort(&incarnation.worker);
        if !was_unresponsive {
            self.record_removed_successions(incarnation, answer.started_ms);
        }
    }

    /// Handles the answer of a later incarnation under the same name, which started at `started_ms`. It is
    /// called once more at once, with a token that shuts out the calls for the incarnations before. Then
    /// its heartbeat is awaited: its capacity is not known before, and nothing can be placed there.
    fn worker_restarted(&mut self, incarnation: &WorkerIncarnation, started_ms: u64) {
        let (now, cfg) = (self.now, self.cfg);
        let Some(state) = self.workers.get_incarnation_mut(incarnation) else {
            return;
        };
        state.suspend_polls(now);
        if state.restarted_ms != Some(started_ms) {
            state.restarted_ms = Some(started_ms);
            state.shut_out_at = None;
            // The call that was answered may have granted a lease.
            state.last_lease_call_at = now;
            state.next_poll_at = now;
            self.raise_fence(&incarnation.worker);
            let event = DecisionEvent::new("worker_restarted", String::new());
            self.emit(event.worker(&incarnation.worker).warning());
            return;
        }
        let shut_out_at = *state.shut_out_at.get_or_insert(now);
        // It may hold a lease from an earlier call until then.
        let gone_at = shut_out_at + longest_on_slow_clock(cfg.max_lease).max(cfg.remove_after);
        if now >= gone_at {
            self.remove_incarnation(incarnation, "another incarnation answers");
        } else {
            state.next_poll_at = state.next_poll_at.min(gone_at);
        }
    }

    /// Proposes records for the listed ends that were not proposed yet.
    fn record_ends(&mut self, incarnation: &WorkerIncarnation, finished: &[FinishedRun]) {
        for finished_run in finished {
            let Some(state) = self.workers.get_mut(&incarnation.worker) else {
                return;
            };
            if finished_run.number <= state.last_proposed_end {
                continue;
            }
            state.last_proposed_end = finished_run.number;
            let listed = state.end_listed(finished_run, self.now);
            self.needs_placement |= listed.is_some();
            self.records.push(RunEvent::Ended {
                incarnation: incarnation.clone(),
                number: finished_run.number,
                task: finished_run.task,
                run: finished_run.run,
                end: finished_run.end,
                checkpoint: finished_run.checkpoint.clone(),
            });
            self.report_end(incarnation, finished_run, listed);
            if listed.is_some_and(|listed| listed.is_first) {
                self.record_health(&finished_run.task, &incarnation.worker, finished_run.end);
            }
        }
    }

    /// Writes a listed end to the log. The end of a run that is not expected on the worker was listed
    /// before, or its run was declared lost.
    fn report_end(
        &mut self,
        incarnation: &WorkerIncarnation,
        finished_run: &FinishedRun,
        listed: Option<ListedEnd>,
    ) {
        let is_expected = listed.is_some_and(|listed| listed.is_expected);
        let name = if is_expected {
            "run_ended"
        } else {
            "unexpected_end"
        };
        let ran = listed.map_or(Millis(0), |listed| listed.ran);
        let used = listed.and_then(|listed| listed.usage_or_tail_ms);
        let detail = format!(
            "{}, end number {}, after {} ms, last usage {used:?}",
            finished_run.end, finished_run.number, ran.0
        );
        let event = DecisionEvent::new(name, detail).task(finished_run.task, finished_run.run);
        self.emit(event.worker(&incarnation.worker));
    }

    /// Resources of the listed runs whose capacity the leader counts as free: runs that it does not
    /// expect on the worker, and runs that it has declared ended. They occupy the worker until their
    /// ends are listed. A run of an unknown job may occupy all of it.
    fn unexpected_runs(&self, state: &WorkerState, running: &[RunStatus]) -> UnexpectedRuns {
        let is_expected = |status: &&RunStatus| {
            let view = state.runs.get(&status.task);
            view.is_some_and(|view| view.run == status.run && !view.is_ended)
        };
        let mut unexpected = UnexpectedRuns::default();
        for status in running.iter().filter(|status| !is_expected(status)) {
            let known = self.workflow_state.with_job(status.task.step.job, |job| {
                let step = job.spec.steps.get(status.task.step.step as usize);
                (step.map(StepSpec::reserved), job.team.clone())
            });
            let (need, team) = known.unwrap_or_default();
            unexpected.add(need.unwrap_or(state.record.capacity), team);
        }
        unexpected
    }

    /// Compares the runs that a worker lists with those that the leader expects there: confirms
    /// the listed ones, stops unknown ones, and declares those lost that have certainly ended.
    fn reconcile_runs(
        &mut self,
        incarnation: &WorkerIncarnation,
        answer: &PollAnswer,
        sent_at: Millis,
    ) {
        let now = self.now;
        let Some(state) = self.workers.get(&incarnation.worker) else {
            return;
        };
        let unexpected = self.unexpected_runs(state, &answer.running);
        let Some(state) = self.workers.get_mut(&incarnation.worker) else {
            return;
        };
        state.set_unexpected(unexpected);
        let mut listed = BTreeSet::new();
        let mut unknown_runs = Vec::new();
        for status in &answer.running {
            listed.insert(status.task);
            match state.runs.get_mut(&status.task) {
                Some(view) if view.run == status.run => {
                    if !matches!(view.start, StartState::Present { .. }) {
                        view.start = StartState::Present { since: now };
                    }
                    if status.checkpoint.is_some() {
                        view.checkpoint.clone_from(&status.checkpoint);
                    }
                    view.progress.record(status.percent, now);
                    view.usage_or_tail_ms = status.usage_or_tail_ms;
                    view.is_listed = true;
                }
                // The next poll lists the run again if no order may be sent now.
                _ if !self.is_sole_leader => {}
                _ => unknown_runs.push((status.task, status.run)),
            }
        }
        let mut ended = Vec::new();
        let mut unlisted = Vec::new();
        for (task, view) in &mut state.runs {
            if listed.contains(task) || view.is_ended {
                continue;
            }
            if let StopState::Accepted { at } = view.stop
                && sent_at >= at + self.cfg.stop_time + STOP_TIME_MARGIN
                && !answer.is_truncated
            {
                ended.push((*task, LossCause::Stopped));
            } else if let StartState::Present { since } = view.start
                && sent_at > since
                && !answer.is_truncated
                && view.stop == StopState::NotRequested
            {
                ended.push((*task, LossCause::NotListed));
            } else if view.transferred_from.is_some() && !view.is_listed && !answer.is_truncated {
                ended.push((*task, LossCause::Restarted));
            } else if view.start == StartState::Inherited {
                if view.stop == StopState::NotRequested {
                    unlisted.push(*task);
                }
                view.request_stop(StopCause::NotListed, &mut self.load_counters, now);
            }
        }
        let (address, fence) = (state.record.address.clone(), state.fence);
        for (task, run) in unknown_runs {
            self.emit(
                DecisionEvent::new("unknown_run_stopped", String::new())
                    .task(task, run)
                    .worker(&incarnation.worker)
                    .warning(),
            );
            self.outputs.push(Output::Stop(StopOrder {
                incarnation: incarnation.clone(),
                address: address.clone(),
                task,
                run,
                fence,
                timeout: self.cfg.order_timeout,
            }));
        }
        for task in unlisted {
            self.start_unanswered(task, &incarnation.worker);
        }
        for (task, cause) in ended {
            self.lose_run(task, &incarnation.worker, cause);
        }
    }

    /// Declares the runs lost on workers whose lease has certainly expired, and removes workers
    /// that stay silent after that.
    fn expire_leases(&mut self) {
        let (now, cfg) = (self.now, self.cfg);
        let mut expired = Vec::new();
        let mut lost = Vec::new();
        let mut gone = Vec::new();
        for (worker, state) in self.workers.iter_mut() {
            if state.poll_failures == 0 || !state.has_lease_certainly_expired(now) {
                continue;
            }
            if !state.is_lease_expired {
                state.is_lease_expired = true;
                state.is_synced = false;
                let detail = format!("{}, {}", state.incarnation(), state.lease_detail(now));
                expired.push((worker.clone(), detail));
            } else if now.since(state.last_contact) >= cfg.remove_after && state.runs.is_empty() {
                state.last_contact = now;
                gone.push(state.record.incarnation.clone());
            }
            let is_unnoticed_over = now > state.unnoticed_lease_ends_by(&cfg);
            let runs = state.runs.iter();
            let ended = runs.filter(|(_, view)| {
                let is_over = is_unnoticed_over || !view.may_be_on_unnoticed_incarnation();
                is_over && view.start != StartState::Committing
            });
            lost.extend(ended.map(|(task, _)| (*task, worker.clone())));
        }
        for (worker, detail) in expired {
            let event = DecisionEvent::new("worker_lease_over", detail);
            self.emit(event.worker(&worker).warning());
        }
        for (task, worker) in lost {
            self.inherit_possible_start(task, &worker);
            self.lose_run(task, &worker, LossCause::LeaseOver);
        }
        for incarnation in gone {
            self.remove_incarnation(&incarnation, "silent after its lease expired");
        }
    }

    pub(crate) fn tick(&mut self) {
        if self.now < self.next_expiry_at {
            return;
        }
        self.workers.mark_all_changed();
        self.next_expiry_at = self.now + self.cfg.expiry_interval;
        self.needs_placement = true;
        self.update_quotas();
        self.expire_leases();
        self.expire_unanswered_starts();
        let speeds = self.workers.iter().map(|(_, state)| state.speed.0);
        self.mean_speed = WorkerSpeed(speeds.sum::<u64>() / (self.workers.len() as u64).max(1));
        self.relays.forget(self.now, self.cfg.relay_silence_limit);
        self.expire_pending_requests();
        self.refresh_due_jobs();
        self.move_overdue_runs();
        self.evaluate_interference();
        self.count_load();
        // A quarantined worker is usable again from the time of its probe on: the next run that ends
        // there is the probe.
        self.health.take_due_probes(self.now, usize::MAX);
        self.health.forget_expired_jobs(self.now);
    }

    /// Sends the polls that are due.
    pub(crate) fn send_due_polls(&mut self, changed: &BTreeSet<WorkerName>) {
        let (now, cfg) = (self.now, self.cfg);
        let (outputs, open_polls) = (&mut self.outputs, &mut self.open_polls);
        let unanswered_starts = &self.unanswered_starts;
        self.workers.for_each_mut(changed, |_, state| {
            let is_open = open_polls.contains_key(state.incarnation());
            let waits_for_commit = state.last_proposed_end > state.record.acknowledged;
            if is_open || now < state.next_poll_at || waits_for_commit {
                return;
            }
            open_polls.insert(state.incarnation().clone(), now);
            // A poll that counts as not sent may have been carried out all the same.
            let is_responsive =
                state.is_synced && state.poll_failures == 0 && state.unsent_polls == 0;
            // The lease of a worker that does not answer is not extended, so that its expiry is not
            // put off.
            let lease_until_ms = if is_responsive {
                state.grant_lease(now, cfg.lease)
            } else {
                None
            };
            outputs.push(Output::Poll(PollCall {
                incarnation: state.record.incarnation.clone(),
                address: state.record.address.clone(),
                lease_until_ms,
                fence: state.fence,
                // A worker that does not answer may have restarted. The acknowledgement would make its
                // next incarnation forget an end with that number.
                acknowledged: if is_responsive {
                    state.held_ends.acknowledged(state.record.acknowledged, now)
                } else {
                    0
                },
                wait: if is_responsive {
                    unanswered_starts.poll_wait(&state.record.address, now, cfg.poll_wait)
                } else {
                    Millis(0)
                },
            }));
        });
    }
}
