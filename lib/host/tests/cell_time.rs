//! Guards against a leader whose wall clock is wrong and moves the time of the cell, so that
//! idempotency keys expire early.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tarragon_host::CellTime;
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
    first_leader_begins_at_its_wall_clock = { 0, 5_000, 5_070 },
    host_far_ahead_goes_on_from_the_log = { 5_000, 900_000, 5_070 },
    host_far_behind_goes_on_from_the_log = { 5_000, 1, 5_070 },
)]
fn time_goes_on(latest: u64, wall_ms: u64, expected: u64) {
    let clock = Arc::new(FakeClock {
        now: AtomicU64::new(30),
        wall_ms,
    });
    let time = CellTime::new(Arc::clone(&clock) as Arc<dyn Clock>);
    assert_eq!(time.now(), 0);
    time.elected(latest);
    clock.now.store(100, Ordering::Relaxed);
    assert_eq!(time.now(), expected);
}
