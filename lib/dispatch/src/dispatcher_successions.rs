//! Order of the incarnations of a worker, as the answers to polls prove it.

use tarragon_workflow::{Command, Succession, WorkerIncarnation};

use crate::{DecisionEvent, Dispatcher, Output};

impl Dispatcher {
    /// Proposes to record that the incarnation that has answered a poll follows the one for which the poll
    /// was sent: that one had announced itself before, and two incarnations never run at the same time.
    ///
    /// Only a proof without which the heartbeat of the later one would have no effect is proposed. If the
    /// log refuses it, the next answer proposes it again.
    pub(crate) fn record_succession(
        &mut self,
        polled: &WorkerIncarnation,
        answering_started_ms: Option<u64>,
    ) {
        let Some(later_started_ms) = answering_started_ms.filter(|started_ms| *started_ms > 0)
        else {
            return;
        };
        let succession = Succession {
            earlier: polled.clone(),
            later_started_ms,
        };
        if !self.workflow_state.is_outdated(&succession.later()) {
            return;
        }
        let event = DecisionEvent::new(
            "worker_succession",
            format!("{polled} by {later_started_ms}"),
        );
        self.emit(event.worker(&polled.worker));
        self.outputs
            .push(Output::Propose(Command::PutSuccession(succession)));
    }
}
