//! Waves of upkeep.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{Cell, Plan, Route, SIGCONT, SIGSTOP, broke_down, config},
    cloud::{Cloud, machine_name},
    http,
    json::Json,
    world::World,
};

const PREFIX: &str = "/desks/";

pub fn run(world: &Arc<World>, trouble: bool) -> bool {
    let mode = std::env::var("MODE").unwrap_or_default();
    let plan = Plan { with_disk: 4, without_disk: 5, workers: 10, worker_cpu: 32_000, worker_mem_mb: 65_536, has_cloud: true, seeds: [0, 1, 2] };
    let cell = Arc::new(Cell::new(world, &plan));
    let (cloud, mut server) = Cloud::start(&cell);
    cell.begin(&config(1, &[Route { prefix: PREFIX, priority: 0, max_attempts: 4 }]));
    let id = "000000000000c001";
    let job = r#"{"spec":"lasting","steps":[{"count":8,"cpu":2000,"mem_mb":1024,"long_running":true,"anti_affinity":1,"max_unavailable":1}]}"#;
    if !cell.submit(0, &format!("{PREFIX}{id}"), job) {
        broke_down("the job was not accepted");
    }
    thread::sleep(Duration::from_secs(3));

    // AVAIL as seen when an upkeep begins.
    let broken = Arc::new(Mutex::new(Vec::<String>::new()));
    {
        let (world, broken) = (Arc::clone(world), Arc::clone(&broken));
        cloud.on_upkeep(move |u| {
            let now = world.now();
            let runs = world.runs.lock().unwrap();
            let mut here = 0;
            let mut at_work = 0;
            for r in runs.iter().filter(|r| r.to.is_none() && now - r.from >= 300) {
                if r.worker == u.worker { here += 1 } else { at_work += 1 }
            }
            drop(runs);
            world.note(&format!("upkeep of w{}: {here} of its tasks at work, {at_work} elsewhere", u.worker));
            if here > 0 && at_work < 7 {
                broken.lock().unwrap().push(format!("AVAIL? {here} here, {at_work} elsewhere at {now}"));
            }
        });
    }
    if trouble && mode.contains("late") {
        let count = Mutex::new(0);
        *cloud.trouble.lock().unwrap() = Some(Arc::new(move |_, _| {
            let mut n = count.lock().unwrap();
            *n += 1;
            (*n % 2 == 1).then(|| Duration::from_millis(2_000 + 1_700 * (*n % 6)))
        }));
    }
    let machines: Vec<_> = (0..10).map(|i| format!("\"{}\"", machine_name(i))).collect();
    let wave = format!("{{\"wave\":1,\"machines\":[{}],\"deadline_s\":30,\"cap\":2}}", machines.join(","));
    let begun = Instant::now();
    let mut is_started = false;
    for n in 0..10 {
        let a = http::call(&cell.control(n), "POST", "/v1/wave-start", &[], &wave, Duration::from_secs(1));
        if a.is_some_and(|a| a.status() == 200) { is_started = true; break; }
    }
    if !is_started { broke_down("wave not accepted"); }
    world.note("wave 1 accepted");
    let stop = Arc::new(AtomicBool::new(false));
    let chaos = {
        let (cell, cloud, stop, mode) = (Arc::clone(&cell), Arc::clone(&cloud), Arc::clone(&stop), mode.clone());
        thread::spawn(move || {
            let mut n = 0;
            while trouble && !stop.load(Ordering::Acquire) {
                thread::sleep(Duration::from_secs(6));
                n += 1;
                if mode.contains("kill") {
                    if let Some(l) = cell.leader() {
                        cell.world.tell(&format!("leader {l} is killed"));
                        cell.hosts[l].end();
                        thread::sleep(Duration::from_millis(1500));
                        cell.hosts[l].start();
                    }
                }
                if mode.contains("freeze") {
                    if let Some(l) = cell.leader() {
                        cell.world.tell(&format!("leader {l} is frozen"));
                        cell.hosts[l].signal(SIGSTOP);
                        thread::sleep(Duration::from_millis(3500));
                        cell.hosts[l].signal(SIGCONT);
                    }
                }
                if mode.contains("crash") {
                    let i = (n * 3) % 10;
                    cell.world.tell(&format!("worker {i} crashes"));
                    cloud.crash(&machine_name(i), Duration::from_millis(4000));
                }
            }
        })
    };
    let mut completed = None;
    while begun.elapsed() < Duration::from_secs(60) {
        let a = http::call(&cell.control(completed.map_or(0, |_| 1)), "GET", "/v1/wave-get/1", &[], "", Duration::from_secs(1));
        let state = a.as_ref().and_then(|a| Json::parse(&a.body)).map(|j| j.text("state").to_owned()).unwrap_or_default();
        if state == "completed" {
            let done = cloud.upkeeps.lock().unwrap().len();
            world.tell(&format!("wave completed after {} ms, {done} upkeeps", begun.elapsed().as_millis()));
            if done < 10 { broken.lock().unwrap().push(format!("MIXED: completed with {done} upkeeps")); }
            completed = Some(());
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    if completed.is_none() { world.tell("wave not completed"); }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Release);
    let _ = chaos.join();
    for u in cloud.upkeeps.lock().unwrap().iter() {
        if u.others_down >= 2 { broken.lock().unwrap().push(format!("LIMIT: {u:?}")); }
    }
    broken.lock().unwrap().extend(cloud.breaks_of_one.lock().unwrap().drain(..));
    let now = world.now();
    let runs = world.runs.lock().unwrap().clone();
    let twice = crate::lasting::overlaps(world, &runs, now);
    cell.finish();
    server.stop();
    for b in broken.lock().unwrap().iter() { world.tell(b); }
    let n = broken.lock().unwrap().len();
    n + twice > 0
}
