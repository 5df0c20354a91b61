//! TWICE: a start order that is carried out late, behind a cut, on the next life of its executor runs
//! on beside the next run of its task.

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
    lasting::overlaps,
    world::{Run, World},
};

const PREFIX: &str = "/plans/";
const ID: &str = "000000000000f001";
/// Time after which the unanswered orders are carried out; the pages allow 2 to 12 s.
const LATE_MS: u64 = 11_600;
/// Times after the first unanswered order. The cut lasts 4.1 s, as on the site.
const CUT_MS: u64 = 10_500;
const CRASH_MS: u64 = 10_700;
const BACK_MS: u64 = 11_200;
const HEALED_MS: u64 = 14_600;

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
    cell.begin(&config(1, &[Route { prefix: PREFIX, priority: 0, max_attempts: 4 }]));

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
    let job = r#"{"spec":"work=2500","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"estimate_ms":2500}]}"#;
    if !cell.submit(0, &format!("{PREFIX}{ID}"), job) {
        broke_down("the job was not accepted");
    }
    let begun = Instant::now();
    if trouble {
        while struck.load(Ordering::Acquire) == usize::MAX {
            if begun.elapsed() > Duration::from_secs(4) {
                broke_down("no start order came");
            }
            thread::sleep(Duration::from_millis(2));
        }
        let ordered = Instant::now();
        let worker = &cell.workers[struck.load(Ordering::Acquire)];
        let wait_until = |ms: u64| {
            thread::sleep((ordered + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
        };
        wait_until(CUT_MS);
        world.tell(&format!("executor w{} is cut off", worker.index));
        worker.set_cut(true);
        wait_until(CRASH_MS);
        worker.crash("crash");
        wait_until(BACK_MS);
        world.tell(&format!("executor w{} starts again under its id, behind the cut", worker.index));
        worker.start(true);
        wait_until(HEALED_MS);
        world.tell("the cut has healed");
        worker.set_cut(false);
    }
    thread::sleep(Duration::from_secs(24).saturating_sub(begun.elapsed()));
    let now = world.now();
    cell.finish();
    let runs: Vec<Run> = world.runs.lock().unwrap().iter().filter(|r| r.task.starts_with(ID)).cloned().collect();
    if runs.is_empty() {
        broke_down("the task never ran");
    }
    overlaps(world, &runs, now) > 0
}
