//! ONE: each of two machines that lead one after the other stands still for moments, too short to lose the
//! lead, and orders the upkeep of the same machine after that.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Breaks,
    cloud::Cloud,
    executor::Transit,
    hosts::{SIGCONT, SIGSTOP, SIGTERM},
    http,
    play::{CLOUD, CLOUD_PORT, Failed, Play, pause},
    record::Recorder,
};

/// Longer than the lease of a leader (600 ms), shorter than the least time to an election (750 ms).
const FREEZE: Duration = Duration::from_millis(620);

/// Number of times that a machine stands still; each time has about one chance in two.
const FREEZES: usize = 6;

/// Clients at each machine; all together send some 200 requests a second, as on the days of the site.
const CLIENTS: usize = 4;

/// `catch_up_s`, within which the next machine of the core is not disrupted.
const CATCH_UP: f64 = 4.0;

pub fn play(record: Recorder, has_trouble: bool) -> Result<Breaks, Failed> {
    let mut play = Play::start(record.clone(), true)?;
    play.configure()?;
    play.add_executors(6, |number| format!("r1-{number}"), &(Arc::new(|_: &_| Transit::Deliver) as _))?;
    let cloud = Cloud::new(&play.executors, record.clone());
    let _server = cloud.serve(play.hosts.other(CLOUD, CLOUD_PORT)).map_err(|e| e.to_string())?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = play.hosts.all.iter().flat_map(|host| std::iter::repeat_n(host, CLIENTS)).map(|host| {
        let (front, is_over) = (host.front(), Arc::clone(&is_over));
        thread::spawn(move || ask(front, &is_over))
    });
    let clients = clients.collect::<Vec<_>>();
    pause(5.0);
    let first = play.leader()?;
    freeze(&play, first, has_trouble);
    order(&play, &cloud, 1)?;
    record.line(&format!("front-{} gets SIGTERM", first + 1));
    play.hosts.all[first].signal(SIGTERM);
    play.hosts.all[first].wait();
    play.hosts.start_one(first, false).map_err(|e| e.to_string())?;
    record.line(&format!("front-{} has started again", first + 1));
    pause(CATCH_UP + 1.0);
    let second = play.leader()?;
    freeze(&play, second, has_trouble);
    order(&play, &cloud, 2)?;
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ended = client.join();
    }
    let orders = cloud.orders.lock().expect("no panics").clone();
    let mut breaks = Vec::new();
    for (at, one) in orders.iter().enumerate() {
        for other in &orders[..at] {
            if one.machine == other.machine && one.fence == other.fence && one.holder != other.holder {
                breaks.push(format!(
                    "ONE: orders for {} by {} (wave {}) and {} (wave {}), both with fencing token {}",
                    one.machine, other.holder, other.wave, one.holder, one.wave, one.fence
                ));
            }
        }
    }
    breaks.dedup();
    Ok(breaks)
}

/// A client that asks how many jobs wait, some six times a second.
fn ask(front: std::net::SocketAddr, is_over: &AtomicBool) {
    let headers = [("Host", "desk.example"), ("Deadline-Ms", "3000")];
    while !is_over.load(Ordering::SeqCst) {
        // Only the load matters.
        let _answer = http::call(front, "GET", "/plan/", &headers, "", Duration::from_secs(3));
        pause(0.15);
    }
}

fn freeze(play: &Play, leader: usize, has_trouble: bool) {
    for _ in 0..FREEZES {
        if has_trouble {
            play.record.line(&format!("front-{}, which leads, stands still for {FREEZE:?}", leader + 1));
            play.hosts.all[leader].signal(SIGSTOP);
            thread::sleep(FREEZE);
            play.hosts.all[leader].signal(SIGCONT);
        }
        pause(1.5);
    }
    pause(3.0);
}

/// Orders a wave of one machine and waits until the platform has an order for it.
fn order(play: &Play, cloud: &Cloud, wave: u64) -> Result<(), Failed> {
    let body = format!("{{\"wave\":{wave},\"machines\":[\"m-1\"],\"deadline_s\":20,\"cap\":1}}");
    let (status, _) = play.operator("POST", "/v1/wave-start", &body, Duration::from_secs(10))?;
    if status != 200 {
        return Err(format!("wave: {status}"));
    }
    play.wait("the order", Duration::from_secs(15), || {
        cloud.orders.lock().expect("no panics").iter().any(|order| order.wave == wave)
    })?;
    pause(4.0);
    let (_, state) = play.operator("GET", &format!("/v1/wave-get/{wave}"), "", Duration::from_secs(10))?;
    play.record.line(&format!("wave {wave}: {state}"));
    Ok(())
}
