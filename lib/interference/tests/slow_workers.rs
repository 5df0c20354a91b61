//! Workers on which everything takes longer.

mod common;

use common::report;
use tarragon_interference::InterferenceTable;
use tarragon_names::{Millis, Name, WorkerName};
use yare::parameterized;

const WORKERS: u64 = 12;

const RUN_MS: u64 = 1_200;

/// A worker that runs one task at a time.
struct Worker {
    name: WorkerName,
    percent: u64,
}

impl Worker {
    /// Runs a task from `begun` on, with or without a neighbor, and reports only its start and end.
    fn run(
        &self,
        table: &mut InterferenceTable,
        begun: u64,
        (job, index): (u64, u32),
        image: &Name,
        neighbor: Option<(&Name, u64)>,
    ) {
        let run = report(job, index, image, begun);
        let beside = neighbor.map(|(source, _)| report(1_000_000 + job, index, source, begun));
        let running = [run.clone()].into_iter().chain(beside.clone());
        table.observe(&self.name, Millis(begun), &running.collect::<Vec<_>>(), &[]);
        let slowdown = neighbor.map_or(100, |(_, percent)| percent);
        let ends = Millis(begun + RUN_MS * self.percent * slowdown / 10_000);
        let ended = [run].into_iter().chain(beside).map(|run| (run, true));
        table.observe(&self.name, ends, &[], &ended.collect::<Vec<_>>());
    }
}

/// Guards against the speed of workers that is taken for the effect of a neighbor: each run beside the
/// source is on a slow worker, and the other run of its step alone on a usual one. Only runs of
/// another image tell that the worker is slow.
#[parameterized(
    slow = { 160, 100, false },
    slow_and_disturbed = { 160, 130, true },
    fast_and_disturbed = { 60, 180, true },
    usual_and_disturbed = { 100, 180, true },
)]
fn slow_worker_is_not_taken_for_a_neighbor(percent: u64, slowdown: u64, is_known: bool) {
    let mut table = InterferenceTable::default();
    let (source, affected) = (Name::from("ada"), Name::from("bek"));
    let other = Name::from("cyr");
    let worker = |name: &str, number, percent| Worker {
        name: WorkerName::from(format!("{name}{number}")),
        percent,
    };
    let mut now = 1_000;
    for job in 0..3 {
        for number in 0..WORKERS {
            let index = number as u32;
            let usual = worker("usual", number, 100);
            usual.run(&mut table, now, (job, 2 * index), &other, None);
            let changed = worker("changed", number, percent);
            changed.run(&mut table, now, (job, 2 * index + 1), &other, None);
        }
        now += 2_500;
    }
    for number in 0..WORKERS {
        let job = 100 + number;
        let changed = worker("changed", number, percent);
        let neighbor = Some((&source, slowdown));
        changed.run(&mut table, now, (job, 0), &affected, neighbor);
        let usual = worker("usual", number, 100);
        usual.run(&mut table, now, (job, 1), &affected, None);
    }
    for _ in 0..20 {
        now += 100;
        table.evaluate(Millis(now + 2_500));
    }
    assert_eq!(
        table.known_count() > 0,
        is_known,
        "{:?}",
        table.known_pairs()
    );
}
