//! Caps and shares of teams.

mod common;

use common::{Harness, LOW_QUEUE, QUEUE, first_runs, step, task, worker};
use tarragon_dispatch::OrderOutcome;
use tarragon_names::{Resources, TeamName};
use tarragon_workflow::{Command, RunEnd, StepSpec, TaskKey, Team};
use yare::parameterized;

fn team(name: &str, weight: u64, cores: u64) -> Team {
    Team {
        name: TeamName::from(name),
        keys: Vec::new(),
        weight,
        cap: Resources::new(cores * 1_000, u64::MAX, u64::MAX),
    }
}

/// A leader with one worker of 16 cores and a team `a` that may use four of them.
fn capped_harness() -> Harness {
    let mut harness = Harness::new(&[worker("w1", 16)]);
    harness.put_teams(2, vec![team("a", 1, 4), team("b", 1, 16)]);
    harness
}

fn started(harness: &mut Harness, outcome: OrderOutcome) -> Vec<TaskKey> {
    let orders = harness.answer_starts(outcome);
    orders.iter().map(|order| order.task).collect()
}

fn gang(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cores)
    }
}

/// What happens to the runs that fill the cap of a team before another of its steps arrives.
#[derive(Clone, Copy, Debug)]
enum Incident {
    /// The orders have no answer.
    Unanswered,
    /// The runs are at work.
    AtWork,
    /// The job was cancelled, and the worker has accepted the stops.
    Stopping,
    /// Another host has become the leader.
    NewLeader,
    /// The worker is silent, and its lease has not expired.
    SilentWorker,
    /// The configuration does not have the team any more.
    RemovedTeam,
}

/// Guards against starts beyond the cap of a team while runs of it may still be on workers.
#[parameterized(
    unanswered = { Incident::Unanswered },
    at_work = { Incident::AtWork },
    stopping = { Incident::Stopping },
    new_leader = { Incident::NewLeader },
    silent_worker = { Incident::SilentWorker },
    removed_team = { Incident::RemovedTeam },
)]
fn runs_that_may_be_on_workers_count_against_the_cap(incident: Incident) {
    let mut harness = Harness::new(&[worker("w1", 16), worker("w2", 16)]);
    harness.put_teams(2, vec![team("a", 1, 4)]);
    harness.submit_for("a", QUEUE, 1, vec![step(4, 1)]);
    let outcome = match incident {
        Incident::Unanswered => OrderOutcome::Unanswered,
        _ => OrderOutcome::Accepted,
    };
    assert_eq!(started(&mut harness, outcome).len(), 4);
    match incident {
        Incident::Unanswered | Incident::AtWork => {}
        Incident::Stopping => {
            let job = task(1, 0, 0).step.job;
            harness.commit(Command::Cancel { job });
            harness.advance(40);
            assert_eq!(harness.answer_stops(OrderOutcome::Accepted).len(), 4);
        }
        Incident::NewLeader => {
            harness.elect_new_leader();
            harness.answer_poll("w2", &[], &[]);
        }
        Incident::SilentWorker => harness.time_out_poll("w1"),
        Incident::RemovedTeam => harness.put_teams(3, vec![team("b", 1, 16)]),
    }
    harness.submit_for("a", QUEUE, 2, vec![step(1, 1)]);
    harness.advance(200);
    let late = harness
        .starts
        .iter()
        .filter(|order| order.task == task(2, 0, 0));
    assert_eq!(late.count(), 0, "the team is at its cap");
}

/// Guards against a cap that stays taken after the runs have ended.
#[test]
fn ends_free_the_cap() {
    let mut harness = capped_harness();
    harness.submit_for("a", QUEUE, 1, vec![step(6, 1)]);
    let first = started(&mut harness, OrderOutcome::Accepted);
    assert_eq!(first.len(), 4);
    let ends = (1..)
        .zip(&first)
        .map(|(number, task)| (number, *task, 1, RunEnd::Done));
    harness.answer_poll("w1", &[], &ends.collect::<Vec<_>>());
    harness.advance(40);
    assert_eq!(started(&mut harness, OrderOutcome::Accepted).len(), 2);
}

/// Guards against a late start that the leader had given up and that takes the team over its cap.
#[test]
fn unexpected_runs_count_against_the_cap() {
    let mut harness = capped_harness();
    harness.submit_for("a", QUEUE, 1, vec![step(4, 1)]);
    let tasks = started(&mut harness, OrderOutcome::Accepted);
    harness.answer_poll_with("w1", first_runs(&tasks), &[]);
    let job = task(1, 0, 0).step.job;
    harness.commit(Command::Cancel { job });
    harness.advance(40);
    harness.answer_stops(OrderOutcome::Accepted);
    let ends = (1..)
        .zip(&tasks)
        .map(|(number, task)| (number, *task, 1, RunEnd::Stopped));
    // The worker lists the ends and, from orders that it carried out late, the same tasks again.
    harness.answer_poll_with("w1", first_runs(&tasks), &ends.collect::<Vec<_>>());
    harness.submit_for("a", QUEUE, 2, vec![step(1, 1)]);
    harness.advance(200);
    assert!(harness.starts.is_empty(), "late runs still take the cap");
}

/// Guards against a gang that starts in part, or that takes the cap while it waits.
#[test]
fn gang_takes_its_cap_whole_or_waits_without_holding_it() {
    let mut harness = capped_harness();
    harness.submit_for("a", QUEUE, 1, vec![step(1, 1)]);
    assert_eq!(started(&mut harness, OrderOutcome::Accepted).len(), 1);
    harness.submit_for("a", QUEUE, 2, vec![gang(4, 1)]);
    assert!(harness.starts.is_empty(), "the whole gang exceeds the cap");
    harness.submit_for("a", QUEUE, 3, vec![step(1, 1)]);
    assert_eq!(
        started(&mut harness, OrderOutcome::Accepted),
        [task(3, 0, 0)]
    );
}

/// Load: a team at its cap with an urgent gang and many small steps of a less urgent queue. Guards against
/// a gang that never finds its whole need below the cap.
#[test]
fn less_urgent_steps_leave_the_cap_to_a_waiting_gang() {
    let mut harness = capped_harness();
    harness.submit_for("a", LOW_QUEUE, 1, vec![step(8, 1)]);
    let first = started(&mut harness, OrderOutcome::Accepted);
    harness.submit_for("a", QUEUE, 2, vec![gang(4, 1)]);
    for (number, ended) in (1..).zip(&first) {
        harness.answer_poll("w1", &[], &[(number, *ended, 1, RunEnd::Done)]);
        harness.advance(40);
    }
    let gang = started(&mut harness, OrderOutcome::Accepted);
    assert_eq!(gang.iter().filter(|task| task.step.job.0 == 2).count(), 4);
}

/// Guards against a lowered cap that is ignored, and against a raised one that comes into force late.
#[test]
fn changed_cap_binds_the_next_start() {
    let mut harness = capped_harness();
    harness.submit_for("a", QUEUE, 1, vec![step(2, 1)]);
    assert_eq!(started(&mut harness, OrderOutcome::Accepted).len(), 2);
    harness.put_teams(3, vec![team("a", 1, 2)]);
    harness.submit_for("a", QUEUE, 2, vec![step(2, 1)]);
    assert!(harness.starts.is_empty());
    harness.put_teams(4, vec![team("a", 1, 3)]);
    assert_eq!(started(&mut harness, OrderOutcome::Accepted).len(), 1);
}

/// Load: one team sends seven times its usual work while the workers are full. Guards against another
/// team that waits behind the whole burst.
#[parameterized(
    equal_weights = { 1, 1, 4 },
    light_team = { 3, 1, 2 },
)]
fn burst_of_one_team_leaves_the_others_their_share(weight_a: u64, weight_b: u64, least: usize) {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.put_teams(2, vec![team("a", weight_a, 64), team("b", weight_b, 64)]);
    for job in 1..=14 {
        harness.submit_for("a", QUEUE, job, vec![step(4, 1)]);
    }
    let mut running = started(&mut harness, OrderOutcome::Accepted);
    assert_eq!(running.len(), 8, "the burst may use what nobody else needs");
    harness.submit_for("b", QUEUE, 20, vec![step(4, 1)]);
    let ends = (1..)
        .zip(&running)
        .map(|(number, task)| (number, *task, 1, RunEnd::Done));
    harness.answer_poll("w1", &[], &ends.collect::<Vec<_>>());
    harness.advance(40);
    running = started(&mut harness, OrderOutcome::Accepted);
    let of_b = running.iter().filter(|task| task.step.job.0 == 20).count();
    assert!(of_b >= least, "{of_b} of 8 runs");
}

/// Guards against a removed team that makes the shares of the others smaller, and stays in the metrics.
#[test]
fn removed_team_takes_no_share() {
    let mut harness = capped_harness();
    harness.put_teams(3, vec![team("b", 1, 16)]);
    let reports = harness.dispatcher.team_reports();
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!(reports[0].share.cpu_milli, 16_000);
}

/// Guards against metrics that do not show what a team runs and waits for.
#[test]
fn report_shows_usage_and_waiting_tasks() {
    let mut harness = capped_harness();
    harness.submit_for("a", QUEUE, 1, vec![step(6, 1)]);
    harness.advance(100);
    let reports = harness.dispatcher.team_reports();
    let report = reports.iter().find(|report| report.team.as_str() == "a");
    let report = report.expect("the team is known");
    assert_eq!(report.used.cpu_milli, 4_000);
    assert_eq!(report.share.cpu_milli, 8_000);
    assert_eq!((report.waiting_tasks, report.capped_tasks), (2, 2));
}
