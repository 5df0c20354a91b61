//! Scheduled jobs catch up on the times that have passed, and now and then one of them is cancelled.

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{CALL, Deployment, env_number},
    http,
    record::{Random, unix_ms},
};

/// Jobs that wait; a share of 0.25 of them is cancelled in each disruption.
const JOBS: usize = 8;
const CANCELLED: usize = 2;

/// Length of a disruption, and the calm time after it.
const FOR: Duration = Duration::from_millis(2_000);
const CALM: Duration = Duration::from_millis(500);

/// Occurrences that are not due yet.
const LATER: u64 = 60;

pub fn run(record_path: &std::path::Path, has_trouble: bool) -> ExitCode {
    let Some(mut deployment) =
        Deployment::start(record_path, 9, env_number("WORKERS", 3) as usize, 16_000)
    else {
        return ExitCode::from(2);
    };
    let times = env_number("TIMES", 1_440);
    let (steps, width) = (env_number("STEPS", 1), env_number("WIDTH", 100));
    let until = Instant::now() + Duration::from_secs(env_number("SECONDS", 100));
    let record = deployment.record.clone();
    let fronts = deployment.fronts();
    let route = deployment.route.clone();
    let mut random = Random(env_number("SEED", 1));
    let mut jobs = Vec::new();
    let (mut accepted, mut cancelled) = (0, 0);
    let mut ended = Vec::new();
    while Instant::now() < until && ended.is_empty() {
        while jobs.len() < JOBS {
            let id = random.job_id();
            let path = format!("{}{id}", route.prefix);
            let front = fronts[random.below(fronts.len() as u64) as usize];
            let step =
                format!("{{\"count\":{width},\"cpu\":3900,\"mem_mb\":11000,\"estimate_ms\":3400}}");
            let list = vec![step; steps as usize].join(",");
            let start_at = unix_ms() - times * 60_000;
            let body = format!(
                "{{\"spec\":\"3400 work\",\"steps\":[{list}],\"start_at_ms\":{start_at},\
                 \"interval_ms\":60000,\"repeat_count\":{}}}",
                times + LATER
            );
            let answer = http::call(front, "POST", &path, &route.host, &body, CALL);
            record.note(&format!("POST {path} {body}: {answer:?}"));
            if !matches!(&answer, Ok((200..=299, _))) {
                thread::sleep(Duration::from_millis(500));
                break;
            }
            accepted += 1;
            jobs.push(path);
        }
        thread::sleep(CALM);
        for _ in 0..CANCELLED {
            let wait = FOR / CANCELLED as u32 / 2;
            let more = Duration::from_millis(random.below(wait.as_millis() as u64));
            thread::sleep(wait + more);
            if !has_trouble || jobs.is_empty() {
                continue;
            }
            let path = jobs.remove(jobs.len() - 1);
            let front = fronts[random.below(fronts.len() as u64) as usize];
            let answer = http::call(front, "DELETE", &path, &route.host, "", CALL);
            record.note(&format!("DELETE {path}: {answer:?}"));
            cancelled += u64::from(matches!(&answer, Ok((200..=299 | 410, _))));
        }
        ended = deployment.hosts.ended();
    }
    record.tell(&format!("{accepted} jobs accepted, {cancelled} cancelled"));
    for (host, status, words) in &ended {
        record.tell(&format!(
            "BROKEN: the process of {host} ended by itself: {status}; {words}"
        ));
    }
    if ended.is_empty() {
        record.tell("held: no process ended by itself");
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
