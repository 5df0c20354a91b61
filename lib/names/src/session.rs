use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Term;

/// Registration of a worker with a leader.
///
/// The pair is unique without a log record: a term has one leader, which increments the counter for
/// each session.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{term}.{counter}")]
pub struct Session {
    /// Term of the leader that granted the session.
    pub term: Term,
    /// Number of the session among those granted in this term.
    pub counter: u64,
}
