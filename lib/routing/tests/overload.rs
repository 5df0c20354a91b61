//! Waiting requests and the retry budget with a moved clock.

use tarragon_catalogue::Pattern;
use tarragon_codes::{Code, Outcome};
use tarragon_names::Millis;
use tarragon_routing::{Admission, RetryBudget};
use yare::parameterized;

/// Requests of an entry that may wait.
const MOST: u32 = 2;

struct Queue {
    admission: Admission<&'static str>,
    dropped: Vec<&'static str>,
}

impl Queue {
    fn new() -> Self {
        Self {
            admission: Admission::default(),
            dropped: Vec::new(),
        }
    }

    fn enter(&mut self, entry: &str, at: u64, deadline: u64, who: &'static str) -> Outcome<u64> {
        self.admission.enter(
            &Pattern::from(entry.to_owned()),
            MOST,
            Millis(deadline),
            Millis(at),
            who,
            &mut self.dropped,
        )
    }

    fn next(&mut self, at: u64) -> Option<&'static str> {
        self.admission.next(Millis(at), &mut self.dropped)
    }
}

/// Guards against a queue without bound, and against one entry filling the queue of another.
#[test]
fn full_queue_refuses_at_once_by_entry() {
    let mut queue = Queue::new();
    queue.enter("reel-*", 0, 2_000, "a").unwrap();
    queue.enter("reel-*", 0, 2_000, "b").unwrap();
    let refused = queue.enter("reel-*", 0, 2_000, "c").unwrap_err();
    assert_eq!(refused.code, Code::QueueFull);
    assert!(refused.retry_after_ms.is_some());
    queue.enter("slots", 0, 2_000, "d").unwrap();
    assert_eq!(queue.next(1), Some("a"));
    queue.enter("reel-*", 1, 2_000, "e").unwrap();
}

/// Guards against slots spent on requests whose callers have given up.
#[parameterized(
    oldest_first = { 50, Some("a"), &[] },
    newest_first_when_standing = { 101, Some("b"), &[] },
    hopeless_ones_dropped = { 850, Some("b"), &["a"] },
    all_hopeless = { 1_900, None, &["a", "b"] },
)]
fn next_request(at: u64, expected: Option<&str>, dropped: &[&str]) {
    let mut queue = Queue::new();
    queue.admission.ran(Millis(200));
    queue.enter("reel-*", 0, 1_000, "a").unwrap();
    queue.enter("reel-*", 0, 2_000, "b").unwrap();
    assert_eq!(queue.next(at), expected);
    assert_eq!(queue.dropped, dropped);
}

/// Guards against a queue that counts as served because requests were dropped from it.
#[test]
fn dropping_requests_does_not_end_the_standing() {
    let mut queue = Queue::new();
    queue.enter("reel-*", 0, 120, "a").unwrap();
    queue.enter("reel-*", 0, 2_000, "b").unwrap();
    queue.enter("slots", 0, 2_000, "c").unwrap();
    assert_eq!(queue.next(150), Some("c"));
    assert_eq!(queue.dropped, ["a"]);
}

/// Guards against a return to oldest first in the middle of an overload, when the requests that were
/// passed over expire together.
#[test]
fn newest_first_outlasts_an_emptied_queue() {
    let mut queue = Queue::new();
    queue.enter("reel-*", 0, 300, "a").unwrap();
    queue.enter("reel-*", 0, 300, "b").unwrap();
    assert_eq!(queue.next(150), Some("b"));
    assert_eq!(queue.next(301), None);
    queue.enter("reel-*", 310, 900, "c").unwrap();
    queue.enter("reel-*", 310, 900, "d").unwrap();
    assert_eq!(queue.next(311), Some("d"));
    assert_eq!(queue.next(312), Some("c"));
    queue.enter("reel-*", 1_400, 2_000, "e").unwrap();
    queue.enter("reel-*", 1_400, 2_000, "f").unwrap();
    assert_eq!(queue.next(1_401), Some("e"));
}

/// Guards against a refusal while hopeless requests hold the places, and against the admission of a
/// request that cannot be answered in time.
#[test]
fn hopeless_requests_make_room() {
    let mut queue = Queue::new();
    queue.admission.ran(Millis(200));
    queue.enter("reel-*", 0, 500, "a").unwrap();
    queue.enter("reel-*", 0, 500, "b").unwrap();
    queue.enter("reel-*", 400, 2_000, "c").unwrap();
    assert_eq!(queue.dropped, ["a", "b"]);
    let late = queue.enter("reel-*", 400, 550, "d").unwrap_err();
    assert_eq!(late.code, Code::NoSlot);
}

/// Guards against a place that stays taken after its request has left.
#[test]
fn leaving_frees_the_place() {
    let mut queue = Queue::new();
    let ticket = queue.enter("reel-*", 0, 2_000, "a").unwrap();
    queue.enter("reel-*", 0, 2_000, "b").unwrap();
    queue.admission.leave(ticket);
    queue.admission.leave(ticket);
    queue.enter("reel-*", 0, 2_000, "c").unwrap();
    assert_eq!(queue.admission.len(), 2);
    // An emptied queue no longer counts as standing.
    assert_eq!(queue.next(150), Some("c"));
    assert_eq!(queue.next(150), Some("b"));
    assert!(!queue.admission.standing(Millis(10_000)));
}

/// Guards against retries that multiply an overload.
#[parameterized(
    without_success = { 0, 0, 3 },
    tenth_of_successes = { 100, 0, 13 },
    successes_age = { 100, 10_000, 3 },
    successes_within_window = { 100, 9_000, 13 },
)]
fn retry_budget(successes: u32, later: u64, expected: usize) {
    let mut budget = RetryBudget::default();
    for _ in 0..successes {
        budget.succeeded(Millis(5_000));
    }
    let now = Millis(5_000 + later);
    let allowed = (0..100).filter(|_| budget.take(now)).count();
    assert_eq!(allowed, expected);
}
