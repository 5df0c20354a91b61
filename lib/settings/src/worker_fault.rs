use tarragon_names::Millis;

use crate::{FaultKind, parse, section::Section};

/// A fault that is injected into some workers of a group for a limited time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerFault {
    /// What the workers do wrong.
    pub kind: FaultKind,
    /// Indexes of the workers within their group, from 0.
    pub workers: Vec<u32>,
    /// Time from the start of the process to the start of the fault.
    pub starts_after: Millis,
    /// Time from the start of the fault to its end.
    pub duration: Millis,
}

impl WorkerFault {
    pub(crate) fn read(section: &Section<'_>) -> Option<Self> {
        let kind = section.required("kind", parse::from_text);
        let workers = section.required("workers", parse::numbers);
        let starts_after = section.or_default("after_ms", 0, parse::number(0, u64::MAX));
        let duration = section.or_default("for_ms", 10_000, parse::number(1, u64::MAX));
        Some(Self {
            kind: kind?,
            workers: workers?,
            starts_after: Millis(starts_after),
            duration: Millis(duration),
        })
    }

    /// Returns whether the fault is active at `elapsed` after the start of the process.
    pub fn is_active_at(&self, elapsed: Millis) -> bool {
        elapsed >= self.starts_after && elapsed.since(self.starts_after) < self.duration
    }
}
