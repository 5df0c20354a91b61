use std::fmt::Debug;

use tarragon_names::{LogIndex, Term};

use crate::{LeaderLease, StateMachine};

/// Observer of the commands that this host applies and of its leadership.
///
/// The replica's thread calls these methods, so an implementation must not block.
pub trait ApplySink<S>: Debug + Send + Sync
where
    S: StateMachine,
{
    /// A committed command was applied while this host leads.
    fn applied(&self, index: LogIndex, command: &S::Command, answer: &S::Answer);

    /// A committed command was applied while this host does not lead.
    fn followed(&self, command: &S::Command);

    /// This host became the leader, and the state contains every command committed before.
    fn became_leader(&self, term: Term);

    /// This host is no longer the leader.
    fn lost_leadership(&self, term: Term);

    /// Commands proposed for the scheduler were refused; they never take effect.
    fn not_proposed(&self, commands: Vec<S::Command>);

    /// The lease of this host as the leader changed; `None` if it holds none. Called after each
    /// batch of inputs, and before another host may be elected.
    fn lease_updated(&self, lease: Option<LeaderLease>);
}
