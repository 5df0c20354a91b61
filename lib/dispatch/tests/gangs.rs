//! Start orders for the members of a gang.

mod common;

use common::{Harness, step, worker};
use tarragon_dispatch::{Input, OrderOutcome, StartOrder};
use tarragon_names::Name;
use tarragon_workflow::{Command, RunEnd, RunEvent, StepSpec};

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
    let gang = StepSpec {
        gang: true,
        checkpointing: true,
        max_per_worker: Some(1),
        ..step(2, 1)
    };
    harness.submit(1, vec![gang]);
    let first = harness.answer_starts(OrderOutcome::Accepted);
    for (number, order) in (1..).zip(&first) {
        stop_first_run(&mut harness, order, number, "early");
    }
    let second = take_starts(&mut harness);
    assert_eq!(second.len(), 2);
    stop_first_run(&mut harness, &first[0], 3, "late");
    let unanswered = &second[1];
    harness.input(Input::StartOrderFinished {
        fence: unanswered.fence,
        incarnation: unanswered.incarnation.clone(),
        task: unanswered.task,
        run: unanswered.run,
        outcome: OrderOutcome::Unanswered,
    });
    let again = take_starts(&mut harness);
    assert_eq!((again.len(), again[0].task), (1, unanswered.task));
    assert_eq!(again[0].checkpoint, second[0].checkpoint);
    assert_eq!(again[0].checkpoint, Some(Name::from("early")));
}
