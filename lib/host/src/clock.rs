use std::{
    fmt::Debug,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use tarragon_names::Millis;

/// Source of time for the runtime; decision code gets its readings handed in.
pub trait Clock: Debug + Send + Sync {
    /// Monotonic reading; it goes on while the process is paused.
    fn now(&self) -> Millis;

    /// Wall clock in unix milliseconds, for retention and logs only.
    fn wall_ms(&self) -> u64;
}

/// The clocks of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// A clock that starts at 1 ms, so that zero never is a valid reading.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64 + 1)
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }
}
