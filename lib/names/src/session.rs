use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Term;

/// Registration of a worker at a leader.
///
/// The pair is unique without a log record, because a term has one leader and that leader counts up.
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
    /// Count of sessions granted in that term.
    pub counter: u64,
}
