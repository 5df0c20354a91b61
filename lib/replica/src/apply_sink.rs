use std::fmt::Debug;

use tarragon_names::{LogIndex, Millis, Term};

use crate::StateMachine;

/// Observer of the replicated state on this host.
///
/// Called on the replica's thread, so an implementation must only pass the news on.
pub trait ApplySink<S>: Debug + Send + Sync
where
    S: StateMachine,
{
    /// A committed command was applied while this host leads.
    fn applied(&self, index: LogIndex, command: &S::Command, answer: &S::Answer);

    /// This host leads from now on, and the state holds everything committed before.
    fn became_leader(&self, term: Term);

    /// This host no longer leads.
    fn lost_leadership(&self, term: Term);

    /// Commands of the scheduler were refused and have no effect.
    fn not_proposed(&self, commands: Vec<S::Command>);

    /// No other host can be elected before `until`; reported with every turn of the thread.
    fn leader_until(&self, until: Millis);
}
