//! Sums of amounts and times that workers and callers report.

use tarragon_names::{Millis, Resources};
use yare::parameterized;

/// Guards against two large capacities that add up to nothing, which hides all other workers, or
/// that end the process.
#[parameterized(
    two_halves = { 1 << 63, 1 << 63 },
    maximum_and_one = { u64::MAX, 1 },
    two_maxima = { u64::MAX, u64::MAX },
)]
fn sum_of_resources_saturates(a: u64, b: u64) {
    let (a, b) = (Resources::new(a, a, a), Resources::new(b, b, b));
    let full = Resources::new(u64::MAX, u64::MAX, u64::MAX);
    let mut sum = a;
    sum += b;
    assert_eq!(sum, full);
    assert_eq!([a, b].into_iter().sum::<Resources>(), full);
    assert_eq!(a.times(u64::MAX), full);
}

/// Guards against a deadline in the far future that wraps around and lies in the past.
#[parameterized(
    maximum = { u64::MAX },
    nearly_the_maximum = { u64::MAX - 1 },
)]
fn time_far_ahead_stays_in_the_future(duration: u64) {
    let now = Millis(1_000_000);
    assert!(now + Millis(duration) > now);
    let mut deadline = now;
    deadline += Millis(duration);
    assert!(deadline > now);
    assert!(Millis(duration).with_clock_margin() >= Millis(duration));
    assert_eq!(now - Millis(duration), Millis(0));
}
