use tarragon_dispatch::Input;
use tarragon_names::{LogIndex, Term};
use tarragon_replica::{ApplySink, LeaderLease};
use tarragon_workflow::{Answer, Command, RunEvent};

use crate::{WorkflowLog, dispatch_handle::DispatchHandle};

/// Forwards applied commands and changes of the leader to the dispatcher.
#[derive(Debug)]
pub(crate) struct DispatchSink(pub(crate) DispatchHandle);

impl ApplySink<WorkflowLog> for DispatchSink {
    fn applied(&self, _: LogIndex, command: &Command, answer: &Answer) {
        self.0.send(Input::Applied(command.clone(), answer.clone()));
    }

    fn followed(&self, command: &Command) {
        let Command::RunEvents(records) = command else {
            return;
        };
        let placed = records.iter().filter_map(RunEvent::placed_run);
        let placed = placed.collect::<Vec<_>>();
        if !placed.is_empty() {
            self.0.send(Input::RunsPlaced(placed));
        }
    }

    fn became_leader(&self, term: Term) {
        self.0.send(Input::BecameLeader { term: term.0 });
    }

    fn lost_leadership(&self, _: Term) {
        self.0.set_lease(None);
        self.0.send(Input::LostLeadership);
    }

    fn not_proposed(&self, commands: Vec<Command>) {
        self.0.send(Input::NotProposed(commands));
    }

    fn lease_updated(&self, lease: Option<LeaderLease>) {
        self.0.set_lease(lease);
    }
}
