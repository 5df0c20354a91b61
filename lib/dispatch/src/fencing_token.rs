use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bits of the token that number the tokens of a term. The rest of the 53 bits that JSON numbers represent
/// exactly holds the term.
const NUMBER_BITS: u32 = 24;

/// Highest number within a term that a token can hold.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// Fencing token of the calls to a worker.
///
/// A worker does nothing for a lower token than the highest that it has seen. Tokens rise with the term,
/// so a worker refuses the calls of earlier leaders. Within a term they rise with each record of a worker
/// and each time that it falls silent, so it refuses the calls that were meant for its earlier
/// incarnations.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{}.{}", self.term(), self.0 & MAX_NUMBER)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Returns the token of a term with this number. Those beyond the highest number are the same.
    pub fn new(term: u64, number: u64) -> Self {
        Self((term << NUMBER_BITS) | number.min(MAX_NUMBER))
    }

    /// Returns the term of the leader.
    pub fn term(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the token as the number that workers compare.
    pub fn value(self) -> u64 {
        self.0
    }
}
