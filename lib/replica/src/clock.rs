use std::{
    fmt::Debug,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
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
    start: Duration,
}

impl SystemClock {
    /// A clock that starts at 1 ms, so that zero never is a valid reading.
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

/// Time since the boot of the machine, including the time that the machine was suspended.
///
/// A leader that is suspended must find its lease over when it wakes, so the clock of
/// `std::time::Instant`, which stops in that time, does not serve here.
fn since_boot() -> Duration {
    let reading = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(reading.expect("the kernel has a boot time clock"))
}
