use std::sync::Arc;

use parking_lot::Mutex;
use tarragon_names::Millis;

use tarragon_replica::Clock;

/// Time that the leader writes into the log, from which retention and deadlines are counted.
///
/// It goes on from the latest time in the log at the speed of the own monotonic clock. A host whose
/// wall clock is far ahead would otherwise move the time of the cell for good, and keys would
/// expire early. The wall clock counts only for the first leader of a cell.
#[derive(Debug)]
pub struct CellTime {
    clock: Arc<dyn Clock>,
    /// Time of the cell and own reading at the election.
    base: Mutex<Option<(u64, Millis)>>,
}

impl CellTime {
    /// The time of a host that has not led yet.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            base: Mutex::new(None),
        }
    }

    /// Goes on from `latest`, the latest time in the log, or from the wall clock if there is none.
    pub fn elected(&self, latest: u64) {
        let base = if latest == 0 {
            self.clock.wall_ms()
        } else {
            latest
        };
        *self.base.lock() = Some((base, self.clock.now()));
    }

    /// Time of the cell in unix milliseconds; 0 on a host that has not led yet.
    pub fn now(&self) -> u64 {
        let base = *self.base.lock();
        base.map_or(0, |(time, at)| time + self.clock.now().since(at).0)
    }
}
