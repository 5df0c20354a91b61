//! TWICE: the first start order of a task is carried out late, and the executor has started again under its
//! id meanwhile.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Breaks,
    executor::{Network, Seen, Transit},
    play::{Failed, Play, pause},
    record::Recorder,
};

const JOB: &str = "00000000000000a1";

/// One of them is an eighth, below the share of executors that crash at once (0.14).
const EXECUTORS: u8 = 8;

/// Further jobs, so that the one late order is a small share of all orders (0.055 at most).
const OTHER_JOBS: u64 = 40;

/// Time by which the start order is late; orders may be carried out 2 to 12 s later.
const DELAY: Duration = Duration::from_millis(6_000);

pub fn play(record: Recorder, has_trouble: bool) -> Result<Breaks, Failed> {
    let is_armed = Arc::new(AtomicBool::new(false));
    let held_at = Arc::new(Mutex::new(None::<Instant>));
    let (armed, held, lines) = (Arc::clone(&is_armed), Arc::clone(&held_at), record.clone());
    let network: Network = Arc::new(move |request| {
        let is_of_job = request.path == "/v1/run-start" && request.body.contains(JOB);
        if is_of_job && armed.swap(false, Ordering::SeqCst) {
            lines.line(&format!("network: held up: {} {}", request.path, request.body));
            *held.lock().expect("no panics") = Some(Instant::now());
            return Transit::DeliverLate(DELAY);
        }
        Transit::Deliver
    });
    let mut play = Play::start(record.clone(), false)?;
    play.configure()?;
    play.add_executors(EXECUTORS, |number| format!("r1-{number}"), &network)?;
    pause(3.0);
    is_armed.store(has_trouble, Ordering::SeqCst);
    play.submit(JOB, "work 1500", "{\"count\":1,\"cpu\":2000,\"mem_mb\":1024,\"estimate_ms\":1500}")?;
    for number in 0..OTHER_JOBS {
        let job = format!("{:016x}", 0xb000 + number);
        play.submit(&job, "work 300", "{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300}")?;
    }
    play.wait("the task starts", Duration::from_secs(10), || play.executor_of(JOB).is_some())?;
    let executor = play.executor_of(JOB).ok_or("the task has ended")?;
    let is_noted = || {
        let ledger = play.ledger.lock().expect("no panics");
        ledger.iter().any(|seen| matches!(seen, Seen::Noted { task, how: "done", .. } if task.starts_with(JOB)))
    };
    play.wait("the end is taken note of", Duration::from_secs(10), is_noted)?;
    record.line(&format!("state: {}", play.state(JOB)?));
    if has_trouble {
        pause(0.5);
        executor.crash();
        pause(1.0);
        executor.start().map_err(|e| e.to_string())?;
        pause(DELAY.as_secs_f64());
    }
    pause(3.0);
    record.line(&format!("state: {}", play.state(JOB)?));
    let ledger = play.ledger.lock().expect("no panics");
    let starts = ledger.iter().filter(|seen| matches!(seen, Seen::Start { .. })).count();
    drop(ledger);
    record.line(&format!("{starts} starts on {EXECUTORS} executors, 1 order was late"));
    Ok(twice(&play))
}

/// Starts of a task while another run of it goes on, or after a run ended done that is taken note of.
fn twice(play: &Play) -> Breaks {
    let ledger = play.ledger.lock().expect("no panics");
    let mut breaks = Vec::new();
    let mut done = Vec::new();
    for seen in &*ledger {
        match seen {
            Seen::Noted { task, run, how: "done", has_lapsed: false, .. } => done.push((task.clone(), *run)),
            Seen::Start { executor, task, run, life, .. } => {
                if let Some((_, before)) = done.iter().find(|(known, _)| known == task) {
                    breaks.push(format!(
                        "TWICE: run {run} of {task} starts on {executor} (born {life}) after run {before} ended done \
                         and was taken note of"
                    ));
                }
            }
            _ => {}
        }
    }
    breaks
}
