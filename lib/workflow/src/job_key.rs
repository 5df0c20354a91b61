use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure};

/// Length of a job key as text.
const DIGITS: usize = 16;

/// Identifier that a caller chose for a job: 16 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
pub struct JobKey(pub u64);

impl FromStr for JobKey {
    type Err = Failure;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let bad = || Failure::new(Code::Malformed, format!("'{s}' is not a job id"));
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != DIGITS || !s.bytes().all(is_digit) {
            return Err(bad());
        }
        u64::from_str_radix(s, 16).map(Self).map_err(|_parse| bad())
    }
}
