//! Scheduled jobs of which very many occurrences are due.

mod common;

use std::collections::BTreeSet;

use common::{EPOCH_MS, Harness, QUEUE, step, worker};
use tarragon_dispatch::OrderOutcome;
use tarragon_names::{Millis, Name, Resources};
use tarragon_workflow::{Command, JobKey, JobPhase, JobSpec, RunEnd, StepSpec};
use yare::parameterized;

const NAME: &str = "w1";

const INTERVAL_MS: u64 = 60_000;

/// Largest number of steps that wait for workers, whatever the jobs announce.
const MAX_PLANNED_STEPS: usize = 10_000;

fn submit_scheduled(
    harness: &mut Harness,
    job: u64,
    steps: Vec<StepSpec>,
    first_at_ms: u64,
    repeat_count: u32,
) {
    let spec = JobSpec {
        payload: Name::from("work"),
        steps,
        first_at_ms,
        interval: Millis(INTERVAL_MS),
        repeat_count,
    };
    let (job, queue) = (JobKey(job), Name::from(QUEUE));
    harness.commit(Command::Submit { job, queue, spec });
}

/// Number of steps that the dispatcher has planned.
fn planned_steps(harness: &Harness) -> usize {
    let text = format!("{:?}", harness.dispatcher);
    let steps = text.split_once("steps: ").expect("the number of steps").1;
    let digits = steps.split(|c: char| !c.is_ascii_digit()).next();
    let count = digits.and_then(|digits| digits.parse().ok());
    count.expect("a number")
}

/// Accepts the start orders, ends all runs of the worker as done, and returns their occurrences by job.
fn run_all(harness: &mut Harness, last_end: &mut u64) -> Vec<(JobKey, u32)> {
    let started = harness.answer_starts(OrderOutcome::Accepted);
    let mut ends = Vec::new();
    for order in &started {
        *last_end += 1;
        ends.push((*last_end, order.task, order.run, RunEnd::Done));
    }
    harness.answer_poll(NAME, &[], &ends);
    harness.advance(40);
    let steps = started.iter().map(|order| order.task.step);
    steps.map(|step| (step.job, step.occurrence)).collect()
}

/// Guards against a leader whose memory follows the number of occurrences that a job announces, and that
/// is replaced by the next one with the same fate.
#[test]
fn passed_occurrences_take_up_bounded_memory() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    for job in 1..=200 {
        submit_scheduled(&mut harness, job, vec![step(1, 4)], 0, u32::MAX);
    }
    harness.advance(200);
    assert!(planned_steps(&harness) <= MAX_PLANNED_STEPS);
    harness.elect_new_leader();
    harness.answer_poll(NAME, &[], &[]);
    harness.advance(200);
    assert!(planned_steps(&harness) <= MAX_PLANNED_STEPS);
}

/// Guards against passed occurrences that are never run, or run more than once or out of turn, and
/// against a job that is never completed.
#[test]
fn all_passed_occurrences_are_run_once() {
    const COUNT: u32 = 1_000;
    let mut harness = Harness::new(&[worker(NAME, 64)]);
    let first_at_ms = EPOCH_MS - u64::from(COUNT) * INTERVAL_MS;
    submit_scheduled(&mut harness, 1, vec![step(1, 1)], first_at_ms, COUNT);
    harness.advance(40);
    let (mut last_end, mut run) = (0, BTreeSet::new());
    while harness.phase(1) != Some(JobPhase::Completed) {
        for (_, occurrence) in run_all(&mut harness, &mut last_end) {
            assert!(run.insert(occurrence), "{occurrence} runs again");
        }
        assert!(last_end <= u64::from(COUNT));
        assert!(harness.now < 120_000, "{} occurrences were run", run.len());
    }
    assert_eq!(run.len(), COUNT as usize);
}

/// Guards against a job with passed occurrences that keeps the jobs waiting that come after it until all
/// of them are done, also those that can no longer meet their objectives.
#[parameterized(
    in_time = { 0 },
    late = { 10_000 },
)]
fn jobs_that_come_later_are_run_beside_passed_occurrences(waiting_ms: u64) {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    submit_scheduled(&mut harness, 1, vec![step(1, 1)], 0, u32::MAX);
    harness.advance(200);
    harness.submit(2, vec![step(1, 1)]);
    harness.advance(waiting_ms);
    let mut last_end = 0;
    while harness.phase(2) != Some(JobPhase::Completed) {
        run_all(&mut harness, &mut last_end);
        assert!(last_end < 1_000, "the later job waits");
    }
}

/// Guards against occurrences that overlap on time and that one another keeps waiting.
#[test]
fn large_occurrences_may_overlap() {
    let mut harness = Harness::new(&[worker(NAME, 8_000)]);
    let first_at_ms = harness.unix_ms();
    let wide = StepSpec {
        resources: Resources::new(100, 1, 0),
        ..step(1_000, 1)
    };
    submit_scheduled(&mut harness, 1, vec![wide], first_at_ms, 3);
    for open in 1..=3 {
        harness.advance(200);
        let started = harness
            .starts
            .iter()
            .map(|order| order.task.step.occurrence);
        assert_eq!(started.collect::<BTreeSet<_>>().len(), open);
        harness.advance(INTERVAL_MS);
    }
}
