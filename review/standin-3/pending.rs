//! MIXED: a queue's count of pending jobs leaves out jobs whose start orders got no answer.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{Cell, Plan, Route, broke_down, config, pending_count},
    http,
    json::Json,
    world::{Rng, World},
};

const PREFIX: &str = "/checks/";
const JOBS: usize = 60;
/// `visible_ms` and 2 s.
const COUNTED_AFTER_MS: u64 = 5_000;
/// Share of the orders without an answer; `applied_late` allows 0.5.
const LATE_SHARE: f64 = 0.4;
const TROUBLE_S: f64 = 5.5;

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
    let cell = Arc::new(Cell::new(world, &plan));
    cell.begin(&config(1, &[Route { prefix: PREFIX, priority: 0, max_attempts: 4 }]));
    let job = r#"{"spec":"work=800","steps":[{"count":1,"cpu":1000,"mem_mb":512,"estimate_ms":800}]}"#;

    // Without trouble at first: the path works.
    for n in 0..10 {
        if !cell.submit(n, &format!("{PREFIX}{:016x}", 0xa000 + n), job) {
            broke_down("a job was not accepted before the trouble");
        }
    }
    thread::sleep(Duration::from_secs(3));
    if !(0..10).all(|n| world.has_begun(&format!("{:016x}", 0xa000 + n), world.now())) {
        broke_down("a job has not begun before the trouble");
    }

    if trouble {
        world.tell("from now on two fifths of the orders to executors get no answer, and are carried out 2 to 12 s late");
        let until = Instant::now() + Duration::from_secs_f64(TROUBLE_S);
        let rng = Arc::new(Mutex::new(Rng(0x9e37_79b9_7f4a_7c15 ^ std::process::id() as u64)));
        for worker in &cell.workers {
            let rng = Arc::clone(&rng);
            worker.set_trouble(Some(Arc::new(move |_: usize, path: &str, _: &Json| {
                let is_order = path == "/v1/run-start" || path == "/v1/run-stop";
                if !is_order || Instant::now() >= until {
                    return None;
                }
                let mut rng = rng.lock().unwrap();
                let late = rng.between(2.0, 12.0);
                (rng.share() < LATE_SHARE).then(|| Duration::from_secs_f64(late))
            })));
        }
    }
    // Accepted jobs with the times of their acknowledgements.
    let accepted = Arc::new(Mutex::new(Vec::<(String, u64)>::new()));
    let begun = Instant::now();
    let sender = {
        let (cell, accepted) = (Arc::clone(&cell), Arc::clone(&accepted));
        thread::spawn(move || {
            for n in 0..JOBS {
                let id = format!("{:016x}", 0xb000 + n);
                if cell.submit(n, &format!("{PREFIX}{id}"), job) {
                    accepted.lock().unwrap().push((id, cell.world.now()));
                }
                thread::sleep(Duration::from_millis(25));
            }
        })
    };

    // Counts are asked for at each host in turn, until all jobs should long have begun.
    let mut checks = 0;
    let mut broken = 0;
    let mut host = 0;
    while begun.elapsed() < Duration::from_secs(22) {
        host = (host + 1) % cell.hosts.len();
        let sent_at = world.now();
        let headers = [("Host", crate::cell::HOST), ("Deadline-Ms", "3000")];
        let answer = http::call(&cell.front(host), "GET", PREFIX, &headers, "", Duration::from_secs(3));
        let answered_at = world.now();
        let due: Vec<String> = {
            let accepted = accepted.lock().unwrap();
            let due = accepted.iter().filter(|(_, at)| at + COUNTED_AFTER_MS < sent_at);
            due.map(|(id, _)| id.clone()).collect()
        };
        let waiting: Vec<_> = due.iter().filter(|id| !world.has_begun(id, answered_at)).collect();
        if let Some(count) = answer.as_ref().and_then(pending_count) {
            checks += 1;
            let is_broken = count * 2 < waiting.len() as u64;
            world.note(&format!(
                "GET {PREFIX} at host {host}: pending_count {count}; {} jobs were accepted over {COUNTED_AFTER_MS} ms before and have not begun{}",
                waiting.len(),
                if is_broken { "  <- under half" } else { "" }
            ));
            broken += usize::from(is_broken);
        }
        thread::sleep(Duration::from_millis(100));
    }
    let _ = sender.join();
    let accepted = accepted.lock().unwrap().len();
    cell.finish();
    world.tell(&format!("{accepted} jobs accepted during the trouble, {checks} counts read, {broken} of them under half"));
    if accepted < JOBS / 2 || checks < 50 {
        broke_down("too few jobs or answers");
    }
    broken > 0
}
