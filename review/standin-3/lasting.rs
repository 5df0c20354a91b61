//! TWICE: a task that lasts is started elsewhere while a start order for it may still be carried out,
//! and the order is carried out on the next life of its executor, behind a cut.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{Cell, Plan, Route, broke_down, config},
    json::Json,
    world::{Run, World},
};

const PREFIX: &str = "/desks/";
const URGENT: &str = "/checks/";
const ID: &str = "000000000000c001";
/// Time after which the unanswered orders are carried out; the pages allow 2 to 12 s.
const LATE_MS: u64 = 7_000;
/// Times after the first unanswered order. The cut lasts 4.1 s, as on the site.
const CUT_MS: u64 = 5_800;
const CRASH_MS: u64 = 6_000;
const BACK_MS: u64 = 6_500;
const HEALED_MS: u64 = 9_900;

pub fn run(world: &Arc<World>, trouble: bool) -> bool {
    let plan = Plan {
        with_disk: 4,
        without_disk: 5,
        workers: 12,
        worker_cpu: 32_000,
        worker_mem_mb: 65_536,
        has_cloud: false,
        seeds: [0, 1, 2],
    };
    let cell = Cell::new(world, &plan);
    cell.begin(&config(
        1,
        &[
            Route { prefix: PREFIX, priority: 2, max_attempts: 4 },
            Route { prefix: URGENT, priority: 0, max_attempts: 4 },
        ],
    ));

    // The executor that is ordered to start the task leaves the orders for its first run unanswered.
    let struck = Arc::new(AtomicUsize::new(usize::MAX));
    if trouble {
        for worker in &cell.workers {
            let struck = Arc::clone(&struck);
            worker.set_trouble(Some(Arc::new(move |index: usize, path: &str, order: &Json| {
                if path != "/v1/run-start" || !order.text("task").starts_with(ID) || order.u64("run") != 1 {
                    return None;
                }
                struck.store(index, Ordering::Release);
                Some(Duration::from_millis(LATE_MS))
            })));
        }
    }
    let id = ID;
    let job = r#"{"spec":"lasting","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"long_running":true}]}"#;
    if !cell.submit(0, &format!("{PREFIX}{id}"), job) {
        broke_down("the job was not accepted");
    }
    let begun = Instant::now();
    if trouble {
        while struck.load(Ordering::Acquire) == usize::MAX {
            if begun.elapsed() > Duration::from_secs(4) {
                broke_down("no start order came");
            }
            thread::sleep(Duration::from_millis(5));
        }
        let index = struck.load(Ordering::Acquire);
        let ordered = Instant::now();
        // More urgent work takes the room of that executor, so that the task goes elsewhere.
        let rack = cell.workers[index].rack.clone();
        let alike = cell.workers.iter().filter(|w| w.rack == rack).count();
        for (n, cpu) in [(1, 30_000), (2, 2_000)] {
            let more = format!(
                "{{\"spec\":\"lasting\",\"steps\":[{{\"count\":{alike},\"cpu\":{cpu},\"mem_mb\":1024,\"long_running\":true,\"requirements\":\"{rack}\"}}]}}"
            );
            if !cell.submit(n, &format!("{URGENT}{:016x}", 0xd000 + n), &more) {
                broke_down("a job was not accepted");
            }
        }
        let wait_until = |ms: u64| {
            thread::sleep((ordered + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
        };
        wait_until(CUT_MS);
        world.tell(&format!("executor w{index} is cut off"));
        cell.workers[index].set_cut(true);
        wait_until(CRASH_MS);
        cell.workers[index].crash("crash");
        wait_until(BACK_MS);
        world.tell(&format!("executor w{index} starts again under its id, behind the cut"));
        cell.workers[index].start(true);
        wait_until(HEALED_MS);
        world.tell("the cut has healed");
        cell.workers[index].set_cut(false);
    }
    thread::sleep(Duration::from_secs(18).saturating_sub(begun.elapsed()));
    let now = world.now();
    cell.finish();
    let runs: Vec<Run> = world.runs.lock().unwrap().iter().filter(|r| r.task.starts_with(id)).cloned().collect();
    if runs.is_empty() {
        broke_down("the task never ran");
    }
    overlaps(world, &runs, now) > 0
}

/// Number of pairs of runs of one task that ran at the same time.
pub fn overlaps(world: &World, runs: &[Run], now: u64) -> usize {
    let mut found = 0;
    for (i, a) in runs.iter().enumerate() {
        for b in &runs[i + 1..] {
            let from = a.from.max(b.from);
            let to = a.to.unwrap_or(now).min(b.to.unwrap_or(now));
            if a.task == b.task && from < to {
                found += 1;
                world.tell(&format!(
                    "task {}: run {} on w{} and run {} on w{} at the same time for {} ms",
                    a.task, a.run, a.worker, b.run, b.worker, to - from
                ));
            }
        }
    }
    world.tell(&format!("{} runs, {found} pairs at the same time", runs.len()));
    found
}
