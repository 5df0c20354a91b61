//! Choice of the tasks that are preempted.

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

fn preemptor() -> Preemptor {
    Preemptor {
        class: Class::Urgent,
        borrows: false,
        resources: Resources::new(4_000, 4_096, 0),
        tasks: 1,
        all_or_nothing: false,
        expected_wait: Millis(30_000),
    }
}

fn choose(preemptor: &Preemptor, victims: &[Victim], free: Resources) -> Vec<(u64, PreemptMethod)> {
    PreemptionPolicy::default()
        .choose(preemptor, victims, |_| free)
        .into_iter()
        .map(|action| (action.task.job.0, action.method))
        .collect()
}

fn victim_with<F>(change: F) -> Victim
where
    F: FnOnce(&mut Victim),
{
    let mut victim = victim(1);
    change(&mut victim);
    victim
}

/// Guards against a preemption that loses more work than it saves waiting time, and against the
/// preemption of tasks that must keep running.
#[parameterized(
    lower_class = { victim(1), &[(1, PreemptMethod::Stop)] },
    checkpoint = { victim_with(|v| v.can_checkpoint = true), &[(1, PreemptMethod::Checkpoint)] },
    new_task_stops_without_checkpoint = { victim_with(|v| { v.can_checkpoint = true; v.elapsed = Millis(2_000) }), &[(1, PreemptMethod::Stop)] },
    loss_outweighs_wait = { victim_with(|v| { v.class = Class::Standard; v.elapsed = Millis(600_000) }), &[] },
    same_class = { victim_with(|v| v.class = Class::Urgent), &[] },
    same_class_on_borrowed_quota = { victim_with(|v| { v.class = Class::Urgent; v.borrows = true; v.elapsed = Millis(1_000) }), &[(1, PreemptMethod::Stop)] },
    service = { victim_with(|v| v.workload = Workload::Service), &[] },
    all_or_nothing = { victim_with(|v| v.workload = Workload::AllOrNothing), &[] },
    not_enough_memory = { victim_with(|v| v.resources = Resources::new(4_000, 1_024, 0)), &[] },
)]
fn task_is_preempted_only_if_allowed_and_worth_it(
    victim: Victim,
    expected: &[(u64, PreemptMethod)],
) {
    assert_eq!(choose(&preemptor(), &[victim], Resources::ZERO), expected);
}

/// Guards against the preemption of more tasks than the preemptor needs: a small task that is
/// selected first must be dropped once a larger one frees enough.
#[test]
fn victims_that_are_not_needed_keep_running() {
    let mut small = victim(1);
    small.resources = Resources::new(1_000, 1_024, 0);
    small.elapsed = Millis(1);
    let victims = [small, victim(2), victim(3)];
    let free = Resources::ZERO;
    assert_eq!(
        choose(&preemptor(), &victims, free),
        [(2, PreemptMethod::Stop)]
    );
}

/// Guards against a task that is stopped again and again, because a stop right after its start
/// loses no work.
#[parameterized(long_wait = { 30_000, 1 }, short_wait = { 70, 0 })]
fn stop_of_a_new_task_costs_a_restart(wait: u64, preempted: usize) {
    let preemptor = Preemptor {
        expected_wait: Millis(wait),
        ..preemptor()
    };
    let new_task = victim_with(|v| v.elapsed = Millis(0));
    assert_eq!(
        choose(&preemptor, &[new_task], Resources::ZERO).len(),
        preempted
    );
}

/// Guards against counting free capacity, which other tasks of the job will use, towards the task
/// that does not fit.
#[test]
fn capacity_of_fitting_tasks_does_not_replace_a_victim() {
    let free = Resources::new(8_000, 8_192, 0);
    assert_eq!(
        choose(&preemptor(), &[victim(1)], free),
        [(1, PreemptMethod::Stop)]
    );
}

/// Guards against preempting a team within its guarantee while another team uses borrowed quota.
#[test]
fn borrowing_team_is_preempted_first() {
    let mut borrower = victim(2);
    borrower.borrows = true;
    borrower.elapsed = Millis(90_000);
    let victims = [victim(1), borrower];
    let free = Resources::ZERO;
    assert_eq!(
        choose(&preemptor(), &victims, free),
        [(2, PreemptMethod::Stop)]
    );
}

/// Guards against stopping a task where half of its processor time is enough.
#[test]
fn task_is_throttled_if_only_processor_time_is_short() {
    let free = Resources::new(2_000, 8_192, 0);
    let mut victim = victim(1);
    victim.remaining = Millis(10_000);
    assert_eq!(
        choose(&preemptor(), &[victim], free),
        [(1, PreemptMethod::Throttle)]
    );
}

/// Guards against preempting tasks for only a part of an all-or-nothing job, which cannot start
/// with it.
#[parameterized(enough = { 2, 2 }, one_task_short = { 3, 0 })]
fn all_or_nothing_job_preempts_for_all_tasks_or_none(tasks: u32, preempted: usize) {
    let mut other = victim(2);
    other.worker = "v".into();
    let preemptor = Preemptor {
        tasks,
        all_or_nothing: true,
        ..preemptor()
    };
    let victims = [victim(1), other];
    assert_eq!(
        choose(&preemptor, &victims, Resources::ZERO).len(),
        preempted
    );
}
