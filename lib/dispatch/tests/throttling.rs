//! Throttling of best-effort tasks beside latency-sensitive tasks.

mod common;

use common::{Harness, step, task, worker};
use tarragon_dispatch::{FinishedOrder, Input, OrderOutcome, RunStatus, ThrottleOrder};
use tarragon_names::Millis;
use tarragon_workflow::{StepSpec, TaskKey};
use yare::parameterized;

const TARGET_MS: u64 = 100;

/// A worker with a latency-sensitive task (job 1) and a best-effort one (job 2).
fn harness() -> Harness {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    let latency_sensitive = StepSpec {
        long_running: true,
        target_latency: Some(Millis(TARGET_MS)),
        ..step(1, 4)
    };
    let best_effort = StepSpec {
        best_effort: true,
        ..step(1, 8)
    };
    harness.submit(1, vec![latency_sensitive]);
    harness.submit(2, vec![best_effort]);
    assert_eq!(harness.answer_starts(OrderOutcome::Accepted).len(), 2);
    harness
}

fn run_status(task: TaskKey, percent: u64, usage_or_tail_ms: u64) -> RunStatus {
    RunStatus {
        task,
        run: 1,
        checkpoint: None,
        percent,
        usage_or_tail_ms: Some(usage_or_tail_ms),
    }
}

/// Answers the open poll with this tail latency of the latency-sensitive task.
fn answer_poll_with_tail(harness: &mut Harness, tail_ms: u64) {
    let statuses = vec![
        run_status(task(1, 0, 0), 100, tail_ms),
        run_status(task(2, 0, 0), 10, 2_000),
    ];
    harness.answer_poll_with("w1", statuses, &[]);
}

fn answer_throttles(harness: &mut Harness, outcome: OrderOutcome) -> Vec<ThrottleOrder> {
    let throttles = std::mem::take(&mut harness.throttles);
    for order in &throttles {
        harness.input(Input::ThrottleOrderFinished(FinishedOrder {
            fence: order.fence,
            incarnation: order.incarnation.clone(),
            task: order.task,
            run: order.run,
            outcome,
        }));
    }
    throttles
}

/// Guards against best-effort work that keeps a latency-sensitive task above its target, and
/// against throttling without need.
#[parameterized(
    above_its_target = { 101, &[0] },
    just_below_its_target = { 90, &[] },
    far_below_its_target = { 20, &[] },
)]
fn best_effort_task_is_paused_when_latency_misses_its_target(tail_ms: u64, expected: &[u64]) {
    let mut harness = harness();
    answer_poll_with_tail(&mut harness, tail_ms);
    let throttles = answer_throttles(&mut harness, OrderOutcome::Accepted);
    let percents = throttles
        .iter()
        .map(|order| order.percent)
        .collect::<Vec<_>>();
    assert_eq!(percents, expected);
    assert!(throttles.iter().all(|order| order.task == task(2, 0, 0)));
}

/// Guards against best-effort work that stays paused for good, and against a rate that oscillates.
#[test]
fn rate_of_a_paused_task_is_raised_in_steps() {
    let mut harness = harness();
    answer_poll_with_tail(&mut harness, 150);
    answer_throttles(&mut harness, OrderOutcome::Accepted);
    let mut percents = Vec::new();
    for _ in 0..30 {
        harness.advance(500);
        answer_poll_with_tail(&mut harness, 20);
        let throttles = answer_throttles(&mut harness, OrderOutcome::Accepted);
        percents.extend(throttles.iter().map(|order| order.percent));
    }
    assert_eq!(percents, [25, 50, 75, 100]);
}

/// Guards against a task that keeps running at full rate because a throttle order was lost.
#[parameterized(unanswered = { OrderOutcome::Unanswered })]
fn unanswered_throttle_order_is_sent_again(outcome: OrderOutcome) {
    let mut harness = harness();
    answer_poll_with_tail(&mut harness, 150);
    assert_eq!(answer_throttles(&mut harness, outcome).len(), 1);
    harness.advance(100);
    answer_poll_with_tail(&mut harness, 150);
    assert_eq!(
        answer_throttles(&mut harness, OrderOutcome::Accepted).len(),
        1
    );
    harness.advance(100);
    answer_poll_with_tail(&mut harness, 150);
    assert!(harness.throttles.is_empty());
}

/// A worker that carries out the first of its throttle orders late, without an answer.
struct LateWorker {
    harness: Harness,
    /// Order that is carried out late, and when.
    late: Option<(u64, ThrottleOrder)>,
    /// Rate of the best-effort task.
    percent: u64,
    orders: usize,
}

impl LateWorker {
    /// A worker whose best-effort task was ordered to pause, without an answer.
    fn with_late_pause(delay_ms: u64) -> Self {
        let mut harness = harness();
        answer_poll_with_tail(&mut harness, 150);
        let late = answer_throttles(&mut harness, OrderOutcome::Unanswered).remove(0);
        assert_eq!(late.percent, 0);
        Self {
            late: Some((harness.now + delay_ms, late)),
            harness,
            percent: 100,
            orders: 0,
        }
    }

    /// Lets time pass while the latency-sensitive task has this tail latency.
    fn advance(&mut self, millis: u64, tail_ms: u64) {
        let end = self.harness.now + millis;
        while self.harness.now < end {
            self.harness.advance(100);
            let now = self.harness.now;
            if let Some((_, order)) = self.late.take_if(|(at, _)| now >= *at) {
                self.percent = order.percent;
            }
            answer_poll_with_tail(&mut self.harness, tail_ms);
            for order in answer_throttles(&mut self.harness, OrderOutcome::Accepted) {
                self.percent = order.percent;
                self.orders += 1;
            }
        }
    }
}

/// Guards against a best-effort task that stays at an old rate for good, because the order for that
/// rate had no answer and was carried out after a newer one.
#[parameterized(
    two_seconds_late = { 2_000 },
    seven_seconds_late = { 7_000 },
    twelve_seconds_late = { 12_000 },
    thirty_seconds_late = { 29_900 },
)]
fn late_throttle_order_does_not_last(delay_ms: u64) {
    let mut worker = LateWorker::with_late_pause(delay_ms);
    worker.advance(1_000, 150);
    worker.advance(delay_ms + 11_000, 20);
    assert!(worker.late.is_none(), "the late order was carried out");
    assert_eq!(worker.percent, 100);
}

/// Guards against a flood of orders while an order may be late, and against orders that never end.
#[test]
fn throttle_orders_are_repeated_at_a_bounded_rate_until_none_can_be_late() {
    let mut worker = LateWorker::with_late_pause(5_000);
    worker.advance(31_000, 150);
    let repeats = 31_000 / 2_000;
    assert!(
        (10..=repeats + 2).contains(&worker.orders),
        "{}",
        worker.orders
    );
    let before = worker.orders;
    worker.advance(10_000, 150);
    assert_eq!(worker.orders, before);
}

/// Guards against a rate that is taken for certain although the order for it overtook an earlier one.
#[test]
fn throttle_order_that_overtakes_another_is_repeated_once() {
    let mut harness = harness();
    answer_poll_with_tail(&mut harness, 150);
    let mut open = std::mem::take(&mut harness.throttles);
    for _ in 0..16 {
        harness.advance(100);
        answer_poll_with_tail(&mut harness, 20);
    }
    open.append(&mut harness.throttles);
    let percents = open.iter().map(|order| order.percent);
    assert_eq!(percents.collect::<Vec<_>>(), [0, 25]);
    harness.throttles = open;
    answer_throttles(&mut harness, OrderOutcome::Accepted);
    let mut percents = Vec::new();
    for _ in 0..40 {
        harness.advance(100);
        answer_poll_with_tail(&mut harness, 90);
        let throttles = answer_throttles(&mut harness, OrderOutcome::Accepted);
        percents.extend(throttles.iter().map(|order| order.percent));
    }
    assert_eq!(percents, [25]);
}

/// Guards against a task that stays throttled because the order came from an earlier leader.
#[test]
fn new_leader_orders_the_rate_again() {
    let mut harness = harness();
    answer_poll_with_tail(&mut harness, 150);
    answer_throttles(&mut harness, OrderOutcome::Accepted);
    harness.elect_new_leader();
    answer_poll_with_tail(&mut harness, 20);
    let throttles = answer_throttles(&mut harness, OrderOutcome::Accepted);
    assert_eq!(throttles.len(), 1);
    assert_eq!(throttles[0].percent, 100);
}

/// A worker with a task (job 1) of a step with bounded unavailability.
fn harness_with_bounded_task() -> Harness {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    let bounded = StepSpec {
        long_running: true,
        max_unavailable: Some(1),
        ..step(1, 4)
    };
    harness.submit(1, vec![bounded]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness
}

/// Guards against upkeep that counts a task as available while it is still starting or throttled.
#[test]
fn task_is_available_only_at_full_work() {
    let mut harness = harness_with_bounded_task();
    for (percent, is_available) in [(0, false), (60, false), (100, true)] {
        harness.answer_poll_with("w1", vec![run_status(task(1, 0, 0), percent, 0)], &[]);
        assert_eq!(is_task_available(&harness), is_available, "{percent}");
    }
}

fn is_task_available(harness: &Harness) -> bool {
    let available = harness
        .dispatcher
        .available_bounded_tasks(Millis(harness.now));
    available.contains(&task(1, 0, 0))
}

/// How a worker stops answering.
#[derive(Clone, Copy)]
enum Silence {
    /// Its polls fail.
    Failed,
    /// Its poll stays open.
    Open,
}

/// Guards against upkeep that ends the last task of a step while the worker of another one is silent:
/// its task may have ended long before its lease does.
#[parameterized(
    poll_fails = { Silence::Failed, 50 },
    poll_stays_open = { Silence::Open, 2_700 },
)]
fn task_of_a_silent_worker_is_not_available(silence: Silence, silent_for: u64) {
    let mut harness = harness_with_bounded_task();
    let at_work = || vec![run_status(task(1, 0, 0), 100, 0)];
    harness.answer_poll_with("w1", at_work(), &[]);
    harness.advance(1_000);
    assert!(is_task_available(&harness), "a poll may take a second");
    if matches!(silence, Silence::Failed) {
        harness.time_out_poll("w1");
    }
    harness.advance(silent_for);
    assert!(!is_task_available(&harness));
    // The answer to a poll confirms the run at the time at which the poll was sent.
    for _ in 0..2 {
        while harness.polls.is_empty() {
            harness.advance(20);
        }
        harness.answer_poll_with("w1", at_work(), &[]);
    }
    assert!(is_task_available(&harness));
}
