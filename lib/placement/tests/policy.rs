//! Choices of the indexed placer between workers with enough capacity, and reservations for the
//! head of the queue.

use std::{collections::BTreeMap, sync::Arc};

use tarragon_names::{JobId, Millis, Resources, TaskId, Workload};
use tarragon_placement::{
    ExpectedEnds, IndexedPlacer, PlaceRequest, Placer, PolicyWeights, WorkerInfo,
};
use yare::parameterized;

fn placer(weights: PolicyWeights, workers: &[(&str, &str, Resources)]) -> IndexedPlacer {
    let placer = IndexedPlacer::new(weights);
    for (n, (name, domain, capacity)) in workers.iter().enumerate() {
        placer.upsert_worker(WorkerInfo::new(
            (*name).into(),
            (*domain).into(),
            format!("r{n}").into(),
            *capacity,
        ));
    }
    placer
}

const CPU_ONLY: Resources = Resources::new(8_000, 8_192, 0);
const WITH_ACCELERATORS: Resources = Resources::new(8_000, 8_192, 4);

/// Guards against a service most of whose tasks fail with one failure domain.
#[parameterized(
    waiting = { PolicyWeights::WAITING },
    packing = { PolicyWeights::PACKING },
    default = { PolicyWeights::default() },
)]
fn service_tasks_are_spread_over_failure_domains(weights: PolicyWeights) {
    let workers = ["a1", "a2", "b1", "b2", "c1", "c2"].map(|name| (name, &name[..1], CPU_ONLY));
    let placer = placer(weights, &workers);
    let mut req = PlaceRequest::new(5, Resources::new(1_000, 1_024, 0), Workload::Service);
    req.running_in = vec!["a".into()];
    let mut counts = BTreeMap::from([("a".to_owned(), 1)]);
    for worker in placer.place(&req).workers {
        *counts.entry(worker[..1].to_owned()).or_insert(0) += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [2, 2, 2]);
}

/// Guards against tasks without accelerators that use up workers with accelerators.
#[parameterized(
    no_accelerator_worker_first = { 1, 0, &["p"] },
    accelerator_worker_if_the_other_is_full = { 3, 0, &["p", "p", "x"] },
    accelerators_if_needed = { 2, 1, &["x", "x"] },
)]
fn accelerator_workers_are_used_last_for_other_tasks(
    tasks: u32,
    accelerators: u64,
    expected: &[&str],
) {
    let placer = placer(
        PolicyWeights::default(),
        &[("x", "d", WITH_ACCELERATORS), ("p", "d", CPU_ONLY)],
    );
    let size = Resources::new(4_000, 1_024, accelerators);
    let mut workers = placer
        .place(&PlaceRequest::new(tasks, size, Workload::Batch))
        .workers;
    workers.sort();
    assert_eq!(
        workers
            .iter()
            .map(tarragon_names::WorkerName::as_str)
            .collect::<Vec<_>>(),
        expected
    );
}

/// Guards against avoidable traffic between failure domains, and against waiting for a preferred
/// domain that is full.
#[parameterized(
    preferred = { 8_000, "b" },
    other_domain_if_full = { 500, "a" },
)]
fn preferred_domain_is_chosen_if_the_task_fits(free_in_b: u64, expected: &str) {
    let placer = placer(
        PolicyWeights::PACKING,
        &[("a", "a", CPU_ONLY), ("b", "b", CPU_ONLY)],
    );
    placer.reserve(&"a".into(), &Resources::new(6_000, 6_000, 0));
    placer.reserve(&"b".into(), &Resources::new(8_000 - free_in_b, 0, 0));
    let mut req = PlaceRequest::new(1, Resources::new(1_000, 1_024, 0), Workload::Batch);
    req.prefer_domain = Some("b".into());
    assert_eq!(placer.place(&req).workers, [expected.into()]);
}

/// Guards against placing small tasks on an empty worker while they fit on a partly reserved one.
#[test]
fn packing_prefers_partly_reserved_workers() {
    let workers = ["a", "b", "c", "d"].map(|name| (name, "d", CPU_ONLY));
    let placer = placer(PolicyWeights::PACKING, &workers);
    placer.reserve(&"c".into(), &Resources::new(4_000, 4_096, 0));
    let req = PlaceRequest::new(4, Resources::new(1_000, 1_024, 0), Workload::Batch);
    assert_eq!(placer.place(&req).workers, vec!["c".into(); 4]);
}

/// Guards against backfilled tasks that delay the reservation of the job at the head of the queue.
#[parameterized(
    ends_before_reservation = { Some(Millis(90)), 2 },
    ends_at_reservation = { Some(Millis(100)), 2 },
    ends_after_reservation = { Some(Millis(101)), 1 },
    end_unknown = { None, 1 },
)]
fn backfill_does_not_delay_the_head(ends: Option<Millis>, placed: usize) {
    let placer = placer(
        PolicyWeights::default(),
        &[("a", "d", CPU_ONLY), ("b", "d", CPU_ONLY)],
    );
    let expected_ends = ExpectedEnds::new();
    let half = Resources::new(4_000, 4_096, 0);
    for (n, (worker, end)) in [("a", 100), ("b", 500)].into_iter().enumerate() {
        let task = TaskId {
            job: JobId(n as u64),
            index: 0,
        };
        placer.reserve(&worker.into(), &half);
        expected_ends.record(&worker.into(), task, half, Millis(end));
    }
    let head = PlaceRequest::new(1, CPU_ONLY, Workload::Batch);
    assert!(placer.place(&head).is_empty());
    let reservation = expected_ends
        .plan_reservation(Millis(10), JobId(9), &head, &placer)
        .unwrap();
    assert_eq!(
        (reservation.at, reservation.workers.len()),
        (Millis(100), 1)
    );
    assert!(reservation.workers.contains_key("a"));

    let mut backfill = PlaceRequest::new(2, half, Workload::Batch);
    backfill.ends_by = ends;
    backfill.head_reservation = Some(Arc::new(reservation));
    let workers = placer.place(&backfill).workers;
    assert_eq!(workers.len(), placed);

    // At the reserved time, the tasks that were to end by then have ended, and the head must fit.
    placer.release(&"a".into(), &half);
    if workers.contains(&"a".into()) {
        placer.release(&"a".into(), &half);
    }
    assert_eq!(placer.place(&head).workers, ["a".into()]);
}

/// Guards against a reservation at the current time that counts on an overdue task to end now. With
/// such a reservation, the head of the queue kept waiting without preemption.
#[parameterized(
    minimum_remainder = { 1_000, 11_000 },
    as_long_as_overdue = { 61_000, 121_000 },
)]
fn overdue_task_is_not_expected_to_end_now(now: u64, at: u64) {
    let placer = placer(PolicyWeights::default(), &[("a", "d", CPU_ONLY)]);
    let expected_ends = ExpectedEnds::new();
    let task = TaskId::default();
    placer.reserve(&"a".into(), &CPU_ONLY);
    expected_ends.record(&"a".into(), task, CPU_ONLY, Millis(1_000));
    let req = PlaceRequest::new(1, CPU_ONLY, Workload::Batch);
    let reservation = expected_ends
        .plan_reservation(Millis(now), JobId(1), &req, &placer)
        .unwrap();
    assert_eq!(reservation.at, Millis(at));
}

/// Guards against a count that adds up the free capacity of different workers, or includes a worker
/// that is not schedulable.
#[test]
fn fitting_tasks_are_counted_per_worker() {
    let placer = placer(
        PolicyWeights::default(),
        &[
            ("a", "d", CPU_ONLY),
            ("b", "d", CPU_ONLY),
            ("c", "d", CPU_ONLY),
        ],
    );
    placer.set_schedulable(&"c".into(), false);
    let size = Resources::new(3_000, 1_024, 0);
    assert_eq!(placer.count_fitting_tasks(&size, 9), 4);
    assert_eq!(placer.count_fitting_tasks(&size, 3), 3);
    assert_eq!(placer.count_fitting_tasks(&CPU_ONLY.times(2), 9), 0);
}

/// Guards against a reservation for a job that does not fit even after all running tasks have ended.
#[test]
fn job_that_never_fits_gets_no_reservation() {
    let placer = placer(PolicyWeights::default(), &[("a", "d", CPU_ONLY)]);
    let req = PlaceRequest::new(2, Resources::new(5_000, 0, 0), Workload::AllOrNothing);
    assert_eq!(
        ExpectedEnds::new().plan_reservation(Millis(0), JobId(1), &req, &placer),
        None
    );
}
