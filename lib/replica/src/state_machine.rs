use std::fmt::Debug;

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use tarragon_codes::Outcome;
use tarragon_names::LogIndex;

/// State built by applying the committed records of a replicated log in order.
///
/// Applying a command must be deterministic, because each replica applies it independently: it may
/// use only the state, the index and the time that the leader wrote into the log.
pub trait StateMachine: Debug + Send + Sync + 'static {
    /// Command that a record of the log holds.
    type Command: Clone + Debug + DeserializeOwned + Send + Serialize + 'static;
    /// Result of applying a command.
    type Answer: Debug + Send + 'static;

    /// Returns whether a command may enlarge the state. Such a command is refused while the state has
    /// no room; cancellations and ends always pass, since they make room.
    fn enlarges_state(command: &Self::Command) -> bool;

    /// Applies a committed command. `at_ms` is the time that the leader recorded.
    fn apply(&self, index: LogIndex, at_ms: u64, command: &Self::Command) -> Self::Answer;

    /// Encodes the whole state.
    fn snapshot(&self) -> Outcome<Bytes>;

    /// Replaces the state with the one that `snapshot` encoded; empty bytes mean the initial state.
    fn restore(&self, state: &[u8]) -> Outcome<()>;
}
