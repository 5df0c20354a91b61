//! Jobs with very many occurrences.

use std::collections::BTreeSet;

use proptest::{collection::vec, prelude::*};
use tarragon_names::{Millis, Name, PoolName, WorkerName};
use tarragon_workflow::{
    Command, Configuration, Job, JobKey, JobPhase, JobSpec, OccurrenceSet, Queue, RunEnd, RunEvent,
    StepKey, StepSpec, TaskKey, WorkerIncarnation, WorkerPool, WorkflowState,
};
use yare::parameterized;

const JOB: JobKey = JobKey(1);

/// Number of occurrences of the largest job that a caller can submit.
const MOST: u32 = u32::MAX;

fn spec(first_at_ms: u64, interval_ms: u64, repeat_count: u32) -> JobSpec {
    let step = StepSpec {
        count: 1,
        ..StepSpec::default()
    };
    JobSpec {
        payload: Name::from("work"),
        steps: vec![step],
        first_at_ms,
        interval: Millis(interval_ms),
        repeat_count,
    }
}

fn state_with(spec: JobSpec) -> WorkflowState {
    let state = WorkflowState::new(120_000);
    let queue = Queue {
        name: Name::from("q"),
        host: Name::from("h"),
        prefix: Name::from("/q/"),
        pool: PoolName::from("p"),
        priority: 0,
        max_attempts: 3,
        stretch_permille: 2_000,
        target_latency: Millis(500),
        advice: None,
    };
    let pool = WorkerPool {
        pool: PoolName::from("p"),
        enforces_capacity: false,
        is_powered_off: false,
    };
    let configuration = Configuration {
        version: 1,
        queues: vec![queue],
        pools: vec![pool],
        ..Configuration::default()
    };
    state.apply(1, &Command::PutConfiguration(configuration));
    let (job, queue) = (JOB, Name::from("q"));
    state.apply(1, &Command::Submit { job, queue, spec });
    state
}

fn job<F, R>(state: &WorkflowState, f: F) -> R
where
    F: FnOnce(&Job) -> R,
{
    state.with_job(JOB, f).expect("the job is known")
}

fn complete(state: &WorkflowState, occurrence: u32) {
    let step = StepKey {
        job: JOB,
        occurrence,
        step: 0,
    };
    let task = TaskKey { step, index: 0 };
    let incarnation = WorkerIncarnation {
        worker: WorkerName::from("w"),
        started_ms: 1,
    };
    let placed = RunEvent::Placed {
        task,
        run: 1,
        incarnation: incarnation.clone(),
    };
    let ended = RunEvent::Ended {
        incarnation,
        number: u64::from(occurrence) + 1,
        task,
        run: 1,
        end: RunEnd::Done,
        checkpoint: None,
    };
    state.apply(2, &Command::RunEvents(vec![placed, ended]));
}

/// Guards against memory and time that follow the number of occurrences that are due. With a loop over
/// all of them, this test does not end.
#[parameterized(
    no_start_time = { spec(0, 60_000, MOST), Some(4_000_000_020_000) },
    all_at_once = { spec(0, 0, MOST), None },
    under_way = { spec(3_999_999_000_000, 1, MOST), Some(4_000_000_000_001) },
    all_passed = { spec(0, 1, MOST), None },
    in_the_future = { spec(4_100_000_000_000, 1, MOST), Some(4_100_000_000_000) },
    far_in_the_future = { spec(u64::MAX, u64::MAX, MOST), Some(u64::MAX) },
)]
fn occurrences_that_wait_cost_nothing(spec: JobSpec, next_due_ms: Option<u64>) {
    const NOW_MS: u64 = 4_000_000_000_000;
    let is_due = spec.first_at_ms <= NOW_MS;
    let state = state_with(spec);
    for _ in 0..1_000 {
        let open = job(&state, |job| job.open_occurrences(NOW_MS, 8));
        assert_eq!(open, (0..8).filter(|_| is_due).collect::<Vec<_>>());
        assert_eq!(job(&state, |job| job.next_due_ms(NOW_MS)), next_due_ms);
    }
}

/// Guards against occurrences that are never opened, or that are opened again after they are done.
#[test]
fn each_occurrence_is_opened_once() {
    let state = state_with(spec(0, 1, 100));
    let mut completed = BTreeSet::new();
    while job(&state, |job| job.phase) != JobPhase::Completed {
        let open = job(&state, |job| job.open_occurrences(1_000, 7));
        // Later ones end first.
        let last = *open.last().expect("an occurrence is open");
        assert!(completed.insert(last), "{last} is opened again");
        complete(&state, last);
    }
    assert_eq!(completed.len(), 100);
}

/// Guards against a task that runs again after a restart of the hosts, and against a snapshot that grows
/// with the number of done occurrences.
#[parameterized(
    few = { 1_000 },
    many = { 20_000 },
)]
fn done_occurrences_survive_a_snapshot(count: u32) {
    let state = state_with(spec(0, 1, MOST));
    (0..count).for_each(|occurrence| complete(&state, occurrence));
    complete(&state, count + 1);
    let snapshot = state.snapshot();
    let listed = snapshot.jobs.iter().map(|job| job.occurrences.len());
    assert!(listed.sum::<usize>() <= 1_000);
    let restored = WorkflowState::new(120_000);
    restored.restore(snapshot.clone());
    let open = job(&restored, |job| job.open_occurrences(u64::MAX / 2, 2));
    assert_eq!(open, [count, count + 2]);
    assert_eq!(restored.snapshot(), snapshot);
}

proptest! {
    /// Guards against a set of ranges that differs from a set of numbers.
    #[test]
    fn occurrence_set_holds_what_was_inserted(
        numbers in vec(prop_oneof![0_u32..40, MOST - 3..=MOST], 0..60),
        from in prop_oneof![0_u32..41, MOST - 3..=MOST],
    ) {
        let set = numbers.iter().copied().collect::<OccurrenceSet>();
        let expected = numbers.into_iter().collect::<BTreeSet<_>>();
        prop_assert_eq!(set.len(), expected.len() as u64);
        prop_assert!(set.iter().eq(expected.iter().copied()));
        prop_assert!((0..45).all(|number| set.contains(number) == expected.contains(&number)));
        let mut absent = (from..=MOST).filter(|number| !expected.contains(number));
        prop_assert_eq!(set.next_absent(from), absent.next());
    }
}
