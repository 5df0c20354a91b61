use std::time::{SystemTime, UNIX_EPOCH};

use tarragon_names::Millis;
use tokio::time::Instant;

/// Monotonic clock that is set to the wall clock at the start of the process.
///
/// The readings do not repeat those of an earlier process, by which the worker tells apart delayed
/// answers to it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerClock {
    start: Instant,
    wall: u64,
}

impl WorkerClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start: Instant::now(),
            wall: wall.map_or(0, |time| time.as_millis() as u64),
        }
    }

    /// Current reading.
    pub fn now(&self) -> Millis {
        Millis(self.wall) + self.elapsed()
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}
