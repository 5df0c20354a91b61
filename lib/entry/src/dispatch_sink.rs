use tarragon_dispatch::Input;
use tarragon_names::{LogIndex, Term};
use tarragon_replica::{ApplySink, LeaderLease};
use tarragon_workflow::{Answer, Command};

use crate::{WorkflowLog, dispatch_handle::DispatchHandle};

/// Forwards applied commands and changes of the leader to the dispatcher.
#[derive(Debug)]
pub(crate) struct DispatchSink(pub(crate) DispatchHandle);

impl ApplySink<WorkflowLog> for DispatchSink {
    fn applied(&self, _: LogIndex, command: &Command, answer: &Answer) {
        self.0.send(Input::Applied(command.clone(), answer.clone()));
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
