//! Bounds of the state, and the least evidence for a decision.

mod common;

use common::{SETUP, Simulation, report};
use tarragon_interference::{InterferenceTable, RunReport};
use tarragon_names::{Millis, Name, WorkerName};
use yare::parameterized;

/// Memory that the table may take of the 128 MB of a control host (docs/design.md).
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Reports `count` runs of images that no other report names.
fn report_new_images<F>(table: &mut InterferenceTable, now: u64, count: u64, name: F)
where
    F: Fn(u64) -> String,
{
    let reports = (0..count).map(|i| {
        let number = now * count + i;
        report(1_000_000 + number, 0, &Name::from(name(number)), now)
    });
    let reports = reports.collect::<Vec<_>>();
    let worker = WorkerName::from(format!("hostile-{}", now % 7));
    table.observe(&worker, Millis(now), &reports, &[]);
    table.evaluate(Millis(now));
}

/// Guards against state that grows with the number or the length of image names.
#[parameterized(
    short_names = { 0 },
    names_of_the_greatest_length = { 240 },
    names_that_are_too_long = { 100_000 },
)]
fn new_image_names_do_not_grow_the_state(length: usize) {
    let mut table = InterferenceTable::default();
    let padding = "x".repeat(length);
    let mut most = 0;
    for now in 1..2_000 {
        report_new_images(&mut table, now * 50, 10, |number| {
            format!("{number}{padding}")
        });
        most = most.max(table.entries());
    }
    // 32 images and the runs of the last reports of seven workers; no pair has observations.
    assert!(most < 32 + 7 * 10, "{most} entries");
    assert!(InterferenceTable::max_bytes() <= MAX_BYTES);
}

/// Guards against names that drive out the images that are really used.
#[test]
fn pair_is_found_beside_a_flood_of_names() {
    let mut simulation = Simulation::new(SETUP, 1);
    simulation.disturbances.push(("ada", "bek", 3.0));
    let mut found = false;
    while simulation.now < 60_000 && !found {
        let now = simulation.now;
        report_new_images(&mut simulation.table, now, 2, |number| number.to_string());
        simulation.run(20, |_| ());
        let pairs = simulation.table.known_pairs();
        found = pairs.iter().any(|pair| pair.affected.as_str() == "bek");
    }
    assert!(found);
}

/// Guards against runs of one worker after the other that are tracked without a bound.
#[test]
fn state_is_bounded_with_many_runs() {
    let mut table = InterferenceTable::default();
    let image = Name::from("ada");
    for number in 0..20_000_u64 {
        let now = 1_000 + number / 100;
        let worker = WorkerName::from(format!("w{number}"));
        let reports = [0, 1, 2].map(|index| report(number, index, &image, now));
        table.observe(&worker, Millis(now), &reports, &[]);
    }
    assert!(table.entries() <= 8_192 + 1, "{} entries", table.entries());
}

/// Guards against a decision on few samples, however clear they are: runs that take ten times as long
/// beside the source, on a single worker or on a worker each.
#[parameterized(
    one_worker = { 6, 1, false },
    many_workers = { 6, 6, false },
    enough = { 12, 12, true },
)]
fn few_comparisons_decide_nothing(comparisons: u64, workers: u64, is_known: bool) {
    let mut table = InterferenceTable::default();
    let (source, affected) = (Name::from("ada"), Name::from("bek"));
    let rounds = comparisons / workers;
    for number in 0..comparisons {
        let worker = WorkerName::from(format!("w{}", number % workers));
        let begun = 1_000 + number / workers * 2_400;
        let neighbor = report(1_000 + number, 0, &source, begun);
        let beside = report(number, 0, &affected, begun);
        let alone = report(number, 1, &affected, begun + 2_100);
        let mut observe = |at, running: &[RunReport], ended: &[(RunReport, bool)]| {
            table.observe(&worker, Millis(begun + at), running, ended);
        };
        observe(0, &[beside.clone(), neighbor.clone()], &[]);
        observe(2_000, &[], &[(beside, true), (neighbor, true)]);
        observe(2_100, std::slice::from_ref(&alone), &[]);
        observe(2_300, &[], &[(alone, true)]);
    }
    let mut now = 1_000 + rounds * 2_400;
    for _ in 0..20 {
        now += 100;
        table.evaluate(Millis(now));
    }
    assert_eq!(
        table.known_count() > 0,
        is_known,
        "{:?}",
        table.known_pairs()
    );
}
