//! Rules that hold for every placer.

use std::{collections::HashMap, sync::Arc, thread};

use proptest::prelude::*;
use tarragon_names::{Resources, WorkerName, Workload};
use tarragon_placement::{
    FirstFit, IndexedPlacer, PlaceRequest, Placer, PolicyWeights, RandomOfTwo, WorkerInfo,
};
use yare::parameterized;

fn new_first_fit() -> Arc<dyn Placer> {
    Arc::new(FirstFit::new())
}

fn new_random_of_two() -> Arc<dyn Placer> {
    Arc::new(RandomOfTwo::new(7))
}

fn new_waiting() -> Arc<dyn Placer> {
    Arc::new(IndexedPlacer::new(PolicyWeights::WAITING))
}

fn new_packing() -> Arc<dyn Placer> {
    Arc::new(IndexedPlacer::new(PolicyWeights::PACKING))
}

fn add_workers(placer: &dyn Placer, workers: u64, capacity: Resources) {
    for n in 0..workers {
        placer.upsert_worker(WorkerInfo::new(
            format!("w{n}").into(),
            format!("d{}", n % 3).into(),
            format!("r{}", n / 8).into(),
            capacity,
        ));
    }
}

/// Guards against reservations beyond the capacity of a worker, and against capacity that is lost
/// on release.
#[parameterized(
    first_fit = { new_first_fit },
    random_of_two = { new_random_of_two },
    waiting = { new_waiting },
    packing = { new_packing },
)]
fn capacity_is_never_exceeded(new_placer: fn() -> Arc<dyn Placer>) {
    let step = (0_u64..4, 1_u64..9, 1_u64..9, 0_u64..3, 1_u32..6);
    proptest!(ProptestConfig::with_cases(64), |(steps in prop::collection::vec(step, 1..80))| {
        let placer = new_placer();
        add_workers(&*placer, 12, Resources::new(8_000, 8_192, 2));
        let mut reserved_tasks: Vec<(WorkerName, Resources)> = Vec::new();
        for (op, cpu, memory, accelerators, tasks) in steps {
            if op == 0 && !reserved_tasks.is_empty() {
                let (worker, resources) = reserved_tasks.swap_remove((cpu as usize) % reserved_tasks.len());
                placer.release(&worker, &resources);
                continue;
            }
            let kind = if op == 1 { Workload::AllOrNothing } else { Workload::Batch };
            let size = Resources::new(cpu * 1_000, memory * 1_024, accelerators);
            let placed = placer.place(&PlaceRequest::new(tasks, size, kind));
            prop_assert!(placed.len() <= tasks as usize);
            prop_assert!(op != 1 || placed.is_empty() || placed.len() == tasks as usize);
            reserved_tasks.extend(placed.workers.into_iter().map(|worker| (worker, size)));
        }
        let mut used = HashMap::<WorkerName, Resources>::new();
        for (worker, resources) in &reserved_tasks {
            *used.entry(worker.clone()).or_default() += *resources;
        }
        let mut result = Ok(());
        placer.visit(&mut |info| {
            let used = used.get(&info.name).copied().unwrap_or_default();
            if info.reserved != used || !used.fits(&info.capacity) {
                result = Err(TestCaseError::fail(format!("{info:?}, expected reserved {used} within the capacity")));
            }
        });
        result?;
        prop_assert_eq!(placer.totals().reserved, used.values().copied().sum::<Resources>());
    });
}

/// Guards against an index that misses a worker: a task must be placed if it fits on any worker.
#[parameterized(waiting = { new_waiting }, packing = { new_packing })]
fn task_is_placed_if_any_worker_fits_it(new_placer: fn() -> Arc<dyn Placer>) {
    let sizes = prop::collection::vec((1_u64..33, 1_u64..65, 0_u64..3), 1..60);
    proptest!(ProptestConfig::with_cases(64), |(reserved in sizes, need in (1_u64..33, 1_u64..65, 0_u64..3))| {
        let placer = new_placer();
        let capacity = Resources::new(32_000, 65_536, 2);
        let size = |(cpu, memory, acc): (u64, u64, u64)| Resources::new(cpu * 1_000, memory * 1_024, acc);
        add_workers(&*placer, reserved.len() as u64, capacity);
        for (n, reserved) in reserved.iter().enumerate() {
            let worker = format!("w{n}").into();
            prop_assert!(placer.reserve(&worker, &size(*reserved)));
        }
        let need = size(need);
        let fits = reserved
            .iter()
            .any(|reserved| need.fits(&capacity.saturating_sub(&size(*reserved))));
        let placed = placer.place(&PlaceRequest::new(1, need, Workload::Batch));
        prop_assert_eq!(placed.len(), usize::from(fits));
    });
}

/// Guards against an all-or-nothing request that does not fit but keeps a part of its reservations.
#[parameterized(
    first_fit = { new_first_fit },
    random_of_two = { new_random_of_two },
    waiting = { new_waiting },
    packing = { new_packing },
)]
fn all_or_nothing_request_that_does_not_fit_reserves_nothing(new_placer: fn() -> Arc<dyn Placer>) {
    let placer = new_placer();
    add_workers(&*placer, 10, Resources::new(4_000, 4_096, 0));
    let size = Resources::new(3_000, 1_024, 0);
    let placed = placer.place(&PlaceRequest::new(11, size, Workload::AllOrNothing));
    assert!(placed.is_empty());
    assert_eq!(placer.totals().reserved, Resources::ZERO);
    assert_eq!(placer.largest_free(), Resources::new(4_000, 4_096, 0));
    let placed = placer.place(&PlaceRequest::new(10, size, Workload::AllOrNothing));
    assert_eq!(placed.len(), 10);
}

/// Guards against two concurrent all-or-nothing requests that each reserve a part of the capacity
/// that the other one needs, so that neither is placed. Each needs more than half of the workers.
#[parameterized(
    first_fit = { new_first_fit },
    random_of_two = { new_random_of_two },
    waiting = { new_waiting },
    packing = { new_packing },
)]
fn one_of_two_competing_requests_is_placed(new_placer: fn() -> Arc<dyn Placer>) {
    for _ in 0..50 {
        let placer = new_placer();
        add_workers(&*placer, 40, Resources::new(1_000, 1_024, 0));
        let req = PlaceRequest::new(21, Resources::new(1_000, 1_024, 0), Workload::AllOrNothing);
        let placed = thread::scope(|scope| {
            let threads = [0, 1].map(|_| scope.spawn(|| placer.place(&req).len()));
            threads.map(|thread| thread.join().unwrap())
        });
        assert_eq!(
            placed.iter().sum::<usize>(),
            21,
            "placed {placed:?}, expected all tasks of one request"
        );
        assert!(placed.contains(&0));
    }
}

/// Guards against lost updates and double reservations between threads that place and release
/// tasks.
#[parameterized(
    first_fit = { new_first_fit },
    random_of_two = { new_random_of_two },
    waiting = { new_waiting },
    packing = { new_packing },
)]
fn concurrent_decisions_do_not_reserve_the_same_capacity(new_placer: fn() -> Arc<dyn Placer>) {
    let placer = new_placer();
    add_workers(&*placer, 32, Resources::new(4_000, 4_096, 0));
    let size = Resources::new(1_000, 1_024, 0);
    let placed = thread::scope(|scope| {
        let threads = [
            Workload::Batch,
            Workload::AllOrNothing,
            Workload::Service,
            Workload::Batch,
        ]
        .map(|kind| {
            let placer = &placer;
            scope.spawn(move || {
                let mut reserved_tasks = Vec::new();
                for round in 0..200 {
                    reserved_tasks.extend(placer.place(&PlaceRequest::new(3, size, kind)).workers);
                    if round % 3 == 0 {
                        for worker in reserved_tasks.drain(..reserved_tasks.len() / 2) {
                            placer.release(&worker, &size);
                        }
                    }
                }
                reserved_tasks.len()
            })
        });
        threads
            .map(|thread| thread.join().unwrap())
            .iter()
            .sum::<usize>()
    });
    let totals = placer.totals();
    assert_eq!(totals.reserved, size.times(placed as u64));
    assert!(totals.reserved.fits(&totals.capacity));
    placer.visit(&mut |info| assert!(info.reserved.fits(&info.capacity), "exceeded: {info:?}"));
}

/// Guards against tasks on a worker that is draining, excluded or removed.
#[parameterized(
    first_fit = { new_first_fit },
    random_of_two = { new_random_of_two },
    waiting = { new_waiting },
    packing = { new_packing },
)]
fn unusable_workers_get_no_tasks(new_placer: fn() -> Arc<dyn Placer>) {
    let placer = new_placer();
    add_workers(&*placer, 4, Resources::new(1_000, 1_024, 0));
    assert!(placer.set_schedulable(&"w0".into(), false));
    assert!(placer.remove_worker(&"w1".into()));
    assert!(!placer.remove_worker(&"w1".into()));
    let mut req = PlaceRequest::new(4, Resources::new(1_000, 1_024, 0), Workload::Batch);
    req.exclude = vec!["w2".into()];
    assert_eq!(placer.place(&req).workers, ["w3".into()]);
    assert!(placer.set_schedulable(&"w0".into(), true));
    assert_eq!(placer.place(&req).workers, ["w0".into()]);
}

/// Guards against ignoring a running task that exceeds the capacity of its worker: its reservation
/// must keep new tasks away.
#[parameterized(first_fit = { new_first_fit }, packing = { new_packing })]
fn running_task_is_reserved_beyond_capacity(new_placer: fn() -> Arc<dyn Placer>) {
    let placer = new_placer();
    add_workers(&*placer, 1, Resources::new(2_000, 2_048, 0));
    let size = Resources::new(1_500, 1_024, 0);
    assert!(placer.reserve(&"w0".into(), &size));
    assert!(!placer.reserve(&"w0".into(), &size));
    assert_eq!(placer.free(&"w0".into()), Some(Resources::ZERO));
    placer.release(&"w0".into(), &size);
    assert_eq!(
        placer.free(&"w0".into()),
        Some(Resources::new(500, 1_024, 0))
    );
}
