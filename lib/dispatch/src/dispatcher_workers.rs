//! Workers that are announced, return, restart or are removed.

use std::sync::Arc;

use tarragon_names::WorkerName;
use tarragon_workflow::{Command, TaskKey, WorkerIncarnation, WorkerRecord};

use crate::{
    DecisionEvent, Dispatcher, FencingToken, Output,
    address_claim::AddressClaim,
    dispatcher_late_starts::LATE_CALL_LIMIT,
    earlier_lease::EarlierLease,
    run_view::{RunView, START_ORDER_LIFETIME, StartState, StopState},
    unanswered_starts::OrderTarget,
    worker_state::WorkerState,
};

impl Dispatcher {
    /// Handles an announcement of a worker that was recorded.
    pub(crate) fn worker_put(&mut self, record: &WorkerRecord) {
        let Some(record) = self.workflow_state.worker(&record.incarnation.worker) else {
            return;
        };
        match self.workers.get_mut(&record.incarnation.worker) {
            Some(state) if *state.incarnation() == record.incarnation => {
                let acknowledged = state.record.acknowledged;
                state.record = record;
                state.record.acknowledged = acknowledged;
                state.last_contact = self.now;
            }
            Some(state) => {
                let transferable = state.transferable_runs(self.now);
                let previous = state.incarnation().clone();
                for (task, _) in &transferable {
                    self.detach_run_view(task, &record.incarnation.worker);
                }
                self.remove_worker(&record.incarnation.worker);
                self.add_worker(record);
                self.transfer_runs(&previous, transferable);
            }
            None => self.add_worker(record),
        }
        self.needs_placement = true;
    }

    /// Handles the removal of the record of a worker.
    pub(crate) fn worker_removed(&mut self, incarnation: &WorkerIncarnation) {
        let is_current = self
            .workers
            .get(&incarnation.worker)
            .map(WorkerState::incarnation)
            == Some(incarnation);
        if is_current {
            self.remove_worker(&incarnation.worker);
            self.needs_placement = true;
        }
    }

    /// Handles the announcement of a worker at the address at which another one is recorded. The recorded
    /// one is called at once; if it answers, the announcement has no effect.
    pub(crate) fn address_claimed(&mut self, holder: &WorkerIncarnation, claim: WorkerRecord) {
        let now = self.now;
        let Some(state) = self.workers.get_incarnation_mut(holder) else {
            return;
        };
        state.next_poll_at = now;
        let detail = format!(
            "{} announces itself at {}",
            claim.incarnation, claim.address
        );
        state.address_claim = Some(AddressClaim {
            record: claim,
            received_at: now,
        });
        let event = DecisionEvent::new("address_claimed", detail);
        self.emit(event.worker(&holder.worker));
    }

    /// Handles the answer of another worker at the address of this one, which has ended. The worker that has
    /// announced itself there takes its place.
    pub(crate) fn another_worker_answers(&mut self, incarnation: &WorkerIncarnation) {
        let state = self.workers.get_incarnation_mut(incarnation);
        let claim = state.and_then(|state| state.address_claim.take());
        self.remove_incarnation(incarnation, "another incarnation answers");
        if let Some(claim) = claim {
            let detail = format!(
                "{} takes the place of {incarnation}",
                claim.record.incarnation
            );
            let event = DecisionEvent::new("worker_announced", detail);
            self.emit(event.worker(&claim.record.incarnation.worker));
            let command = Command::PutWorker(claim.record);
            self.outputs.push(Output::Propose(command));
        }
    }

    pub(crate) fn add_worker(&mut self, record: WorkerRecord) {
        self.emit(
            DecisionEvent::new(
                "worker_seated",
                format!(
                    "{} at {}, {}",
                    record.incarnation, record.address, record.capacity
                ),
            )
            .worker(&record.incarnation.worker),
        );
        self.health.add_worker(&record.incarnation.worker);
        let fence = self.first_fence();
        let earlier_lease = self.earlier_lease(&record.incarnation);
        let mut state = WorkerState::new(
            record,
            fence,
            self.now,
            earlier_lease,
            Arc::clone(self.team_quotas.quotas()),
        );
        let is_going_down = self.workflow_state.is_going_down(state.incarnation());
        state.going_down_since = is_going_down.then_some(self.now);
        self.workers
            .insert(state.incarnation().worker.clone(), state);
    }

    /// Returns the bound on the leases that calls of earlier leaders or for earlier incarnations may have
    /// granted.
    ///
    /// An earlier leader granted its last lease before this host became the leader. A call for an earlier
    /// incarnation names a time on the clock of that one, which the next one takes for a time far ahead
    /// and shortens to the longest lease.
    fn earlier_lease(&self, incarnation: &WorkerIncarnation) -> EarlierLease {
        let is_restarted = self.workflow_state.is_restarted(incarnation);
        EarlierLease {
            granted_until: self.leading_since,
            longest: if is_restarted {
                self.cfg.max_lease
            } else {
                self.cfg.lease
            },
        }
    }

    /// Returns the first token for a worker whose record was put. It is higher than all tokens for earlier
    /// records of the worker in this term.
    fn first_fence(&self) -> FencingToken {
        FencingToken::new(self.term.unwrap_or_default(), self.last_removed_token + 1)
    }

    /// Gives the next calls to a worker a higher token, so that the first one that gets through shuts out
    /// all that were sent before. A worker that does not answer may have restarted, and takes late calls
    /// until then.
    pub(crate) fn raise_fence(&mut self, worker: &WorkerName) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.fence = state.fence.next();
        }
    }

    /// Removes a worker whose incarnation has ended; all its runs ended with it.
    fn remove_worker(&mut self, worker: &WorkerName) {
        let Some(state) = self.workers.remove(worker) else {
            return;
        };
        self.last_removed_token = self.last_removed_token.max(state.fence.number());
        let lost = state.runs.iter().filter(|(_, view)| !view.is_ended);
        let lost = lost.map(|(task, view)| (*task, view.run, view.checkpoint.clone()));
        let lost = lost.collect::<Vec<_>>();
        let detail = format!(
            "{}, {} runs lost, {} start orders without an answer, {}",
            state.incarnation(),
            lost.len(),
            state.outstanding_starts(self.now),
            state.lease_detail(self.now)
        );
        self.emit(DecisionEvent::new("worker_unseated", detail).worker(worker));
        let target = OrderTarget::of(&state.record);
        let sent = state.runs.iter();
        let sent = sent.filter(|(_, view)| view.start == StartState::Sent);
        for task in sent.map(|(task, _)| *task) {
            let until = self.now + LATE_CALL_LIMIT;
            self.record_late_start(task, Some(target.clone()), until);
        }
        self.unanswered_starts
            .worker_removed(&target, state.last_lease_call_at);
        for (task, view) in &state.runs {
            self.placed.remove(&(*task, worker.clone()));
            if view.has_outstanding_start(self.now) {
                self.late_orders.insert(state.incarnation(), *task, view);
            }
        }
        for (task, run, checkpoint) in lost {
            self.record_lost(task, run, checkpoint);
            self.stop_gang(task.step, run);
        }
    }

    /// Stops runs on the next incarnation of their worker that may have started there, or whose start
    /// orders may still arrive. The stop makes the worker refuse the orders before the tasks run
    /// elsewhere.
    fn transfer_runs(&mut self, previous: &WorkerIncarnation, runs: Vec<(TaskKey, RunView)>) {
        let now = self.now;
        let worker = &previous.worker;
        if !runs.is_empty()
            && let Some(state) = self.workers.get_mut(worker)
        {
            state.earlier_lease.granted_until = now + START_ORDER_LIFETIME;
        }
        for (task, mut view) in runs {
            view.start = StartState::Inherited;
            view.transferred_from = Some(previous.clone());
            view.is_listed = false;
            view.stop = StopState::Requested { at: now };
            if let Some(state) = self.workers.get_mut(worker) {
                state.insert_run(task, view);
                self.placed.insert((task, worker.clone()));
            }
        }
    }
}
