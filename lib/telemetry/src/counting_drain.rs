use std::{
    fmt::{self, Debug, Formatter},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use slog::{Drain, Never, OwnedKVList, Record};
use slog_async::AsyncCore;

/// Drain that hands records to a thread and counts those that find its queue full.
pub struct CountingDrain {
    core: AsyncCore,
    dropped: Arc<AtomicU64>,
}

impl CountingDrain {
    /// A drain before the queue of `core`, which must not block.
    pub fn new(core: AsyncCore, dropped: Arc<AtomicU64>) -> Self {
        Self { core, dropped }
    }
}

impl Drain for CountingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.core.log(record, values).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Debug for CountingDrain {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("CountingDrain")
            .field("dropped", &self.dropped)
            .finish_non_exhaustive()
    }
}
