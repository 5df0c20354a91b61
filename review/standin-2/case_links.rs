//! The leader is killed and comes back, again and again, under a steady load on all hosts.

use std::{
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{CALL, Deployment, env_number},
    http,
    record::Random,
};

pub fn run(record_path: &std::path::Path, has_trouble: bool) -> ExitCode {
    let others = env_number("OTHERS", 8) as usize;
    let Some(mut deployment) = Deployment::start_with(record_path, 5, others, 6, 16_000, 2) else {
        return ExitCode::from(2);
    };
    let seconds = env_number("SECONDS", 100);
    let clients = env_number("CLIENTS", 4);
    let pause = Duration::from_millis(env_number("PAUSE_MS", 50));
    let record = deployment.record.clone();
    let begun = Instant::now();
    let until = begun + Duration::from_secs(seconds);
    let is_over = Arc::new(AtomicBool::new(false));
    let names = deployment.hosts.all.iter().map(|host| host.name.clone());
    let names = names.collect::<Vec<_>>();
    // Time of the last answer with success through each host.
    let served = names.iter().map(|_| Arc::new(AtomicU64::new(0))).collect::<Vec<_>>();
    for (index, front) in deployment.fronts().into_iter().enumerate() {
        for client in 0..clients {
            let (record, route) = (record.clone(), deployment.route.clone());
            let (served, is_over) = (Arc::clone(&served[index]), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut random = Random(0x5eed_0000 + client + 100 * index as u64);
                let id = random.job_id();
                let path = format!("{}{id}", route.prefix);
                let body = "{\"spec\":\"200 work\",\"steps\":[{\"count\":1,\"cpu\":100,\
                            \"mem_mb\":64,\"estimate_ms\":200}]}";
                let _accepted = http::call(front, "POST", &path, &route.host, body, CALL);
                while !is_over.load(Ordering::Relaxed) {
                    let answer = http::call(front, "GET", &path, &route.host, "", CALL);
                    if matches!(&answer, Ok((200..=299, _))) {
                        served.store(record.now(), Ordering::Relaxed);
                    }
                    thread::sleep(pause);
                }
            });
        }
    }
    let mut broken = Vec::new();
    let mut kills = 0;
    while Instant::now() < until && broken.is_empty() {
        thread::sleep(Duration::from_millis(env_number("CALM_MS", 7_000)));
        let now = record.now();
        for (name, served) in names.iter().zip(&served) {
            let silent = now - served.load(Ordering::Relaxed);
            if silent > 4_500 {
                broken.push(format!("{name} has served nothing for {silent} ms"));
            }
        }
        if !broken.is_empty() || !has_trouble {
            continue;
        }
        let Some(leader) = deployment.leader() else {
            record.note("no leader is known");
            continue;
        };
        kills += 1;
        record.note(&format!("{} leads and is killed", deployment.hosts.all[leader].name));
        deployment.hosts.all[leader].kill();
        thread::sleep(Duration::from_millis(1_500));
        let _spawned = deployment.hosts.all[leader].spawn();
    }
    if !broken.is_empty() {
        thread::sleep(Duration::from_secs(8));
        let now = record.now();
        for (name, served) in names.iter().zip(&served) {
            let silent = now - served.load(Ordering::Relaxed);
            record.tell(&format!("{name}: served {silent} ms ago"));
        }
    }
    is_over.store(true, Ordering::Relaxed);
    record.tell(&format!("{kills} times the leader was killed, {} s", begun.elapsed().as_secs()));
    for text in &broken {
        record.tell(&format!("BROKEN: {text}"));
    }
    if broken.is_empty() {
        record.tell("held");
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
