//! Choice of the tasks that give way.

use tarragon_names::{Class, JobId, Millis, Resources, TaskId, Workload};
use tarragon_queue::{PreemptMethod, PreemptionPolicy, Preemptor, Victim};
use yare::parameterized;

fn victim(id: u64) -> Victim {
    Victim {
        task: TaskId {
            job: JobId(id),
            index: 0,
        },
        worker: "w".into(),
        class: Class::Overnight,
        borrows: false,
        workload: Workload::Batch,
        resources: Resources::new(4_000, 4_096, 0),
        elapsed: Millis(60_000),
        remaining: Millis(600_000),
        can_checkpoint: false,
    }
}

fn claim() -> Preemptor {
    Preemptor {
        class: Class::Urgent,
        borrows: false,
        resources: Resources::new(4_000, 4_096, 0),
        tasks: 1,
        all_or_nothing: false,
        expected_wait: Millis(30_000),
    }
}

fn choose(claim: &Preemptor, victims: &[Victim], free: Resources) -> Vec<(u64, PreemptMethod)> {
    PreemptionPolicy::default()
        .choose(claim, victims, |_| free)
        .into_iter()
        .map(|action| (action.task.job.0, action.method))
        .collect()
}

fn with<F>(change: F) -> Victim
where
    F: FnOnce(&mut Victim),
{
    let mut victim = victim(1);
    change(&mut victim);
    victim
}

/// Guards against the loss of work that is worth more than the waiting time saved, and against
/// taking what must not be taken.
#[parameterized(
    overnight = { victim(1), &[(1, PreemptMethod::Stop)] },
    checkpoint = { with(|v| v.can_checkpoint = true), &[(1, PreemptMethod::Checkpoint)] },
    young_stops_without_checkpoint = { with(|v| { v.can_checkpoint = true; v.elapsed = Millis(2_000) }), &[(1, PreemptMethod::Stop)] },
    standard_that_ran_long = { with(|v| { v.class = Class::Standard; v.elapsed = Millis(600_000) }), &[] },
    same_class = { with(|v| v.class = Class::Urgent), &[] },
    same_class_on_borrowed_quota = { with(|v| { v.class = Class::Urgent; v.borrows = true; v.elapsed = Millis(1_000) }), &[(1, PreemptMethod::Stop)] },
    service = { with(|v| v.workload = Workload::Service), &[] },
    part_of_a_whole = { with(|v| v.workload = Workload::AllOrNothing), &[] },
    too_small = { with(|v| v.resources = Resources::new(4_000, 1_024, 0)), &[] },
)]
fn only_what_pays_is_taken(victim: Victim, expected: &[(u64, PreemptMethod)]) {
    assert_eq!(choose(&claim(), &[victim], Resources::ZERO), expected);
}

/// Guards against more tasks giving way than the claim needs.
#[test]
fn superfluous_victims_are_spared() {
    let mut small = victim(1);
    small.resources = Resources::new(1_000, 1_024, 0);
    small.elapsed = Millis(1);
    let victims = [small, victim(2), victim(3)];
    let free = Resources::ZERO;
    assert_eq!(choose(&claim(), &victims, free), [(2, PreemptMethod::Stop)]);
}

/// Guards against a task being stopped again and again: one that just started is not free to stop.
#[parameterized(long_wait = { 30_000, 1 }, short_wait = { 70, 0 })]
fn young_task_has_a_restart_cost(wait: u64, taken: usize) {
    let claim = Preemptor {
        expected_wait: Millis(wait),
        ..claim()
    };
    let young = with(|v| v.elapsed = Millis(0));
    assert_eq!(choose(&claim, &[young], Resources::ZERO).len(), taken);
}

/// Guards against room that is free already counting towards what is missing.
#[test]
fn free_room_does_not_replace_a_victim() {
    let free = Resources::new(8_000, 8_192, 0);
    assert_eq!(
        choose(&claim(), &[victim(1)], free),
        [(1, PreemptMethod::Stop)]
    );
}

/// Guards against borrowed quota being kept while a team's own work is stopped.
#[test]
fn borrowed_quota_is_returned_first() {
    let mut borrower = victim(2);
    borrower.borrows = true;
    borrower.elapsed = Millis(90_000);
    let victims = [victim(1), borrower];
    let free = Resources::ZERO;
    assert_eq!(choose(&claim(), &victims, free), [(2, PreemptMethod::Stop)]);
}

/// Guards against work being stopped where half of its processor time is enough.
#[test]
fn processor_time_is_throttled() {
    let free = Resources::new(2_000, 8_192, 0);
    let mut short = victim(1);
    short.remaining = Millis(10_000);
    assert_eq!(
        choose(&claim(), &[short], free),
        [(1, PreemptMethod::Throttle)]
    );
}

/// Guards against some tasks of an all-or-nothing job getting room that is of no use alone.
#[parameterized(enough = { 2, 2 }, one_short = { 3, 0 })]
fn whole_claim_takes_all_or_nothing(tasks: u32, taken: usize) {
    let mut other = victim(2);
    other.worker = "v".into();
    let claim = Preemptor {
        tasks,
        all_or_nothing: true,
        ..claim()
    };
    let victims = [victim(1), other];
    assert_eq!(choose(&claim, &victims, Resources::ZERO).len(), taken);
}
