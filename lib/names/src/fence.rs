use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Session, Term};

/// Fencing token carried by each order to a worker.
///
/// A worker refuses an order whose session is not its current one or whose term is lower than the
/// highest it has seen, so a deposed leader cannot start work.
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
#[display("{term}/{session}/{seq}")]
pub struct Fence {
    /// Term of the leader that sent the order.
    pub term: Term,
    /// Session that the order is meant for.
    pub session: Session,
    /// Position of the order within the session.
    pub seq: u64,
}
