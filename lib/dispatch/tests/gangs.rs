//! Start orders for the members of a gang.

mod common;

use common::{Harness, LOW_QUEUE, step, task, worker};
use tarragon_dispatch::{FinishedOrder, Input, OrderOutcome, StartOrder};
use tarragon_names::Name;
use tarragon_workflow::{Command, RunEnd, RunEvent, StepSpec};
use yare::parameterized;

/// A gang of two members on different workers.
fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        checkpointing: true,
        max_per_worker: Some(1),
        ..step(2, 1)
    }
}

/// A step that follows the first one.
fn next_step() -> StepSpec {
    StepSpec {
        depends_on: vec![0],
        ..step(1, 1)
    }
}

/// Records that a member of the first run was stopped with this checkpoint.
fn stop_first_run(harness: &mut Harness, order: &StartOrder, number: u64, checkpoint: &str) {
    let ended = RunEvent::Ended {
        incarnation: order.incarnation.clone(),
        number,
        task: order.task,
        run: 1,
        end: RunEnd::Stopped,
        checkpoint: Some(Name::from(checkpoint)),
    };
    harness.commit(Command::RunEvents(vec![ended]));
}

/// Waits for the start orders of the next run of the gang.
fn take_starts(harness: &mut Harness) -> Vec<StartOrder> {
    while harness.starts.is_empty() {
        harness.advance(20);
    }
    std::mem::take(&mut harness.starts)
}

/// Guards against members of a gang that resume from different checkpoints, because a late end of the
/// earlier run brings another one between their start orders.
#[test]
fn members_of_a_gang_resume_from_the_same_checkpoint() {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    harness.submit(1, vec![gang()]);
    let first = harness.answer_starts(OrderOutcome::Accepted);
    for (number, order) in (1..).zip(&first) {
        stop_first_run(&mut harness, order, number, "early");
    }
    let second = take_starts(&mut harness);
    assert_eq!(second.len(), 2);
    stop_first_run(&mut harness, &first[0], 3, "late");
    let unanswered = &second[1];
    harness.input(Input::StartOrderFinished(FinishedOrder {
        fence: unanswered.fence,
        incarnation: unanswered.incarnation.clone(),
        task: unanswered.task,
        run: unanswered.run,
        outcome: OrderOutcome::Unanswered,
    }));
    let again = take_starts(&mut harness);
    assert_eq!((again.len(), again[0].task), (1, unanswered.task));
    assert_eq!(again[0].checkpoint, second[0].checkpoint);
    assert_eq!(again[0].checkpoint, Some(Name::from("early")));
}

/// Guards against a second run of a task whose first run, declared lost, turns out to be done: the
/// start order for the second run has no answer and must not be sent again, and the run is stopped.
#[parameterized(
    gang_of_the_last_step = { gang(), vec![] },
    gang_before_another_step = { gang(), vec![next_step()] },
    task_of_the_last_step = { step(1, 1), vec![] },
    task_before_another_step = { step(1, 1), vec![next_step()] },
)]
fn no_start_follows_the_late_success_of_an_earlier_run(first_step: StepSpec, rest: Vec<StepSpec>) {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    let steps = [first_step].into_iter().chain(rest);
    harness.submit(1, steps.collect());
    let first = harness.answer_starts(OrderOutcome::Accepted);
    let lost = first.iter().map(|order| RunEvent::Lost {
        task: order.task,
        run: 1,
        checkpoint: None,
    });
    let lost = lost.collect();
    harness.commit(Command::RunEvents(lost));
    let second = take_starts(&mut harness);
    assert_eq!(second.len(), first.len());
    let done = RunEvent::Ended {
        incarnation: first[0].incarnation.clone(),
        number: 1,
        task: task(1, 0, 0),
        run: 1,
        end: RunEnd::Done,
        checkpoint: None,
    };
    harness.commit(Command::RunEvents(vec![done]));
    for order in &second {
        harness.input(Input::StartOrderFinished(FinishedOrder {
            fence: order.fence,
            incarnation: order.incarnation.clone(),
            task: order.task,
            run: order.run,
            outcome: OrderOutcome::Unanswered,
        }));
    }
    harness.advance(2_000);
    let mut starts = harness.starts.iter();
    assert!(!starts.any(|order| order.task.step.step == 0));
    let stopped = harness.stops.iter().filter(|order| order.run == 2);
    assert!(stopped.count() >= second.len());
}

/// Number of workers of which a gang may claim one.
const CLAIMABLE_WORKERS: u32 = 9;

/// Guards against a gang that fits only where tasks that last are at work, and that keeps all workers free
/// for ever: less urgent jobs would start no more.
#[test]
fn gang_claims_no_worker_that_tasks_that_last_keep_too_full() {
    let workers = (1..=CLAIMABLE_WORKERS).map(|number| worker(&format!("w{number}"), 8));
    let mut harness = Harness::new(&workers.collect::<Vec<_>>());
    let one_each = |spec| StepSpec {
        max_per_worker: Some(1),
        ..spec
    };
    let lasting = one_each(StepSpec {
        long_running: true,
        ..step(CLAIMABLE_WORKERS, 1)
    });
    harness.submit(1, vec![lasting]);
    let placed = harness.answer_starts(OrderOutcome::Accepted);
    assert_eq!(placed.len(), CLAIMABLE_WORKERS as usize);
    let gang = one_each(StepSpec {
        gang: true,
        ..step(CLAIMABLE_WORKERS, 8)
    });
    harness.submit(2, vec![gang]);
    harness.advance(200);
    harness.submit_to(LOW_QUEUE, 3, vec![step(1, 2)]);
    harness.advance(200);
    let jobs = harness.starts.iter().map(|order| order.task.step.job.0);
    assert_eq!(jobs.collect::<Vec<_>>(), [3]);
}
