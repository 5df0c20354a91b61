//! A service runs on all executors, and a gang comes that fits only on executors without it.

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{CALL, Deployment, env_number},
    http,
    record::Random,
};

const WORKERS: usize = 12;
const WORKER_CPU: u64 = 16_000;

/// Cores of a task of the service and of a small job, in thousandths.
const SERVICE_CPU: u64 = 1_000;
const SMALL_CPU: u64 = 2_000;

/// Length of the traffic; time after it until jobs are asked for (`finish_s`); and time for which a
/// job may then have nothing running.
const TRAFFIC: Duration = Duration::from_secs(40);
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

const PAUSE: Duration = Duration::from_millis(250);

pub fn run(record_path: &std::path::Path, has_trouble: bool) -> ExitCode {
    let Some(deployment) = Deployment::start(record_path, 9, WORKERS, WORKER_CPU) else {
        return ExitCode::from(2);
    };
    let record = deployment.record.clone();
    let fronts = deployment.fronts();
    let (route, gangs) = (deployment.route.clone(), deployment.urgent_route.clone());
    let mut random = Random(env_number("SEED", 3));
    let service = format!("{}{}", route.prefix, random.job_id());
    let body = format!(
        "{{\"spec\":\"lasting\",\"steps\":[{{\"count\":{WORKERS},\"cpu\":{SERVICE_CPU},\
         \"mem_mb\":1000,\"anti_affinity\":1,\"long_running\":true}}]}}"
    );
    let answer = http::call(fronts[0], "POST", &service, &route.host, &body, CALL);
    record.tell(&format!("POST {service} {body}: {answer:?}"));
    thread::sleep(Duration::from_secs(4));
    let running = |deployment: &Deployment| {
        let running = deployment
            .workers
            .iter()
            .map(crate::worker::Worker::running);
        running.sum::<usize>()
    };
    if running(&deployment) != WORKERS {
        record.tell("could not run: the service does not run on all executors");
        return ExitCode::from(2);
    }
    let begun = Instant::now();
    let gang_at = begun + Duration::from_secs(5);
    let traffic_until = begun + TRAFFIC;
    let asked_at = traffic_until + FINISH;
    let until = asked_at + IDLE;
    let mut is_sent = !has_trouble;
    let mut small = Vec::new();
    let mut most_running = 0;
    while Instant::now() < until {
        let front = fronts[random.below(fronts.len() as u64) as usize];
        if !is_sent && Instant::now() >= gang_at {
            is_sent = true;
            let path = format!("{}{}", gangs.prefix, random.job_id());
            let body = format!(
                "{{\"spec\":\"6200 gang\",\"steps\":[{{\"count\":{WORKERS},\"cpu\":{WORKER_CPU},\
                 \"mem_mb\":52000,\"estimate_ms\":6200,\"gang\":true}}]}}"
            );
            let answer = http::call(front, "POST", &path, &gangs.host, &body, CALL);
            record.tell(&format!("POST {path} {body}: {answer:?}"));
        }
        if Instant::now() < traffic_until {
            let id = random.job_id();
            let path = format!("{}{id}", route.prefix);
            let body = format!(
                "{{\"spec\":\"800 work\",\"steps\":[{{\"count\":2,\"cpu\":{SMALL_CPU},\
                 \"mem_mb\":1000,\"estimate_ms\":800}}]}}"
            );
            let answer = http::call(front, "POST", &path, &route.host, &body, CALL);
            record.note(&format!("POST {path} {body}: {answer:?}"));
            if matches!(&answer, Ok((200..=299, _))) {
                small.push((id, path));
            }
        }
        if Instant::now() >= asked_at {
            most_running = running(&deployment).max(most_running);
        }
        thread::sleep(PAUSE);
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
    record.tell(&format!(
        "{} small jobs accepted, {} of them not done; at most {most_running} runs at work in the \
         last 3 s",
        small.len(),
        stuck.len()
    ));
    for (_, path) in stuck.iter().take(3) {
        let answer = http::call(fronts[8], "GET", path, &route.host, "", CALL);
        record.tell(&format!("GET {path}: {answer:?}"));
    }
    // Only the service and small jobs may be at work; a small task takes more than one of the service.
    let is_mostly_idle = most_running as u64 * SMALL_CPU * 2 < WORKERS as u64 * WORKER_CPU;
    if !stuck.is_empty() && is_mostly_idle {
        record.tell("BROKEN: accepted jobs have nothing running, and most of the service is idle");
        return ExitCode::FAILURE;
    }
    record.tell("held: all small jobs were run");
    ExitCode::SUCCESS
}
