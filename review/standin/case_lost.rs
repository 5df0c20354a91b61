//! LOST: the executor of a task that lasts crashes for good, and the process of the machine that leads is killed
//! right after; for how long has the task nothing running?

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    Breaks,
    executor::Transit,
    play::{Failed, Play, pause},
    record::Recorder,
};

const JOB: &str = "00000000000000e1";

/// `contact_ms`, within which the core becomes stable again after the last event.
const CONTACT: Duration = Duration::from_millis(3_000);

/// A task that lasts must run from this time after its last run on...
const AFTER_LAST_RUN: Duration = Duration::from_secs(6);

/// ... so the rule is broken by this time with nothing running, after as much calm.
const NOTHING_RUNNING: Duration = Duration::from_secs(3);
const CALM_BEFORE: Duration = Duration::from_secs(4);

pub fn play(record: Recorder, has_trouble: bool) -> Result<Breaks, Failed> {
    let mut play = Play::start(record.clone(), false)?;
    play.configure()?;
    // One executor is an eighth, below the share that crashes at once (0.14).
    play.add_executors(8, |number| format!("r1-{number}"), &(Arc::new(|_: &_| Transit::Deliver) as _))?;
    pause(4.0);
    play.submit(JOB, "lasts", "{\"count\":1,\"cpu\":2000,\"mem_mb\":1024,\"long_running\":true}")?;
    let is_running = || play.executor_of(JOB).is_some();
    play.wait("the task runs", Duration::from_secs(10), is_running)?;
    let executor = play.executor_of(JOB).ok_or("the task has ended")?;
    record.line(&format!("the task runs on {}", executor.setup.id));
    pause(3.0);
    if !has_trouble {
        pause(10.0);
        return Ok(Vec::new());
    }
    let leader = play.leader()?;
    executor.crash();
    let ended_at = Instant::now();
    pause(0.2);
    record.line(&format!("front-{}, which leads, is killed", leader + 1));
    play.hosts.all[leader].kill();
    pause(0.5);
    play.hosts.start_one(leader, false).map_err(|e| e.to_string())?;
    let last_event = Instant::now();
    record.line(&format!("front-{} is back; no disruption from here on", leader + 1));
    let is_running = || play.executor_of(JOB).is_some();
    let ran_again = play.wait("the task runs again", Duration::from_secs(40), is_running);
    let idle = ended_at.elapsed();
    record.line(&format!("nothing ran for {:.2} s: {ran_again:?}", idle.as_secs_f64()));
    record.line(&format!("state: {}", play.state(JOB)?));
    // The first moment from which nothing may run for so long.
    let from = (ended_at + AFTER_LAST_RUN).max(last_event + CONTACT + CALM_BEFORE);
    let until = from + NOTHING_RUNNING;
    if Instant::now() <= until {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "LOST: the task that lasts has nothing running for {:.2} s; {:.2} s after its last run, and with {:.2} s of calm \
         since the last event, it had to be running for {:.2} s",
        idle.as_secs_f64(),
        until.duration_since(ended_at).as_secs_f64(),
        until.duration_since(last_event).as_secs_f64(),
        idle.saturating_sub(until.duration_since(ended_at)).as_secs_f64()
    )])
}
