//! A start order gets no answer and is carried out late, by an executor that has just started anew
//! under its id.

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

/// Age of the order at which the executor crashes, and time until it is up again.
const CRASH_AT: Duration = Duration::from_millis(2_500);
const DOWN: Duration = Duration::from_millis(1_500);

pub fn run(record_path: &std::path::Path, has_trouble: bool) -> ExitCode {
    let Some(deployment) = Deployment::start(record_path, 9, 12, 16_000) else {
        return ExitCode::from(2);
    };
    let record = deployment.record.clone();
    let fronts = deployment.fronts();
    let route = deployment.route.clone();
    let mut random = Random(env_number("SEED", 5));
    if let Ok(mut ledger) = deployment.ledger.lock() {
        ledger.holds_marked = has_trouble;
    }
    let id = random.job_id();
    let path = format!("{}{id}", route.prefix);
    let body = "{\"spec\":\"400 marked\",\"steps\":[{\"count\":1,\"cpu\":3900,\"mem_mb\":1024,\
                \"estimate_ms\":400}]}";
    let answer = http::call(fronts[0], "POST", &path, &route.host, body, CALL);
    record.tell(&format!("POST {path} {body}: {answer:?}"));
    let begun = Instant::now();
    let mut state = String::new();
    while begun.elapsed() < Duration::from_millis(2_300) {
        let answer = http::call(fronts[4], "GET", &path, &route.host, "", CALL);
        state = format!("{answer:?}");
        if state.contains("completed") {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.tell(&format!(
        "GET {path}: {state} after {} ms",
        begun.elapsed().as_millis()
    ));
    if !state.contains("completed") {
        record.tell("could not run: the job was not completed in time");
        return ExitCode::from(2);
    }
    let late = deployment
        .ledger
        .lock()
        .ok()
        .and_then(|mut ledger| ledger.late.take());
    if let Some(late) = late {
        let Some(worker) = deployment
            .workers
            .iter()
            .find(|worker| worker.id == late.worker)
        else {
            return ExitCode::from(2);
        };
        thread::sleep(CRASH_AT.saturating_sub(late.sent_at.elapsed()));
        worker.crash();
        thread::sleep(DOWN);
        // The order has waited for the executor, as any call that is on its way when it starts.
        let answer = worker.restart_with(&late);
        let age = late.sent_at.elapsed().as_millis();
        record.tell(&format!(
            "start of {} carried out after {age} ms: {answer:?}",
            late.task
        ));
    } else if has_trouble {
        record.tell("could not run: no start order was held back");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(6));
    let again = deployment
        .ledger
        .lock()
        .map(|ledger| ledger.again.clone())
        .unwrap_or_default();
    for text in &again {
        record.tell(&format!("BROKEN: {text}"));
    }
    if again.is_empty() {
        record.tell("held: no task started after its end");
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
