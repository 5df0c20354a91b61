//! LIMIT: an upkeep order without an answer is given up, and is carried out beside another upkeep.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{Cell, Plan, Route, broke_down, config},
    cloud::{Cloud, machine_name},
    http,
    json::Json,
    world::World,
};

const MACHINES: usize = 10;
const CAP: usize = 1;
/// The executor of the machine crashes so long after the order.
const CRASH_AFTER: Duration = Duration::from_millis(400);
/// Shortest and longest time for which it is down.
const DOWN: (Duration, Duration) = (Duration::from_millis(2_500), Duration::from_millis(4_500));
/// Time from its return until the order is carried out.
const ORDER_AFTER_RETURN: Duration = Duration::from_millis(100);

pub fn run(world: &Arc<World>, trouble: bool) -> bool {
    let plan = Plan {
        with_disk: 4,
        without_disk: 5,
        workers: MACHINES,
        worker_cpu: 32_000,
        worker_mem_mb: 65_536,
        has_cloud: true,
        seeds: [0, 1, 2],
    };
    let cell = Cell::new(world, &plan);
    let (cloud, mut server) = Cloud::start(&cell);
    cell.begin(&config(1, &[Route { prefix: "/checks/", priority: 0, max_attempts: 4 }]));
    let machines: Vec<_> = (0..MACHINES).map(|i| format!("\"{}\"", machine_name(i))).collect();
    let wave = format!("{{\"wave\":1,\"machines\":[{}],\"deadline_s\":60,\"cap\":{CAP}}}", machines.join(","));

    if trouble {
        // The first order gets no answer. `carry_out` says when it is carried out.
        let (struck_tx, struck_rx) = mpsc::channel::<String>();
        let is_first = AtomicBool::new(true);
        let struck_tx = Mutex::new(struck_tx);
        *cloud.trouble.lock().unwrap() = Some(Arc::new(move |_: &str, order: &Json| {
            if !is_first.swap(false, Ordering::AcqRel) {
                return None;
            }
            let _ = struck_tx.lock().unwrap().send(order.text("machine").to_owned());
            Some(Duration::MAX)
        }));
        let cloud = Arc::clone(&cloud);
        let world = Arc::clone(world);
        thread::spawn(move || {
            let Ok(machine) = struck_rx.recv() else { return };
            let ordered = Instant::now();
            thread::sleep(CRASH_AFTER);
            world.tell(&format!("the executor of {machine} crashes"));
            let crashed = Instant::now();
            cloud.crash_until_told(&machine);
            thread::sleep(DOWN.0);
            while crashed.elapsed() < DOWN.1 && cloud.others_in_upkeep(&machine) < CAP {
                thread::sleep(Duration::from_millis(5));
            }
            world.tell(&format!("{machine} is up again after {} ms", crashed.elapsed().as_millis()));
            cloud.bring_up(&machine);
            thread::sleep(ORDER_AFTER_RETURN);
            world.tell(&format!("the order is carried out {} ms after it was sent", ordered.elapsed().as_millis()));
            cloud.carry_out_held();
        });
    }
    let accepted = (0..10).any(|n| {
        let answer = http::call(&cell.control(n), "POST", "/v1/wave-start", &[], &wave, Duration::from_secs(1));
        answer.is_some_and(|a| a.status() == 200)
    });
    if !accepted {
        broke_down("the wave was not accepted");
    }
    world.note("wave 1 is accepted");
    let begun = Instant::now();
    let mut is_completed = false;
    while begun.elapsed() < Duration::from_secs(70) && !is_completed {
        let answer = http::call(&cell.control(1), "GET", "/v1/wave-get/1", &[], "", Duration::from_secs(1));
        let state = answer.and_then(|a| Json::parse(&a.body));
        is_completed = state.is_some_and(|s| s.text("state") == "completed");
        thread::sleep(Duration::from_millis(200));
    }
    let upkeeps = cloud.upkeeps.lock().unwrap().clone();
    cell.finish();
    server.stop();
    let broken: Vec<_> = upkeeps.iter().filter(|u| u.others_down >= CAP).collect();
    for u in &broken {
        world.tell(&format!(
            "the upkeep of {} for wave {} begins at {} ms while {} other machines of it are down for theirs; cap {CAP}",
            u.machine, u.wave, u.at, u.others_down
        ));
    }
    world.tell(&format!("{} upkeeps, wave completed: {is_completed}, {} beyond the cap", upkeeps.len(), broken.len()));
    if upkeeps.len() < MACHINES / 2 {
        broke_down("too few upkeeps");
    }
    !broken.is_empty()
}
