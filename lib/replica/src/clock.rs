use std::{
    fmt::Debug,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use tarragon_names::Millis;

/// Source of time for the runtime. Decision code has no clock; callers pass readings to it.
pub trait Clock: Debug + Send + Sync {
    /// Monotonic clock; it also advances while the process is paused.
    fn now(&self) -> Millis;

    /// Wall clock in Unix milliseconds, for retention and logs only.
    fn wall_ms(&self) -> u64;
}

/// Clocks of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Duration,
}

impl SystemClock {
    /// Starts a clock. The first reading is 1 ms, so 0 is never a valid reading.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(since_boot().saturating_sub(self.start).as_millis() as u64 + 1)
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }
}

/// Time since boot, including suspend.
///
/// The lease of a leader must also expire while its host is suspended. `std::time::Instant` is not
/// usable because its clock stops during suspend.
fn since_boot() -> Duration {
    let reading = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(reading.expect("the kernel supports CLOCK_BOOTTIME"))
}
