//! Rules that every placer keeps.

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

fn fill(placer: &dyn Placer, workers: u64, capacity: Resources) {
    for n in 0..workers {
        placer.upsert_worker(WorkerInfo::new(
            format!("w{n}").into(),
            format!("d{}", n % 3).into(),
            format!("r{}", n / 8).into(),
            capacity,
        ));
    }
}

/// Guards against handing out more than a worker holds, and against losing room on release.
#[parameterized(
    first_fit = { new_first_fit },
    random_of_two = { new_random_of_two },
    waiting = { new_waiting },
    packing = { new_packing },
)]
fn capacity_is_never_exceeded(make: fn() -> Arc<dyn Placer>) {
    let step = (0_u64..4, 1_u64..9, 1_u64..9, 0_u64..3, 1_u32..6);
    proptest!(ProptestConfig::with_cases(64), |(steps in prop::collection::vec(step, 1..80))| {
        let placer = make();
        fill(&*placer, 12, Resources::new(8_000, 8_192, 2));
        let mut held: Vec<(WorkerName, Resources)> = Vec::new();
        for (op, cpu, memory, accelerators, tasks) in steps {
            if op == 0 && !held.is_empty() {
                let (worker, resources) = held.swap_remove((cpu as usize) % held.len());
                placer.release(&worker, &resources);
                continue;
            }
            let kind = if op == 1 { Workload::AllOrNothing } else { Workload::Batch };
            let size = Resources::new(cpu * 1_000, memory * 1_024, accelerators);
            let placed = placer.place(&PlaceRequest::new(tasks, size, kind));
            prop_assert!(placed.len() <= tasks as usize);
            prop_assert!(op != 1 || placed.is_empty() || placed.len() == tasks as usize);
            held.extend(placed.workers.into_iter().map(|worker| (worker, size)));
        }
        let mut used = HashMap::<WorkerName, Resources>::new();
        for (worker, resources) in &held {
            *used.entry(worker.clone()).or_default() += *resources;
        }
        let mut checked = Ok(());
        placer.visit(&mut |info| {
            let used = used.get(&info.name).copied().unwrap_or_default();
            if info.reserved != used || !used.fits(&info.capacity) {
                checked = Err(TestCaseError::fail(format!("{info:?} against {used}")));
            }
        });
        checked?;
        prop_assert_eq!(placer.totals().reserved, used.values().copied().sum::<Resources>());
    });
}

/// Guards against an index that misses room: what first fit places, the index places as well.
#[parameterized(waiting = { new_waiting }, packing = { new_packing })]
fn room_is_found_wherever_it_is(make: fn() -> Arc<dyn Placer>) {
    let sizes = prop::collection::vec((1_u64..33, 1_u64..65, 0_u64..3), 1..60);
    proptest!(ProptestConfig::with_cases(64), |(reserved in sizes, need in (1_u64..33, 1_u64..65, 0_u64..3))| {
        let placer = make();
        let capacity = Resources::new(32_000, 65_536, 2);
        let size = |(cpu, memory, acc): (u64, u64, u64)| Resources::new(cpu * 1_000, memory * 1_024, acc);
        fill(&*placer, reserved.len() as u64, capacity);
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

/// Guards against a partial hold of a request that does not fit as a whole.
#[parameterized(
    first_fit = { new_first_fit },
    random_of_two = { new_random_of_two },
    waiting = { new_waiting },
    packing = { new_packing },
)]
fn whole_request_that_does_not_fit_holds_nothing(make: fn() -> Arc<dyn Placer>) {
    let placer = make();
    fill(&*placer, 10, Resources::new(4_000, 4_096, 0));
    let size = Resources::new(3_000, 1_024, 0);
    let placed = placer.place(&PlaceRequest::new(11, size, Workload::AllOrNothing));
    assert!(placed.is_empty());
    assert_eq!(placer.totals().reserved, Resources::ZERO);
    assert_eq!(placer.largest_free(), Resources::new(4_000, 4_096, 0));
    let placed = placer.place(&PlaceRequest::new(10, size, Workload::AllOrNothing));
    assert_eq!(placed.len(), 10);
}

/// Guards against two requests that each hold a part of what the other one needs.
#[parameterized(
    first_fit = { new_first_fit },
    random_of_two = { new_random_of_two },
    waiting = { new_waiting },
    packing = { new_packing },
)]
fn one_of_two_requests_for_more_than_half_is_placed(make: fn() -> Arc<dyn Placer>) {
    for _ in 0..50 {
        let placer = make();
        fill(&*placer, 40, Resources::new(1_000, 1_024, 0));
        let req = PlaceRequest::new(21, Resources::new(1_000, 1_024, 0), Workload::AllOrNothing);
        let placed = thread::scope(|scope| {
            let threads = [0, 1].map(|_| scope.spawn(|| placer.place(&req).len()));
            threads.map(|thread| thread.join().unwrap())
        });
        assert_eq!(placed.iter().sum::<usize>(), 21, "{placed:?}");
        assert!(placed.contains(&0));
    }
}

/// Guards against lost updates and double grants between threads that place and release.
#[parameterized(
    first_fit = { new_first_fit },
    random_of_two = { new_random_of_two },
    waiting = { new_waiting },
    packing = { new_packing },
)]
fn threads_do_not_share_room(make: fn() -> Arc<dyn Placer>) {
    let placer = make();
    fill(&*placer, 32, Resources::new(4_000, 4_096, 0));
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
                let mut held = Vec::new();
                for round in 0..200 {
                    held.extend(placer.place(&PlaceRequest::new(3, size, kind)).workers);
                    if round % 3 == 0 {
                        for worker in held.drain(..held.len() / 2) {
                            placer.release(&worker, &size);
                        }
                    }
                }
                held.len()
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
    placer.visit(&mut |info| assert!(info.reserved.fits(&info.capacity), "{info:?}"));
}

/// Guards against work on a worker that drains, is excluded, or was removed.
#[parameterized(
    first_fit = { new_first_fit },
    random_of_two = { new_random_of_two },
    waiting = { new_waiting },
    packing = { new_packing },
)]
fn unusable_workers_get_nothing(make: fn() -> Arc<dyn Placer>) {
    let placer = make();
    fill(&*placer, 4, Resources::new(1_000, 1_024, 0));
    assert!(placer.set_schedulable(&"w0".into(), false));
    assert!(placer.remove_worker(&"w1".into()));
    assert!(!placer.remove_worker(&"w1".into()));
    let mut req = PlaceRequest::new(4, Resources::new(1_000, 1_024, 0), Workload::Batch);
    req.exclude = vec!["w2".into()];
    assert_eq!(placer.place(&req).workers, ["w3".into()]);
    assert!(placer.set_schedulable(&"w0".into(), true));
    assert_eq!(placer.place(&req).workers, ["w0".into()]);
}

/// Guards against adopted work beyond the capacity being forgotten: it must keep new work away.
#[parameterized(first_fit = { new_first_fit }, packing = { new_packing })]
fn adopted_work_counts_beyond_capacity(make: fn() -> Arc<dyn Placer>) {
    let placer = make();
    fill(&*placer, 1, Resources::new(2_000, 2_048, 0));
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
