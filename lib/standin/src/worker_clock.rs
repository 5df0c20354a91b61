use std::time::{SystemTime, UNIX_EPOCH};

use tarragon_names::Millis;
use tokio::time::Instant;

/// Monotonic clock that starts at the wall clock time of its creation.
///
/// Readings differ from those of an earlier process of the same worker, so a delayed answer to that
/// process is not mistaken for an answer to this one.
#[derive(Clone, Copy, Debug)]
pub struct WorkerClock {
    start: Instant,
    start_wall_ms: u64,
}

impl WorkerClock {
    /// Creates a clock that reads the current wall clock time.
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start: Instant::now(),
            start_wall_ms: wall.map_or(0, |time| time.as_millis() as u64),
        }
    }

    /// Current reading, in milliseconds since the Unix epoch; later changes of the wall clock have no
    /// effect.
    pub fn now(&self) -> Millis {
        Millis(self.start_wall_ms) + self.elapsed()
    }

    /// Time since the creation of the clock.
    pub fn elapsed(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}
