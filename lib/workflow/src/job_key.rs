use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure};

/// Length of a job key in its text form.
const KEY_DIGITS: usize = 16;

/// Identifier of a job, chosen by the caller; written as 16 lowercase hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
pub struct JobKey(pub u64);

impl FromStr for JobKey {
    type Err = Failure;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let malformed = || Failure::new(Code::Malformed, format!("'{s}' is not a job id"));
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != KEY_DIGITS || !s.bytes().all(is_digit) {
            return Err(malformed());
        }
        u64::from_str_radix(s, 16)
            .map(Self)
            .map_err(|_parse| malformed())
    }
}
