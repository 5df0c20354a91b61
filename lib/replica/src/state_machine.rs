use std::fmt::Debug;

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use tarragon_codes::Outcome;
use tarragon_names::LogIndex;

use crate::Growth;

/// State built by applying the committed records of a replicated log in order.
///
/// Applying a command must be deterministic, because each replica applies it independently: it may
/// use only the state, the index and the time that the leader wrote into the log.
pub trait StateMachine: Debug + Send + Sync + 'static {
    /// Command that a record of the log holds.
    type Command: Clone + Debug + DeserializeOwned + Send + Serialize + 'static;
    /// Result of applying a command.
    type Answer: Debug + Send + 'static;

    /// Returns what a command may add to the state. A command that adds something is refused while
    /// the state has no room, so it must not be one whose earlier result a caller asks for.
    fn growth(command: &Self::Command) -> Growth;

    /// Applies a committed command. `at_ms` is the time that the leader recorded.
    fn apply(&self, index: LogIndex, at_ms: u64, command: &Self::Command) -> Self::Answer;

    /// Encodes the whole state.
    fn snapshot(&self) -> Outcome<Bytes>;

    /// Replaces the state with the one that `snapshot` encoded; empty bytes mean the initial state.
    fn restore(&self, state: &[u8]) -> Outcome<()>;
}
