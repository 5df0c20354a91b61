//! A mix of jobs under disruptions of one kind; a search for faults, not a case.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{Cell, Plan, Route, SIGCONT, SIGSTOP, SIGTERM, config},
    json::Json,
    world::{Rng, World, unix_ms},
};

pub fn run(world: &Arc<World>, _: bool) -> bool {
    let mode = std::env::var("MODE").unwrap_or_default();
    let seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let plan = Plan { with_disk: 4, without_disk: 5, workers: 16, worker_cpu: 16_000, worker_mem_mb: 65_536, has_cloud: false, seeds: [0, 1, 2] };
    let cell = Arc::new(Cell::new(world, &plan));
    cell.begin(&config(1, &[
        Route { prefix: "/a/", priority: 0, max_attempts: 4 },
        Route { prefix: "/b/", priority: 1, max_attempts: 4 },
    ]));
    let dues = Arc::new(Mutex::new(BTreeMap::<String, (u64, u64)>::new()));
    let accepted = Arc::new(Mutex::new(Vec::<(String, String, &'static str)>::new()));
    let cancelled = Arc::new(Mutex::new(BTreeMap::<String, u64>::new()));
    let rejected = Arc::new(Mutex::new(Vec::<String>::new()));
    let traffic = Duration::from_secs(40);
    let begun = Instant::now();
    let unix0 = unix_ms() - world.now();
    let mut senders = Vec::new();
    for s in 0..4u64 {
        let (cell, rejected, dues, accepted, cancelled, world) = (Arc::clone(&cell), Arc::clone(&rejected), Arc::clone(&dues), Arc::clone(&accepted), Arc::clone(&cancelled), Arc::clone(world));
        let mut rng = Rng(seed.wrapping_mul(31).wrapping_add(s * 7919 + 13) | 1);
        senders.push(thread::spawn(move || {
            let mut n = 0u64;
            while begun.elapsed() < traffic {
                n += 1;
                let id = format!("{:016x}", (s + 1) << 32 | n);
                let host = rng.next() as usize % 9;
                let pick = rng.share();
                let (kind, path, job) = if pick < 0.45 {
                    ("quick", "/a/", r#"{"spec":"work=600","steps":[{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":600}]}"#.to_owned())
                } else if pick < 0.6 {
                    ("chain", "/b/", r#"{"spec":"work=700","steps":[{"count":3,"cpu":1000,"mem_mb":512,"estimate_ms":600},{"count":2,"cpu":500,"mem_mb":512,"estimate_ms":700,"depends_on":[0]},{"count":1,"cpu":500,"mem_mb":512,"estimate_ms":700,"depends_on":[0,1]}]}"#.to_owned())
                } else if pick < 0.7 {
                    let due = unix_ms() + 1500;
                    dues.lock().unwrap().insert(id.clone(), (due, 2000));
                    ("timed", "/a/", format!(r#"{{"spec":"work=500","steps":[{{"count":2,"cpu":500,"mem_mb":512,"estimate_ms":500}}],"start_at_ms":{due},"interval_ms":2000,"repeat_count":4}}"#))
                } else if pick < 0.78 && n < 40 {
                    ("lasting", "/b/", r#"{"spec":"lasting","steps":[{"count":3,"cpu":300,"mem_mb":512,"long_running":true,"anti_affinity":1}]}"#.to_owned())
                } else if pick < 0.9 {
                    ("spread", "/b/", r#"{"spec":"work=900","steps":[{"count":6,"cpu":700,"mem_mb":512,"estimate_ms":900,"anti_affinity":2}]}"#.to_owned())
                } else {
                    ("cancel", "/b/", r#"{"spec":"work=6000","steps":[{"count":3,"cpu":700,"mem_mb":512,"estimate_ms":6000}]}"#.to_owned())
                };
                let full = format!("{path}{id}");
                let (ok, is_rejected) = cell.submit_told(host, &full, &job);
                if is_rejected {
                    rejected.lock().unwrap().push(id.clone());
                }
                if ok {
                    accepted.lock().unwrap().push((id.clone(), full.clone(), kind));
                    if kind == "cancel" {
                        thread::sleep(Duration::from_millis(300));
                        for k in 0..8 {
                            let a = cell.client(host + k, "DELETE", &full, "");
                            if a.is_some_and(|a| a.status() == 200 || a.status() == 410) {
                                cancelled.lock().unwrap().insert(id.clone(), world.now());
                                break;
                            }
                            thread::sleep(Duration::from_millis(150));
                        }
                    }
                    if rng.share() < 0.2 {
                        let a = cell.client(host + 3, "POST", &full, &job);
                        world.note(&format!("repeated {full}: {:?}", a.map(|a| a.status())));
                    }
                    if rng.share() < 0.3 {
                        let a = cell.client(host + 5, "GET", &full, "");
                        if a.is_some_and(|a| a.status() == 410) {
                            world.tell(&format!("LOST? {full} answered 410 after its acceptance"));
                        }
                    }
                }
                thread::sleep(Duration::from_millis(120 + rng.next() % 200));
            }
        }));
    }
    let over = Arc::new(AtomicBool::new(false));
    // An operator, and readers of the configuration.
    let acked = Arc::new(Mutex::new(Vec::<(u64, u64)>::new()));
    let stale = Arc::new(Mutex::new(Vec::<String>::new()));
    {
        let (cell, acked, over) = (Arc::clone(&cell), Arc::clone(&acked), Arc::clone(&over));
        thread::spawn(move || {
            let mut v = 1;
            while !over.load(Ordering::Acquire) {
                v += 1;
                let text = config(v, &[
                    Route { prefix: "/a/", priority: 0, max_attempts: 4 },
                    Route { prefix: "/b/", priority: 1, max_attempts: 4 },
                ]);
                for k in 0..30 {
                    let a = cell.put_config((v as usize * 5 + k) % 9, &text, Duration::from_secs(1));
                    cell.world.note(&format!("PUT config {v}: {:?}", a.as_ref().map(|a| a.status())));
                    if a.is_some_and(|a| a.status() == 200) {
                        acked.lock().unwrap().push((cell.world.now(), v));
                        break;
                    }
                    thread::sleep(Duration::from_millis(100));
                }
                thread::sleep(Duration::from_millis(150));
            }
        });
    }
    for r in 0..3usize {
        let (cell, acked, over, stale) = (Arc::clone(&cell), Arc::clone(&acked), Arc::clone(&over), Arc::clone(&stale));
        thread::spawn(move || {
            let mut n = r;
            while !over.load(Ordering::Acquire) {
                n += 1;
                let sent = cell.world.now();
                let a = crate::http::call(&cell.control(n * 4 + r), "GET", "/v1/config", &[], "", Duration::from_secs(8));
                if let Some(a) = a.filter(|a| a.status() == 200) {
                    let v = Json::parse(&a.body).map_or(0, |j| j.u64("version"));
                    let least = acked.lock().unwrap().iter().filter(|(at, _)| at + 2000 < sent).map(|(_, v)| *v).max().unwrap_or(1);
                    if v < least { stale.lock().unwrap().push(format!("CONFIG: read of version {v} sent at {sent}, {least} was acknowledged 2 s before")); }
                }
                thread::sleep(Duration::from_millis(30));
            }
        });
    }
    if mode.contains("late") || mode.contains("lost") {
        let lost = mode.contains("lost");
        let all = lost || mode.contains("hold");
        let share = 0.3;
        let rng = Arc::new(Mutex::new(Rng(seed + 99)));
        for w in &cell.workers {
            let (rng, over) = (Arc::clone(&rng), Arc::clone(&over));
            w.set_trouble(Some(Arc::new(move |_: usize, path: &str, _: &Json| {
                if over.load(Ordering::Acquire) || (path == "/v1/hold" && !all) { return None; }
                let mut rng = rng.lock().unwrap();
                let d = rng.between(2.0, 12.0);
                if rng.share() >= share { return None; }
                Some(if lost { Duration::from_millis(1) } else { Duration::from_secs_f64(d) })
            })));
        }
    }
    while begun.elapsed() < traffic - Duration::from_secs(4) {
        thread::sleep(Duration::from_millis(1500 + rng.next() % 3000));
        let l = cell.leader();
        if mode.contains("kill") && let Some(l) = l {
            world.note(&format!("host {l} is killed"));
            cell.hosts[l].end();
            thread::sleep(Duration::from_millis(200 + rng.next() % 2500));
            cell.hosts[l].start();
        }
        if mode.contains("long") || mode.contains("wipe") {
            let h = if rng.share() < 0.5 { l.unwrap_or(0) } else { rng.next() as usize % 4 };
            world.note(&format!("host {h} is lost"));
            cell.hosts[h].end();
            if mode.contains("wipe") {
                let _ = std::fs::remove_dir_all(cell.dir.join(format!("data-{h}")));
                let _ = std::fs::create_dir_all(cell.dir.join(format!("data-{h}")));
                let text = std::fs::read_to_string(&cell.hosts[h].settings).unwrap().replace("bootstrap=true", "bootstrap=false");
                std::fs::write(&cell.hosts[h].settings, text).unwrap();
                thread::sleep(Duration::from_millis(100 + rng.next() % 2000));
            } else {
                thread::sleep(Duration::from_millis(2000 + rng.next() % 6000));
            }
            cell.hosts[h].start();
            thread::sleep(Duration::from_millis(4200));
        }
        if mode.contains("herd") {
            world.note("all hosts are killed");
            for h in &cell.hosts { h.end(); }
            thread::sleep(Duration::from_millis(300));
            for h in &cell.hosts { h.start(); }
            thread::sleep(Duration::from_millis(5000));
        }
        if mode.contains("freeze") {
            let h = if rng.share() < 0.5 { l.unwrap_or(0) } else { rng.next() as usize % 9 };
            world.note(&format!("host {h} is frozen"));
            cell.hosts[h].signal(SIGSTOP);
            thread::sleep(Duration::from_millis(1000 + rng.next() % 5000));
            cell.hosts[h].signal(SIGCONT);
        }
        if mode.contains("term") {
            let h = if rng.share() < 0.5 { l.unwrap_or(0) } else { rng.next() as usize % 9 };
            world.note(&format!("host {h} is stopped"));
            cell.hosts[h].signal(SIGTERM);
            thread::sleep(Duration::from_millis(4500));
            cell.hosts[h].end();
            cell.hosts[h].start();
        }
        if mode.contains("crash") || mode.contains("move") {
            let w = rng.next() as usize % 16;
            cell.workers[w].crash("crash");
            thread::sleep(Duration::from_millis(100 + rng.next() % 3000));
            cell.workers[w].start(mode.contains("crash"));
        }
    }
    over.store(true, Ordering::Release);
    for s in senders { let _ = s.join(); }
    thread::sleep(Duration::from_secs(16));
    // Final states.
    let mut bad = Vec::new();
    let all = accepted.lock().unwrap().clone();
    for (n, (id, full, kind)) in all.iter().enumerate() {
        let mut state = String::new();
        for k in 0..5 {
            if let Some(a) = cell.client(n + k, "GET", full, "") {
                state = format!("{} {}", a.status(), Json::parse(&a.body).map(|j| j.text("state").to_owned()).unwrap_or_default());
                if a.status() == 200 || a.status() == 410 { break; }
            }
        }
        let expected = match *kind { "lasting" => "200 running", "cancel" => "200 cancelled", _ => "200 completed" };
        let is_cancelled = *kind != "cancel" || cancelled.lock().unwrap().contains_key(id);
        if state != expected && is_cancelled { bad.push(format!("LOST? {kind} {full}: {state}")); }
    }
    let now = world.now();
    let runs = world.runs.lock().unwrap().clone();
    bad.extend(stale.lock().unwrap().drain(..));
    for id in rejected.lock().unwrap().iter() {
        if runs.iter().any(|r| r.task.starts_with(id.as_str())) { bad.push(format!("REFUSED {id} was rejected each time and ran")); }
    }
    let newest = acked.lock().unwrap().last().map_or(0, |(_, v)| *v);
    let a = crate::http::call(&cell.control(3), "GET", "/v1/config", &[], "", Duration::from_secs(3));
    let v = a.and_then(|a| Json::parse(&a.body)).map_or(0, |j| j.u64("version"));
    if v < newest { bad.push(format!("CONFIG: {v} at the end, {newest} acknowledged")); }
    world.tell(&format!("{} rejected, {newest} configurations", rejected.lock().unwrap().len()));
    for (id, _, kind) in &all {
        if *kind == "lasting" {
            let up = runs.iter().filter(|r| r.task.starts_with(id.as_str()) && r.to.is_none()).count();
            if up != 3 { bad.push(format!("lasting {id}: {up} tasks run")); }
        }
    }
    cell.finish();
    for (id, _, kind) in &all {
        let most = match *kind { "lasting" => 1, "spread" => 2, _ => continue };
        let of_job: Vec<_> = runs.iter().filter(|r| r.task.starts_with(id.as_str())).collect();
        for r in &of_job {
            let beside = of_job.iter().filter(|o| o.worker == r.worker && o.from <= r.from && o.to.unwrap_or(now) > r.from).count();
            if beside > most { bad.push(format!("ROUTE {} on w{}: {beside} tasks, at most {most}; late {}", r.task, r.worker, r.late)); }
        }
    }
    for r in &runs {
        let cpu = |id: &str| match all.iter().find(|(i, ..)| id.starts_with(i.as_str())).map(|(_, _, k)| *k) {
            Some("quick") => 1000, Some("chain") => if id.split('.').nth(2) == Some("0") { 1000 } else { 500 }, Some("timed") => 500, Some("lasting") => 300, _ => 700,
        };
        let used: u64 = runs.iter().filter(|o| o.worker == r.worker && o.from <= r.from && o.to.unwrap_or(now) > r.from).map(|o| cpu(&o.task)).sum();
        if used > 16_000 { bad.push(format!("LIMIT? {} on w{}: {used}", r.task, r.worker)); }
    }
    let mut by_task = BTreeMap::<&str, Vec<&crate::world::Run>>::new();
    for r in &runs { by_task.entry(&r.task).or_default().push(r); }
    for (task, rs) in &by_task {
        for (i, a) in rs.iter().enumerate() {
            for b in &rs[i + 1..] {
                let (from, to) = (a.from.max(b.from), a.to.unwrap_or(now).min(b.to.unwrap_or(now)));
                if from < to { bad.push(format!("TWICE {task}: run {} w{} and run {} w{} for {} ms from {from}, late {} {}", a.run, a.worker, b.run, b.worker, to - from, a.late, b.late)); }
            }
            if a.how == "done" && a.acked {
                for b in rs.iter() {
                    if b.from > a.to.unwrap() { bad.push(format!("TWICE {task}: run {} w{} at {} after done run {} w{} at {} late {}", b.run, b.worker, b.from, a.run, a.worker, a.to.unwrap(), b.late)); }
                }
            }
        }
        let mut parts = task.split('.');
        let id = parts.next().unwrap();
        let k: u64 = parts.next().unwrap().parse().unwrap();
        let step: u32 = parts.next().unwrap().parse().unwrap();
        if let Some((due, interval)) = dues.lock().unwrap().get(id) {
            for r in rs { if unix0 + r.from + 250 < due + k * interval { bad.push(format!("ORDER {task} early")); } }
        }
        if step > 0 && all.iter().any(|(i, _, kind)| i == id && *kind == "chain") {
            let first = rs.iter().map(|r| r.from).min().unwrap();
            for i in 0..3 {
                let before = format!("{id}.0.0.{i}");
                let ok = by_task.get(before.as_str()).is_some_and(|rs| rs.iter().any(|r| r.how == "done" && r.to.unwrap() <= first));
                if !ok { bad.push(format!("ORDER {task} before {before}")); }
            }
        }
        if let Some(at) = cancelled.lock().unwrap().get(id) {
            for r in rs { if r.from > at + 3000 && !r.late { bad.push(format!("UNASKED {task} started {} ms after cancel", r.from - at)); }
              if r.to.unwrap_or(now) > at + 3900 { bad.push(format!("UNASKED {task} runs until {} ms after cancel, late {}", r.to.unwrap_or(now) - at, r.late)); } }
        }
    }
    bad.truncate(25);
    for b in &bad { world.tell(b); }
    world.tell(&format!("{mode} seed {seed}: {} jobs, {} runs, {} findings", all.len(), runs.len(), bad.len()));
    !bad.is_empty()
}
