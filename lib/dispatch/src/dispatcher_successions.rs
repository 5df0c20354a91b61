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
        self.propose_succession(succession);
    }

    /// Proposes to record that an incarnation which has answered two polls in a row follows those whose
    /// records were removed before: the second poll was sent after their removal.
    ///
    /// Only what keeps a late heartbeat of a removed one from replacing this one is proposed.
    pub(crate) fn record_removed_successions(
        &mut self,
        incarnation: &WorkerIncarnation,
        answering_started_ms: Option<u64>,
    ) {
        if answering_started_ms != Some(incarnation.started_ms) || incarnation.started_ms == 0 {
            return;
        }
        for earlier in self.workflow_state.rivals(incarnation) {
            self.propose_succession(Succession {
                earlier,
                later_started_ms: incarnation.started_ms,
            });
        }
    }

    fn propose_succession(&mut self, succession: Succession) {
        let (earlier, later) = (&succession.earlier, succession.later_started_ms);
        let event = DecisionEvent::new("worker_succession", format!("{earlier} by {later}"));
        self.emit(event.worker(&earlier.worker));
        self.outputs
            .push(Output::Propose(Command::PutSuccession(succession)));
    }
}
