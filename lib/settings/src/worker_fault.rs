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
    pub starts_after: Millis,
    /// Length of the fault.
    pub duration: Millis,
}

impl WorkerFault {
    pub(crate) fn read(section: &Section<'_>) -> Option<Self> {
        let kind = section.required("kind", parse::from_text);
        let workers = section.required("workers", parse::numbers);
        let starts_after = section.or("after_ms", 0, parse::number(0, u64::MAX));
        let duration = section.or("for_ms", 10_000, parse::number(1, u64::MAX));
        Some(Self {
            kind: kind?,
            workers: workers?,
            starts_after: Millis(starts_after),
            duration: Millis(duration),
        })
    }

    /// Tells whether the fault holds at this time after the start.
    pub fn is_active_at(&self, elapsed: Millis) -> bool {
        elapsed >= self.starts_after && elapsed.since(self.starts_after) < self.duration
    }
}
