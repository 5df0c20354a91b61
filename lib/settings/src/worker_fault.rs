use tarragon_names::Millis;

use crate::{FaultKind, parse, section::Section};

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
