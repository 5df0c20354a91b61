use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tarragon_names::Millis;
use tarragon_replica::Clock;

/// Clock of one host that a test can move forward.
///
/// A jump looks to the host like a pause of its process or of its machine.
#[derive(Debug)]
pub struct TestClock {
    started_at: Instant,
    jumped: Mutex<Duration>,
}

impl Default for TestClock {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            jumped: Mutex::new(Duration::from_millis(1)),
        }
    }
}

impl TestClock {
    /// Moves the clock forward.
    pub fn jump(&self, by: Duration) {
        *self.jumped.lock() += by;
    }
}

impl Clock for TestClock {
    fn now(&self) -> Millis {
        let since = self.started_at.elapsed() + *self.jumped.lock();
        Millis(since.as_millis() as u64)
    }

    fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.expect("the clock is set").as_millis() as u64
    }
}
