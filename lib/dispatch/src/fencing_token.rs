use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bits of the token that number the incarnations of workers.
const INCARNATION_BITS: u32 = 20;

/// Highest number of an incarnation that a token can hold.
const MAX_INCARNATION: u64 = (1 << INCARNATION_BITS) - 1;

/// Fencing token of the calls to one incarnation of a worker.
///
/// A worker does nothing for a lower token than the highest that it has seen. Tokens rise with the term,
/// so a worker refuses the calls of earlier leaders, and within a term with each record of a worker, so
/// it refuses the calls that were meant for its earlier incarnations.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{}.{}", self.term(), self.0 & MAX_INCARNATION)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Returns the token of a leader's calls to the incarnation with this number. Incarnations beyond the
    /// highest number share one token.
    pub fn new(term: u64, incarnation: u64) -> Self {
        Self((term << INCARNATION_BITS) | incarnation.min(MAX_INCARNATION))
    }

    /// Returns the term of the leader.
    pub fn term(self) -> u64 {
        self.0 >> INCARNATION_BITS
    }

    /// Returns the token as the number that workers compare.
    pub fn value(self) -> u64 {
        self.0
    }
}
