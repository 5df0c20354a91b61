//! Limits on the calls to workers, under the load of a burst.

use std::collections::{BTreeMap, VecDeque};

use tarragon_delivery::{Admission, BudgetLimits, OrderBudget, Urgency};
use tarragon_names::WorkerName;
use yare::parameterized;

const LIMITS: BudgetLimits = BudgetLimits {
    max_open: 8,
    max_open_per_worker: 2,
    max_queued: 4,
};

fn worker(number: u64) -> WorkerName {
    WorkerName::from(format!("w{number}"))
}

/// Guards against a process that uses up its descriptors: with the limits from its settings, half
/// of them stay for callers and other hosts.
#[parameterized(
    small_host = { 4_100 },
    large_host = { 4_324 },
    few = { 256 },
    fewer_than_reserved = { 100 },
)]
fn limits_follow_from_descriptors(max_descriptors: usize) {
    let limits = BudgetLimits::from_descriptors(max_descriptors);
    assert!(limits.max_open >= limits.max_open_per_worker);
    assert!(limits.max_open <= (max_descriptors / 2).max(limits.max_open_per_worker));
}

/// Guards against starts that take the room of lease renewals and stops.
#[test]
fn less_urgent_calls_leave_room_for_more_urgent_ones() {
    let mut budget = OrderBudget::new(LIMITS);
    let granted = |budget: &mut OrderBudget, urgency, first: u64| {
        let calls = (first..first + 10).map(|id| budget.request(id, &worker(id), urgency).0);
        calls
            .filter(|admission| *admission == Admission::Granted)
            .count()
    };
    assert_eq!(granted(&mut budget, Urgency::Start, 0), 4);
    assert_eq!(granted(&mut budget, Urgency::Stop, 100), 2);
    assert_eq!(granted(&mut budget, Urgency::Poll, 200), 2);
    assert_eq!(budget.open_count(), 8);
}

/// Guards against one worker that takes all open calls, and against its poll waiting for them.
#[test]
fn calls_to_one_worker_are_limited() {
    let mut budget = OrderBudget::new(LIMITS);
    let a = worker(1);
    assert_eq!(budget.request(1, &a, Urgency::Start).0, Admission::Granted);
    assert_eq!(budget.request(2, &a, Urgency::Start).0, Admission::Granted);
    assert_eq!(budget.request(3, &a, Urgency::Start).0, Admission::Queued);
    assert_eq!(budget.request(4, &a, Urgency::Poll).0, Admission::Granted);
    budget.release(&a, Urgency::Start);
    assert_eq!(budget.grant_next(), Some(3));
    assert_eq!(budget.grant_next(), None);
}

/// Guards against a queue without a bound, and against urgent orders that are turned away because
/// less urgent ones wait.
#[test]
fn full_queue_gives_way_to_urgent_calls_only() {
    let mut budget = OrderBudget::new(LIMITS);
    for id in 0..8 {
        let (admission, displaced) = budget.request(id, &worker(id), Urgency::Start);
        assert_ne!(admission, Admission::Rejected);
        assert_eq!(displaced, None);
    }
    assert_eq!(budget.waiting_count(), 4);
    let late_start = budget.request(8, &worker(8), Urgency::Start);
    assert_eq!(late_start, (Admission::Rejected, None));
    for id in 9..12 {
        let (_, displaced) = budget.request(id, &worker(1), Urgency::Stop);
        assert!(displaced.is_none_or(|id| (4..8).contains(&id)));
    }
    assert!(budget.waiting_count() <= 4);
}

/// Guards against a call that is given up but keeps its place.
#[test]
fn cancelled_call_is_not_granted() {
    let mut budget = OrderBudget::new(LIMITS);
    for id in 0..6 {
        budget.request(id, &worker(id), Urgency::Start);
    }
    budget.cancel(4, Urgency::Start);
    budget.release(&worker(0), Urgency::Start);
    assert_eq!(budget.grant_next(), Some(5));
    assert_eq!(budget.waiting_count(), 0);
}

/// A call of the replayed burst.
struct Call {
    worker: WorkerName,
    urgency: Urgency,
    ends_at: u64,
}

/// Replays a burst of 5 s to 1,100 workers through one host with 4,324 descriptors: a poll of each
/// worker every second, and orders at twenty times the usual rate. Guards against a burst after which
/// polls go on failing: no poll may wait, and the orders are worked off soon after the burst.
#[test]
fn polls_get_through_a_burst_of_orders() {
    const WORKERS: u64 = 1_100;
    const STEP_MS: u64 = 10;
    let mut budget = OrderBudget::new(BudgetLimits::from_descriptors(4_324));
    let mut open = VecDeque::<Call>::new();
    let mut waiting = BTreeMap::<u64, (WorkerName, Urgency)>::new();
    let mut last_id = 0;
    let mut backlog_after = None;
    for now in (0..12_000).step_by(STEP_MS as usize) {
        let (ended, still_open) = open
            .into_iter()
            .partition::<VecDeque<_>, _>(|c| c.ends_at <= now);
        open = still_open;
        for call in ended {
            budget.release(&call.worker, call.urgency);
        }
        let is_burst = (2_000..7_000).contains(&now);
        let orders = if is_burst { 600 } else { 30 };
        let polls = WORKERS * STEP_MS / 1_000;
        let kinds = (0..polls).map(|_| Urgency::Poll);
        let kinds = kinds.chain((0..orders).map(|i| [Urgency::Start, Urgency::Stop][i % 2]));
        for urgency in kinds {
            last_id += 1;
            let target = worker(last_id * 7_919 % WORKERS);
            let (admission, displaced) = budget.request(last_id, &target, urgency);
            if let Some(displaced) = displaced {
                waiting.remove(&displaced);
            }
            match admission {
                Admission::Granted => open.push_back(Call {
                    worker: target,
                    urgency,
                    ends_at: now + if urgency == Urgency::Poll { 1_000 } else { 50 },
                }),
                Admission::Queued => {
                    assert_ne!(urgency, Urgency::Poll, "a poll waits at {now} ms");
                    waiting.insert(last_id, (target, urgency));
                }
                Admission::Rejected => assert_ne!(urgency, Urgency::Poll),
            }
        }
        while let Some(id) = budget.grant_next() {
            let (target, urgency) = waiting.remove(&id).expect("a granted call waited");
            open.push_back(Call {
                worker: target,
                urgency,
                ends_at: now + 50,
            });
        }
        assert!(budget.open_count() <= 4_324 / 2);
        if now >= 7_000 && backlog_after.is_none() && budget.waiting_count() == 0 {
            backlog_after = Some(now - 7_000);
        }
    }
    let backlog_after = backlog_after.expect("the backlog is worked off");
    assert!(backlog_after <= 2_000, "{backlog_after} ms after the burst");
}
