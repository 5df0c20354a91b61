use std::sync::Arc;

use parking_lot::Mutex;
use tarragon_names::Millis;

use tarragon_replica::Clock;

/// Clock that stamps log entries; retention and deadlines are counted from these stamps.
///
/// A new leader continues from the latest time in the log and advances by its own monotonic clock.
/// If it used its wall clock, a host with a clock far ahead would move the time of the cell forward
/// for good, and idempotency keys would expire early. Only the first leader of a cell starts from
/// its wall clock.
#[derive(Debug)]
pub struct CellClock {
    clock: Arc<dyn Clock>,
    /// Time of the cell and reading of the monotonic clock, both at the election.
    base: Mutex<Option<(u64, Millis)>>,
}

impl CellClock {
    /// Creates the clock of a host that has not led yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            base: Mutex::new(None),
        }
    }

    /// Continues from `latest`, the latest time in the log, when this host is elected.
    ///
    /// Starts from the wall clock if `latest` is 0, which means that the log has no time yet.
    pub fn start_term_from(&self, latest: u64) {
        let base = if latest == 0 {
            self.clock.wall_ms()
        } else {
            latest
        };
        *self.base.lock() = Some((base, self.clock.now()));
    }

    /// Returns the time of the cell in Unix milliseconds; 0 on a host that has not led yet.
    pub fn now(&self) -> u64 {
        let base = *self.base.lock();
        base.map_or(0, |(time, at)| time + self.clock.now().since(at).0)
    }
}
