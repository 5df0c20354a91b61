//! Guards against a leader with a wrong wall clock that moves the time of the cell, so that
//! idempotency keys expire early.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tarragon_host::CellClock;
use tarragon_names::Millis;
use tarragon_replica::Clock;
use yare::parameterized;

#[derive(Debug)]
struct FakeClock {
    now: AtomicU64,
    wall_ms: u64,
}

impl Clock for FakeClock {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::Relaxed))
    }

    fn wall_ms(&self) -> u64 {
        self.wall_ms
    }
}

#[parameterized(
    first_leader_starts_from_its_wall_clock = { 0, 5_000, 5_070 },
    wall_clock_far_ahead_is_ignored_by_later_leaders = { 5_000, 900_000, 5_070 },
    wall_clock_far_behind_is_ignored_by_later_leaders = { 5_000, 1, 5_070 },
)]
fn time_continues_from_the_log(latest: u64, wall_ms: u64, expected: u64) {
    let clock = Arc::new(FakeClock {
        now: AtomicU64::new(30),
        wall_ms,
    });
    let cell_clock = CellClock::new(Arc::clone(&clock) as Arc<dyn Clock>);
    assert_eq!(cell_clock.now(), 0);
    cell_clock.start_term_from(latest);
    clock.now.store(100, Ordering::Relaxed);
    assert_eq!(cell_clock.now(), expected);
}
