//! TWICE: a heartbeat of another writer, with fields missing and of another type, takes the place of an
//! executor at work.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{Cell, Plan, Route, SERVICE, broke_down, config},
    http,
    lasting::overlaps,
    world::{Run, World, unix_ms},
};

const PREFIX: &str = "/plans/";
const JOBS: usize = 12;

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
    let job = r#"{"spec":"work=6000","steps":[{"count":1,"cpu":6000,"mem_mb":4096,"estimate_ms":6000}]}"#;
    let begun = Instant::now();
    for n in 0..JOBS {
        if !cell.submit(n, &format!("{PREFIX}{:016x}", 0x9000 + n), job) {
            broke_down("a job was not accepted");
        }
    }
    thread::sleep(Duration::from_secs(2));
    let at_work = world.runs.lock().unwrap().iter().filter(|r| r.to.is_none()).count();
    if at_work < JOBS {
        broke_down("not all tasks have begun");
    }
    if trouble {
        let struck = world.runs.lock().unwrap()[0].worker;
        let worker = &cell.workers[struck];
        let Some(id) = worker.id() else { broke_down("no executor") };
        // `version` and `cold_remaining_ms` are missing; `slots` and `clock_ms` are texts.
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}:{}\",\"zone\":\"{}\",\"slots\":\"8\",\"state\":\"ready\",\"capacity\":{{\"cpu\":32000,\"mem_mb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\"clock_ms\":\"1000\",\"born\":{},\"seq\":1}}",
            Cell::worker_ip(cell.net, 150),
            cell.ports.worker,
            worker.zone,
            worker.rack,
            unix_ms()
        );
        let path = format!("/v1/instances/{id}");
        let answer = http::call(&cell.control(5), "PUT", &path, &[], &body, Duration::from_secs(1));
        world.tell(&format!("another writer sends a heartbeat as {id}, w{}: {:?}", worker.index, answer.map(|a| a.status())));
        world.note(&body);
    }
    thread::sleep(Duration::from_secs(16).saturating_sub(begun.elapsed()));
    let now = world.now();
    cell.finish();
    let runs: Vec<Run> = world.runs.lock().unwrap().clone();
    overlaps(world, &runs, now) > 0
}
