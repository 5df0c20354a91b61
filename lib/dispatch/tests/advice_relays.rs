//! Through which host advice is asked.

use tarragon_dispatch::AdviceRelays;
use tarragon_names::{HostName, Millis};
use yare::parameterized;

const NOW: Millis = Millis(1_000);

/// Nine hosts, of which the first three are large.
fn lanes() -> AdviceRelays {
    let mut lanes = AdviceRelays::default();
    for number in 1..=9 {
        lanes.seen(&HostName::from(format!("h{number}")), number <= 3, NOW);
    }
    lanes
}

/// Guards against short calls that wait behind long ones: so many calls of a length find a host.
#[parameterized(
    long = { 900, 5 },
    medium = { 100, 7 },
    short = { 12, 9 },
)]
fn calls_at_once(length: u64, expected: usize) {
    let mut lanes = lanes();
    let taken = (0..20).filter(|ask| lanes.take(Millis(length), *ask, NOW).is_some());
    assert_eq!(taken.count(), expected);
}

/// Guards against a call through a host that is gone, over and over.
#[test]
fn host_without_an_answer_is_left_alone() {
    let mut lanes = lanes();
    let host = lanes.take(Millis(12), 1, NOW).unwrap();
    lanes.release(1, false, NOW);
    assert_ne!(lanes.take(Millis(12), 2, NOW), Some(host.clone()));
    assert_eq!(lanes.take(Millis(12), 3, Millis(2_000)), Some(host));
}

/// Guards against calls through a host that has said that it stops.
#[test]
fn host_that_stops_gets_no_call() {
    let mut lanes = lanes();
    let host = lanes.take(Millis(12), 1, NOW).unwrap();
    lanes.stopped(&host);
    let others = (2..20).filter_map(|ask| lanes.take(Millis(12), ask, NOW));
    assert!(others.into_iter().all(|other| other != host));
}
