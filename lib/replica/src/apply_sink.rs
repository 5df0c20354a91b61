use std::fmt::Debug;

use tarragon_names::{LogIndex, Millis, Term};

use crate::StateMachine;

/// Observer of the commands that this host applies and of its leadership.
///
/// The replica's thread calls these methods, so an implementation must not block.
pub trait ApplySink<S>: Debug + Send + Sync
where
    S: StateMachine,
{
    /// A committed command was applied while this host leads.
    fn applied(&self, index: LogIndex, command: &S::Command, answer: &S::Answer);

    /// This host became the leader, and the state contains every command committed before.
    fn became_leader(&self, term: Term);

    /// This host is no longer the leader.
    fn lost_leadership(&self, term: Term);

    /// Commands proposed for the scheduler were refused; they never take effect.
    fn not_proposed(&self, commands: Vec<S::Command>);

    /// No other host can be elected before `until`, which is 0 if this host holds no lease. Called
    /// after each batch of inputs.
    fn leader_until(&self, until: Millis);
}
