use std::str::FromStr;

use derive_more::Display;
use tarragon_names::Millis;

use crate::{parse, section::Section};

/// What a stand-in worker does wrong.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FaultKind {
    /// Every task fails soon after its start.
    #[display("fail_all")]
    FailAll,
    /// The worker does nothing at all, like a stopped process.
    #[display("pause")]
    Pause,
    /// The worker runs on, but none of its messages leaves or arrives.
    #[display("silent")]
    Silent,
    /// Reports of ended tasks are lost; heartbeats still leave.
    #[display("lose_answers")]
    LoseAnswers,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::FailAll, Self::Pause, Self::Silent, Self::LoseAnswers];
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.to_string() == s)
            .ok_or_else(|| "must be fail_all, pause, silent or lose_answers".to_owned())
    }
}

/// A fault of some workers of a group for some time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerFault {
    /// The kind.
    pub kind: FaultKind,
    /// Positions of the workers within their group, from 0.
    pub workers: Vec<u32>,
    /// Time from the start of the process until the fault begins.
    pub after: Millis,
    /// Length of the fault.
    pub length: Millis,
}

impl WorkerFault {
    pub(crate) fn read(section: &Section<'_>) -> Option<Self> {
        let kind = section.required("kind", parse::from_text);
        let workers = section.required("workers", parse::numbers);
        let after = section.or("after_ms", 0, parse::number(0, u64::MAX));
        let length = section.or("for_ms", 10_000, parse::number(1, u64::MAX));
        Some(Self {
            kind: kind?,
            workers: workers?,
            after: Millis(after),
            length: Millis(length),
        })
    }

    /// Tells whether the fault holds at this time after the start.
    pub fn holds(&self, elapsed: Millis) -> bool {
        elapsed >= self.after && elapsed.since(self.after) < self.length
    }
}
