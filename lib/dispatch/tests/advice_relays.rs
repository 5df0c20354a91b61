//! Choice of the host through which advice is requested.

use tarragon_dispatch::AdviceRelays;
use tarragon_names::{HostName, Millis};
use yare::parameterized;

const NOW: Millis = Millis(1_000);

/// Nine hosts, of which the first three are large.
fn relays() -> AdviceRelays {
    let mut relays = AdviceRelays::default();
    for number in 1..=9 {
        relays.host_seen(&HostName::from(format!("h{number}")), number <= 3, NOW);
    }
    relays
}

/// Guards against short requests that wait behind long ones, by the number of requests of one
/// duration that get a host at the same time.
#[parameterized(
    long = { 900, 5 },
    medium = { 100, 7 },
    short = { 12, 9 },
)]
fn long_requests_leave_relays_for_short_ones(duration_ms: u64, expected: usize) {
    let mut relays = relays();
    let acquired = (0..20).filter(|request_id| {
        relays
            .acquire(Millis(duration_ms), *request_id, NOW)
            .is_some()
    });
    assert_eq!(acquired.count(), expected);
}

/// Guards against repeated requests through a host that is gone.
#[test]
fn host_without_an_answer_is_not_used_for_a_while() {
    let mut relays = relays();
    let host = relays.acquire(Millis(12), 1, NOW).unwrap();
    relays.release(1, false, NOW);
    assert_ne!(relays.acquire(Millis(12), 2, NOW), Some(host.clone()));
    assert_eq!(relays.acquire(Millis(12), 3, Millis(2_000)), Some(host));
}

/// Guards against requests through a host that has announced its stop.
#[test]
fn stopping_host_gets_no_request() {
    let mut relays = relays();
    let host = relays.acquire(Millis(12), 1, NOW).unwrap();
    relays.host_stopped(&host);
    let others = (2..20).filter_map(|request_id| relays.acquire(Millis(12), request_id, NOW));
    assert!(others.into_iter().all(|other| other != host));
}
