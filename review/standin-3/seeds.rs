//! Fault: with seeds that have no disk, the system never forms and serves nothing.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{Cell, Plan, Route, config},
    world::World,
};

const PREFIX: &str = "/checks/";
const LASTS: Duration = Duration::from_secs(75);

pub fn run(world: &Arc<World>, trouble: bool) -> bool {
    let plan = Plan {
        with_disk: 4,
        without_disk: 5,
        workers: 6,
        worker_cpu: 32_000,
        worker_mem_mb: 65_536,
        has_cloud: false,
        // Hosts 0 to 3 have a disk.
        seeds: if trouble { [0, 5, 6] } else { [0, 1, 2] },
    };
    let cell = Cell::new(world, &plan);
    for host in &cell.hosts {
        host.start();
    }
    for worker in &cell.workers {
        worker.start(true);
    }
    let config = config(1, &[Route { prefix: PREFIX, priority: 0, max_attempts: 4 }]);
    let job = r#"{"spec":"work=300","steps":[{"count":1,"cpu":1000,"mem_mb":512,"estimate_ms":300}]}"#;
    let begun = Instant::now();
    let (mut sent, mut served, mut is_accepted, mut n) = (0, 0, false, 0);
    while begun.elapsed() < LASTS && served < 20 {
        n += 1;
        if !is_accepted {
            let answer = cell.put_config(n, &config, Duration::from_secs(1));
            is_accepted = answer.as_ref().is_some_and(|a| a.status() == 200);
            world.note(&format!("PUT /v1/config at host {}: {:?}", n % 9, answer.map(|a| a.status())));
        }
        // Traffic starts 10 s after the machines do.
        if begun.elapsed() > Duration::from_secs(10) {
            sent += 1;
            let path = format!("{PREFIX}{:016x}", 0xe000 + n);
            let answer = cell.client(n, "POST", &path, job);
            world.note(&format!("POST {path} at host {}: {:?}", n % 9, answer.as_ref().map(|a| a.status())));
            served += usize::from(answer.is_some_and(|a| a.status() == 200));
        }
        thread::sleep(Duration::from_millis(250));
    }
    cell.finish();
    world.tell(&format!(
        "in {} s: first configuration accepted: {is_accepted}; {served} of {sent} jobs accepted",
        begun.elapsed().as_secs()
    ));
    served == 0
}
