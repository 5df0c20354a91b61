//! What each input is handled by, and which results of calls still count.

use tarragon_workflow::WorkerIncarnation;

use crate::{Dispatcher, FencingToken, FinishedOrder, Input, OrderOutcome, PollOutcome, Refusal};

impl Dispatcher {
    pub(crate) fn handle_input(&mut self, input: Input) {
        self.report_refused_token(&input);
        match input {
            Input::BecameLeader { term } => self.start_leading(term),
            Input::LostLeadership => self.stop_leading(),
            Input::HostSeen { host, is_large, .. } => {
                self.relays.host_seen(&host, is_large, self.now);
            }
            Input::HostStops(host) => self.relays.host_stopped(&host),
            Input::RunsPlaced(runs) => self.recent_placements.record(&runs, self.now),
            _ if self.term.is_none() => {}
            // The result of a call that was sent in an earlier term says nothing about calls of the
            // current term.
            Input::PollFinished { fence, .. } if self.term != Some(fence.term()) => {}
            Input::StartOrderFinished(order)
            | Input::StartOrderSettled(order)
            | Input::StopOrderFinished(order)
            | Input::ThrottleOrderFinished(order)
                if self.term != Some(order.fence.term()) => {}
            Input::Applied(command, answer) => self.applied(&command, &answer),
            Input::NotProposed(commands) => self.not_proposed(&commands),
            Input::HeartbeatReceived {
                incarnation,
                leaves_in,
            } => self.heartbeat_received(&incarnation, leaves_in),
            Input::AddressClaimed { holder, claim } => self.address_claimed(&holder, claim),
            Input::PollFinished {
                fence,
                incarnation,
                outcome,
            } => {
                let is_superseded = self.is_superseded(&incarnation, fence);
                let outcome = match outcome {
                    PollOutcome::Fenced if is_superseded => PollOutcome::NotSent,
                    outcome => outcome,
                };
                self.poll_finished(&incarnation, outcome);
            }
            Input::StartOrderFinished(order) => {
                let outcome = self.outcome_in_term(&order);
                self.start_order_finished(&order.incarnation, order.task, order.run, outcome);
                self.settle_late_answers(&order);
            }
            Input::StartOrderSettled(order) => self.start_order_settled(&order),
            Input::StopOrderFinished(order) => {
                let outcome = self.outcome_in_term(&order);
                self.stop_order_finished(&order.incarnation, order.task, order.run, outcome);
            }
            Input::ThrottleOrderFinished(order) => {
                let FinishedOrder {
                    task, run, outcome, ..
                } = order;
                self.throttle_order_finished(&order.incarnation, task, run, outcome);
            }
            Input::AdviceFinished { request_id, answer } => self.finish_advice(request_id, answer),
            Input::AvoidWorker(worker) => self.avoid_worker(&worker),
            Input::Tick => self.tick(),
        }
    }

    /// Returns whether a call with this token was sent before the worker fell silent, or before its record
    /// was removed and put again.
    fn is_superseded(&self, incarnation: &WorkerIncarnation, fence: FencingToken) -> bool {
        let state = self.workers.get(&incarnation.worker);
        let state = state.filter(|state| state.incarnation() == incarnation);
        state.is_some_and(|state| state.fence != fence)
    }

    /// Returns what the outcome of an order says in this term: an order that was refused because a later
    /// order of this host overtook it says nothing about other leaders.
    fn outcome_in_term(&self, order: &FinishedOrder) -> OrderOutcome {
        let is_fenced = order.outcome == OrderOutcome::Refused(Refusal::Fence);
        if is_fenced && self.is_superseded(&order.incarnation, order.fence) {
            OrderOutcome::NotSent
        } else {
            order.outcome
        }
    }
}
