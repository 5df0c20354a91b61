//! Heartbeats that are answered without the leader.

use tarragon_delivery::HeartbeatCache;
use tarragon_names::{Millis, Term, WorkerName};
use yare::parameterized;

const REFRESH_AFTER: Millis = Millis(4_500);

fn worker(number: u64) -> WorkerName {
    WorkerName::from(format!("w{number}"))
}

/// Guards against a state that the leader does not know but the worker believes recorded: a change, a
/// new leader, another worker, and a record that may be outdated all go to the leader.
#[parameterized(
    same = { 1, "ready", 3, 4_000, true },
    changed = { 1, "draining", 3, 100, false },
    new_leader = { 1, "ready", 4, 100, false },
    other_worker = { 2, "ready", 3, 100, false },
    due_again = { 1, "ready", 3, 4_500, false },
)]
fn only_recorded_heartbeats_stay_here(name: u64, record: &str, term: u64, after: u64, stays: bool) {
    let mut cache = HeartbeatCache::new(REFRESH_AFTER);
    cache.insert(worker(1), "ready", Term(3), Millis(1_000));
    let now = Millis(1_000 + after);
    assert_eq!(
        cache.is_recorded(&worker(name), &record, Term(term), now),
        stays
    );
    cache.remove(&worker(name));
    assert!(!cache.is_recorded(&worker(name), &record, Term(term), now));
}

/// Replays the heartbeats of 1,100 workers, one every 1.5 s each. Guards against a leader that answers
/// all of them, and against a worker that the leader hears nothing of for longer than it may.
#[test]
fn leader_gets_a_third_of_the_heartbeats() {
    let mut cache = HeartbeatCache::new(REFRESH_AFTER);
    let mut passed_on = 0;
    for round in 0..60 {
        let now = Millis(round * 1_500);
        for number in 0..1_100 {
            if !cache.is_recorded(&worker(number), &"ready", Term(1), now) {
                passed_on += 1;
                cache.insert(worker(number), "ready", Term(1), now);
            }
        }
    }
    assert_eq!(passed_on, 20 * 1_100);
}

/// Guards against a host whose memory grows with each invented name.
#[test]
fn number_of_remembered_workers_is_bounded() {
    let mut cache = HeartbeatCache::new(REFRESH_AFTER);
    for number in 0..10_000 {
        cache.insert(worker(number), "ready", Term(1), Millis(0));
    }
    let remembered =
        (0..10_000).filter(|n| cache.is_recorded(&worker(*n), &"ready", Term(1), Millis(1)));
    assert!(remembered.count() <= 4_096);
}
