//! One scheduled job comes whose times lie in the past year. The platform ends a process whose memory
//! is over its limit, and starts it again.

use std::{
    fs,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{CALL, Deployment, env_number},
    http,
    record::{Random, unix_ms},
};

/// `limits.memory_mb` of the settings.
const MEMORY_MB: u64 = 260;

/// Pause before a process is started again.
const RESTART: Duration = Duration::from_millis(1_000);

/// A year by the minute.
const TIMES: u64 = 365 * 24 * 60;
const INTERVAL_MS: u64 = 60_000;

/// Time between two small jobs, and the time of each of their tasks.
const PAUSE: Duration = Duration::from_millis(500);
const SMALL_MS: u64 = 300;

/// Length of the traffic; time after it until jobs are asked for (`finish_s`); and time for which a
/// job may then have nothing running.
const TRAFFIC: Duration = Duration::from_secs(40);
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Cores of all executors, in thousandths.
const WORKERS: usize = 12;
const WORKER_CPU: u64 = 16_000;

pub fn run(record_path: &std::path::Path, has_trouble: bool) -> ExitCode {
    let Some(mut deployment) = Deployment::start(record_path, 9, WORKERS, WORKER_CPU) else {
        return ExitCode::from(2);
    };
    let record = deployment.record.clone();
    let fronts = deployment.fronts();
    let route = deployment.route.clone();
    let mut random = Random(env_number("SEED", 3));
    let begun = Instant::now();
    let traffic_until = begun + TRAFFIC;
    let asked_at = traffic_until + FINISH;
    let until = asked_at + IDLE;
    let comes_at = begun + Duration::from_secs(5);
    let mut is_sent = !has_trouble;
    let mut ends = vec![0; deployment.hosts.all.len()];
    let mut most = vec![0; deployment.hosts.all.len()];
    let mut small = Vec::new();
    let mut next_small = begun;
    let mut most_running = 0;
    while Instant::now() < until {
        let front = fronts[random.below(fronts.len() as u64) as usize];
        if !is_sent && Instant::now() >= comes_at {
            let path = format!("{}{}", route.prefix, random.job_id());
            let start_at = unix_ms() - TIMES * INTERVAL_MS;
            let body = format!(
                "{{\"spec\":\"500 work\",\"steps\":[{{\"count\":1,\"cpu\":3900,\"mem_mb\":11000,\
                 \"estimate_ms\":500}}],\"start_at_ms\":{start_at},\"interval_ms\":{INTERVAL_MS},\
                 \"repeat_count\":{TIMES}}}"
            );
            let answer = http::call(front, "POST", &path, &route.host, &body, CALL);
            record.tell(&format!("POST {path} {body}: {answer:?}"));
            is_sent = matches!(&answer, Ok((200..=299, _)));
        }
        if Instant::now() >= next_small && Instant::now() < traffic_until {
            next_small = Instant::now() + PAUSE;
            let id = random.job_id();
            let path = format!("{}{id}", route.prefix);
            let body = format!(
                "{{\"spec\":\"{SMALL_MS} work\",\"steps\":[{{\"count\":2,\"cpu\":1000,\
                 \"mem_mb\":1000,\"estimate_ms\":{SMALL_MS}}}]}}"
            );
            let answer = http::call(front, "POST", &path, &route.host, &body, CALL);
            record.note(&format!("POST {path} {body}: {answer:?}"));
            if matches!(&answer, Ok((200..=299, _))) {
                small.push((id, path));
            }
        }
        for (index, host) in deployment.hosts.all.iter_mut().enumerate() {
            let used = host
                .process
                .as_ref()
                .map_or(0, |child| memory_mb(child.id()));
            most[index] = used.max(most[index]);
            if used > MEMORY_MB {
                record.note(&format!("{} uses {used} MB and is ended", host.name));
                host.kill();
                ends[index] += 1;
                thread::sleep(RESTART);
                let _spawned = host.spawn();
            }
        }
        if Instant::now() >= asked_at {
            let running = deployment
                .workers
                .iter()
                .map(crate::worker::Worker::running);
            most_running = running.sum::<usize>().max(most_running);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let done = deployment
        .ledger
        .lock()
        .map(|ledger| ledger.done.clone())
        .unwrap_or_default();
    let is_done = |id: &str| done.keys().filter(|task| task.starts_with(id)).count() >= 2;
    let stuck = small
        .iter()
        .filter(|(id, _)| !is_done(id))
        .collect::<Vec<_>>();
    record.tell(&format!("most memory in MB: {most:?}; ends: {ends:?}"));
    record.tell(&format!(
        "{} small jobs accepted, {} of them not done; at most {most_running} tasks of the large job \
         or of these at work in the last 3 s",
        small.len(),
        stuck.len()
    ));
    for (_, path) in stuck.iter().take(3) {
        let answer = http::call(fronts[8], "GET", path, &route.host, "", CALL);
        record.tell(&format!("GET {path}: {answer:?}"));
    }
    let core = deployment
        .hosts
        .all
        .iter()
        .zip(&ends)
        .filter(|(host, _)| host.has_disk);
    let often = core.filter(|(_, ends)| **ends >= 3).count();
    record.tell(&format!(
        "on {often} machines of the core processes ended three times or more"
    ));
    // Each task at work takes 3,900 at most.
    let is_mostly_idle = most_running as u64 * 3_900 * 2 < WORKERS as u64 * WORKER_CPU;
    if !stuck.is_empty() && is_mostly_idle {
        record.tell("BROKEN: accepted jobs have nothing running, and most of the service is idle");
        return ExitCode::FAILURE;
    }
    record.tell("held: all small jobs were run");
    ExitCode::SUCCESS
}

fn memory_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| {
        line.trim()
            .trim_end_matches("kB")
            .trim()
            .parse::<u64>()
            .ok()
    });
    kb.unwrap_or(0) / 1_024
}
