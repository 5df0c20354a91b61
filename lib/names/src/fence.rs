use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Session, Term};

/// Fencing token carried by each order to a worker.
///
/// A worker refuses an order if the session is not its current one, or if the term is lower than
/// the highest that it has seen. A deposed leader therefore cannot start work.
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
    /// Term in which the leader sent the order.
    pub term: Term,
    /// Session of the worker that the order is addressed to.
    pub session: Session,
    /// Position of the order within the session.
    pub seq: u64,
}
