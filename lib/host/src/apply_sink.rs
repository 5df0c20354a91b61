use std::fmt::Debug;

use tarragon_cell::{Answer, Command};
use tarragon_names::{LogIndex, Term};

/// Observer of the replicated state on this host.
///
/// Called on the replica's thread, so an implementation must only pass the news on.
pub trait ApplySink: Debug + Send + Sync {
    /// A committed command was applied while this host leads.
    fn applied(&self, index: LogIndex, command: &Command, answer: &Answer);

    /// This host leads from now on, and the state holds everything committed before.
    fn became_leader(&self, term: Term);

    /// This host no longer leads.
    fn lost_leadership(&self, term: Term);
}
