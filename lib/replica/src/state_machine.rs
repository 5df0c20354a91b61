use std::fmt::Debug;

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use tarragon_codes::Outcome;
use tarragon_names::LogIndex;

/// State that a replicated log builds up.
///
/// Applying a command must be deterministic: it may use only the state, the index and the time
/// that the leader wrote into the log.
pub trait StateMachine: Debug + Send + Sync + 'static {
    /// Record of the log.
    type Command: Clone + Debug + DeserializeOwned + Send + Serialize + 'static;
    /// Result of applying a command.
    type Answer: Debug + Send + 'static;

    /// Applies a committed command.
    fn apply(&self, index: LogIndex, at_ms: u64, command: &Self::Command) -> Self::Answer;

    /// The whole state, encoded.
    fn snapshot(&self) -> Outcome<Bytes>;

    /// Replaces the state by an encoded one; empty bytes stand for the first state of a group.
    fn restore(&self, state: &[u8]) -> Outcome<()>;
}
