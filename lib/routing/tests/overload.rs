//! Admission queue and retry budget under a simulated clock.

use tarragon_catalogue::Pattern;
use tarragon_codes::{Code, Outcome};
use tarragon_names::Millis;
use tarragon_routing::{AdmissionQueue, RetryBudget};
use yare::parameterized;

/// Requests of one catalogue entry that may wait.
const MAX_WAITING: u32 = 2;

struct Queue {
    admission: AdmissionQueue<&'static str>,
    dropped: Vec<&'static str>,
}

impl Queue {
    fn new() -> Self {
        Self {
            admission: AdmissionQueue::default(),
            dropped: Vec::new(),
        }
    }

    fn enqueue(
        &mut self,
        entry: &str,
        at: u64,
        deadline: u64,
        waiter: &'static str,
    ) -> Outcome<u64> {
        self.admission.enqueue(
            &Pattern::from(entry.to_owned()),
            MAX_WAITING,
            Millis(deadline),
            Millis(at),
            waiter,
            &mut self.dropped,
        )
    }

    fn dequeue(&mut self, at: u64) -> Option<&'static str> {
        self.admission.dequeue(Millis(at), &mut self.dropped)
    }
}

/// Guards against an unbounded queue, and against requests of one catalogue entry that keep out those
/// of another.
#[test]
fn full_queue_refuses_requests_of_the_same_entry_only() {
    let mut queue = Queue::new();
    queue.enqueue("reel-*", 0, 2_000, "a").unwrap();
    queue.enqueue("reel-*", 0, 2_000, "b").unwrap();
    let refused = queue.enqueue("reel-*", 0, 2_000, "c").unwrap_err();
    assert_eq!(refused.code, Code::QueueFull);
    assert!(refused.retry_after_ms.is_some());
    queue.enqueue("slots", 0, 2_000, "d").unwrap();
    assert_eq!(queue.dequeue(1), Some("a"));
    queue.enqueue("reel-*", 1, 2_000, "e").unwrap();
}

/// Guards against using slots for requests whose callers have timed out.
#[parameterized(
    oldest_first = { 50, Some("a"), &[] },
    newest_first_in_a_standing_queue = { 101, Some("b"), &[] },
    unservable_are_dropped = { 850, Some("b"), &["a"] },
    all_are_unservable = { 1_900, None, &["a", "b"] },
)]
fn dequeue_returns_a_request_that_can_be_answered_in_time(
    at: u64,
    expected: Option<&str>,
    dropped: &[&str],
) {
    let mut queue = Queue::new();
    queue.admission.record_run_time(Millis(200));
    queue.enqueue("reel-*", 0, 1_000, "a").unwrap();
    queue.enqueue("reel-*", 0, 2_000, "b").unwrap();
    assert_eq!(queue.dequeue(at), expected);
    assert_eq!(queue.dropped, dropped);
}

/// Guards against an overloaded queue that counts as served because requests were dropped from it.
#[test]
fn queue_still_stands_after_dropping_requests() {
    let mut queue = Queue::new();
    queue.enqueue("reel-*", 0, 60, "a").unwrap();
    queue.enqueue("reel-*", 0, 2_000, "b").unwrap();
    queue.enqueue("slots", 0, 2_000, "c").unwrap();
    assert_eq!(queue.dequeue(70), Some("b"));
    assert_eq!(queue.dropped, ["a"]);
    queue.enqueue("reel-*", 80, 2_000, "d").unwrap();
    assert_eq!(queue.dequeue(150), Some("d"));
}

/// Guards against serving the oldest requests first again in the middle of an overload, when the
/// skipped requests expire together and empty the queue.
#[test]
fn newest_first_continues_after_the_queue_empties() {
    let mut queue = Queue::new();
    queue.enqueue("reel-*", 0, 300, "a").unwrap();
    queue.enqueue("reel-*", 0, 300, "b").unwrap();
    assert_eq!(queue.dequeue(150), Some("b"));
    assert_eq!(queue.dequeue(301), None);
    queue.enqueue("reel-*", 310, 900, "c").unwrap();
    queue.enqueue("reel-*", 310, 900, "d").unwrap();
    assert_eq!(queue.dequeue(311), Some("d"));
    assert_eq!(queue.dequeue(312), Some("c"));
    queue.enqueue("reel-*", 1_400, 2_000, "e").unwrap();
    queue.enqueue("reel-*", 1_400, 2_000, "f").unwrap();
    assert_eq!(queue.dequeue(1_401), Some("e"));
}

/// Guards against refusing a request while requests that cannot be answered in time fill the queue,
/// and against admitting a request that cannot be answered in time.
#[test]
fn unservable_requests_are_dropped_from_a_full_queue() {
    let mut queue = Queue::new();
    queue.admission.record_run_time(Millis(200));
    queue.enqueue("reel-*", 0, 500, "a").unwrap();
    queue.enqueue("reel-*", 0, 500, "b").unwrap();
    queue.enqueue("reel-*", 400, 2_000, "c").unwrap();
    assert_eq!(queue.dropped, ["a", "b"]);
    let late = queue.enqueue("reel-*", 400, 550, "d").unwrap_err();
    assert_eq!(late.code, Code::NoSlot);
}

/// Guards against a removed request that still counts against the bound of its catalogue entry.
#[test]
fn removed_request_frees_its_place() {
    let mut queue = Queue::new();
    let ticket = queue.enqueue("reel-*", 0, 2_000, "a").unwrap();
    queue.enqueue("reel-*", 0, 2_000, "b").unwrap();
    queue.admission.remove(ticket);
    queue.admission.remove(ticket);
    queue.enqueue("reel-*", 0, 2_000, "c").unwrap();
    assert_eq!(queue.admission.len(), 2);
    // Serving the last request resets the standing time.
    assert_eq!(queue.dequeue(150), Some("c"));
    assert_eq!(queue.dequeue(150), Some("b"));
    assert!(!queue.admission.is_standing(Millis(10_000)));
}

/// Guards against retries that amplify an overload.
#[parameterized(
    base_retries_without_success = { 0, 0, 3 },
    ten_percent_of_successes = { 100, 0, 13 },
    successes_outside_the_window = { 100, 10_000, 3 },
    successes_within_the_window = { 100, 9_000, 13 },
)]
fn retries_are_limited_by_recent_successes(successes: u32, later: u64, expected: usize) {
    let mut budget = RetryBudget::default();
    for _ in 0..successes {
        budget.record_success(Millis(5_000));
    }
    let now = Millis(5_000 + later);
    let allowed = (0..100).filter(|_| budget.try_take(now)).count();
    assert_eq!(allowed, expected);
}
