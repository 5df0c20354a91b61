//! Choices of the indexed placer between workers that all have room.

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

const PLAIN: Resources = Resources::new(8_000, 8_192, 0);
const WITH_ACCELERATORS: Resources = Resources::new(8_000, 8_192, 4);

/// Guards against the loss of a failure domain taking most tasks of a service with it.
#[parameterized(
    waiting = { PolicyWeights::WAITING },
    packing = { PolicyWeights::PACKING },
    default = { PolicyWeights::default() },
)]
fn service_tasks_are_spread(weights: PolicyWeights) {
    let workers = ["a1", "a2", "b1", "b2", "c1", "c2"].map(|name| (name, &name[..1], PLAIN));
    let placer = placer(weights, &workers);
    let mut req = PlaceRequest::new(5, Resources::new(1_000, 1_024, 0), Workload::Service);
    req.running_in = vec!["a".into()];
    let mut counts = BTreeMap::from([("a".to_owned(), 1)]);
    for worker in placer.place(&req).workers {
        *counts.entry(worker[..1].to_owned()).or_insert(0) += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [2, 2, 2]);
}

/// Guards against plain work taking the place of work that needs an accelerator.
#[parameterized(
    plain_first = { 1, 0, &["p"] },
    accelerators_when_plain_is_full = { 3, 0, &["p", "p", "x"] },
    accelerators_on_demand = { 2, 1, &["x", "x"] },
)]
fn accelerators_are_kept_apart(tasks: u32, accelerators: u64, expected: &[&str]) {
    let placer = placer(
        PolicyWeights::default(),
        &[("x", "d", WITH_ACCELERATORS), ("p", "d", PLAIN)],
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

/// Guards against traffic over links between failure domains that the preference would avoid, and
/// against waiting for a preferred domain that is full.
#[parameterized(
    preferred = { 8_000, "b" },
    elsewhere_when_full = { 500, "a" },
)]
fn preferred_domain_wins_if_it_has_room(free_in_b: u64, expected: &str) {
    let placer = placer(
        PolicyWeights::PACKING,
        &[("a", "a", PLAIN), ("b", "b", PLAIN)],
    );
    placer.reserve(&"a".into(), &Resources::new(6_000, 6_000, 0));
    placer.reserve(&"b".into(), &Resources::new(8_000 - free_in_b, 0, 0));
    let mut req = PlaceRequest::new(1, Resources::new(1_000, 1_024, 0), Workload::Batch);
    req.prefer_domain = Some("b".into());
    assert_eq!(placer.place(&req).workers, [expected.into()]);
}

/// Guards against small work opening an empty worker while a used one has room.
#[test]
fn packing_fills_used_workers_first() {
    let workers = ["a", "b", "c", "d"].map(|name| (name, "d", PLAIN));
    let placer = placer(PolicyWeights::PACKING, &workers);
    placer.reserve(&"c".into(), &Resources::new(4_000, 4_096, 0));
    let req = PlaceRequest::new(4, Resources::new(1_000, 1_024, 0), Workload::Batch);
    assert_eq!(placer.place(&req).workers, vec!["c".into(); 4]);
}

/// Guards against work behind the head of the queue delaying the head's reservation.
#[parameterized(
    ends_before = { Some(Millis(90)), 2 },
    ends_with_it = { Some(Millis(100)), 2 },
    ends_after = { Some(Millis(101)), 1 },
    end_unknown = { None, 1 },
)]
fn backfill_does_not_delay_the_head(ends: Option<Millis>, placed: usize) {
    let placer = placer(
        PolicyWeights::default(),
        &[("a", "d", PLAIN), ("b", "d", PLAIN)],
    );
    let horizon = ExpectedEnds::new();
    let half = Resources::new(4_000, 4_096, 0);
    for (n, (worker, end)) in [("a", 100), ("b", 500)].into_iter().enumerate() {
        let task = TaskId {
            job: JobId(n as u64),
            index: 0,
        };
        placer.reserve(&worker.into(), &half);
        horizon.record(&worker.into(), task, half, Millis(end));
    }
    let head = PlaceRequest::new(1, PLAIN, Workload::Batch);
    assert!(placer.place(&head).is_empty());
    let held = horizon
        .plan_reservation(Millis(10), JobId(9), &head, &placer)
        .unwrap();
    assert_eq!((held.at, held.workers.len()), (Millis(100), 1));
    assert!(held.workers.contains_key("a"));

    let mut behind = PlaceRequest::new(2, half, Workload::Batch);
    behind.ends_by = ends;
    behind.head_reservation = Some(Arc::new(held));
    let workers = placer.place(&behind).workers;
    assert_eq!(workers.len(), placed);

    // At the reserved time what was to end has ended, and the head must fit.
    placer.release(&"a".into(), &half);
    if workers.contains(&"a".into()) {
        placer.release(&"a".into(), &half);
    }
    assert_eq!(placer.place(&head).workers, ["a".into()]);
}

/// Guards against a task that runs beyond its expected end counting as room now, which left the
/// head of the queue waiting without preemption.
#[parameterized(
    just_late = { 1_000, 11_000 },
    as_late_again = { 61_000, 121_000 },
)]
fn overdue_task_is_not_room_now(now: u64, at: u64) {
    let placer = placer(PolicyWeights::default(), &[("a", "d", PLAIN)]);
    let horizon = ExpectedEnds::new();
    let task = TaskId::default();
    placer.reserve(&"a".into(), &PLAIN);
    horizon.record(&"a".into(), task, PLAIN, Millis(1_000));
    let req = PlaceRequest::new(1, PLAIN, Workload::Batch);
    let held = horizon
        .plan_reservation(Millis(now), JobId(1), &req, &placer)
        .unwrap();
    assert_eq!(held.at, Millis(at));
}

/// Guards against a count of room that adds up amounts of different workers, or counts a worker
/// that takes nothing new.
#[test]
fn room_is_counted_worker_by_worker() {
    let placer = placer(
        PolicyWeights::default(),
        &[("a", "d", PLAIN), ("b", "d", PLAIN), ("c", "d", PLAIN)],
    );
    placer.set_schedulable(&"c".into(), false);
    let size = Resources::new(3_000, 1_024, 0);
    assert_eq!(placer.count_fitting_tasks(&size, 9), 4);
    assert_eq!(placer.count_fitting_tasks(&size, 3), 3);
    assert_eq!(placer.count_fitting_tasks(&PLAIN.times(2), 9), 0);
}

/// Guards against a promise that no end of running work can keep.
#[test]
fn head_that_never_fits_has_no_reservation() {
    let placer = placer(PolicyWeights::default(), &[("a", "d", PLAIN)]);
    let req = PlaceRequest::new(2, Resources::new(5_000, 0, 0), Workload::AllOrNothing);
    assert_eq!(
        ExpectedEnds::new().plan_reservation(Millis(0), JobId(1), &req, &placer),
        None
    );
}
