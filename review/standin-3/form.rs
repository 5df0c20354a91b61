//! Kills during the first start; a search for faults, not a case.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{Cell, Plan, Route, config},
    world::{Rng, World},
};

pub fn run(world: &Arc<World>, _: bool) -> bool {
    let mut rng = Rng(std::process::id() as u64 * 7919 + 1);
    let mut failed = 0;
    for round in 0..8 {
        let plan = Plan { with_disk: 4, without_disk: 5, workers: 0, worker_cpu: 1, worker_mem_mb: 1, has_cloud: false, seeds: [0, 1, 2] };
        let cell = Cell::new(world, &plan);
        for h in &cell.hosts { h.start(); thread::sleep(Duration::from_millis(rng.next() % 30)); }
        for _ in 0..3 {
            thread::sleep(Duration::from_millis(rng.next() % 400));
            let share = rng.share();
            let hit: Vec<usize> = (0..9).filter(|_| rng.share() < share + 0.3).collect();
            for h in &hit { cell.hosts[*h].end(); }
            thread::sleep(Duration::from_millis(rng.next() % 300));
            for h in &hit { cell.hosts[*h].start(); }
        }
        let begun = Instant::now();
        let text = config(1, &[Route { prefix: "/a/", priority: 0, max_attempts: 4 }]);
        let mut n = 0;
        let ok = loop {
            n += 1;
            if cell.put_config(n, &text, Duration::from_secs(1)).is_some_and(|a| a.status() == 200) { break true; }
            if begun.elapsed() > Duration::from_secs(12) { break false; }
            thread::sleep(Duration::from_millis(100));
        };
        world.tell(&format!("round {round}: formed {ok} after {} ms", begun.elapsed().as_millis()));
        if !ok { failed += 1; }
        cell.finish();
    }
    failed > 0
}
