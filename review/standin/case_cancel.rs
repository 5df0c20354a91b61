//! UNASKED: a job is cancelled while the executor of its task is cut off, and the machine that leads is
//! restarted as planned before the executor is reachable again.

use std::time::{Duration, Instant};

use crate::{
    Breaks,
    executor::Transit,
    hosts::SIGTERM,
    play::{Failed, Play, pause},
    record::Recorder,
};

const JOB: &str = "00000000000000c1";
const CONTACT: Duration = Duration::from_millis(3_000);
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(900);

/// Time for which the task is watched after the time in which it must be gone.
const WATCHED_AFTER: Duration = Duration::from_secs(13);

pub fn play(record: Recorder, has_trouble: bool) -> Result<Breaks, Failed> {
    let mut play = Play::start(record.clone(), false)?;
    play.configure()?;
    // One of them is a twelfth, below the share of executors that are cut off at once (0.095).
    play.add_executors(12, |number| format!("r1-{number}"), &(std::sync::Arc::new(|_: &_| Transit::Deliver) as _))?;
    pause(3.0);
    play.submit(JOB, "lasts", "{\"count\":1,\"cpu\":2000,\"mem_mb\":1024,\"long_running\":true}")?;
    play.wait("the task is at work", Duration::from_secs(10), || {
        play.executors.iter().any(|executor| executor.is_at_work(JOB))
    })?;
    let executor = play.executor_of(JOB).ok_or("the task has ended")?;
    record.line(&format!("the task is at work on {}", executor.setup.id));
    pause(2.0);
    if has_trouble {
        executor.set_cut(true);
        pause(0.7);
    }
    let (status, _) = play.client("DELETE", JOB, "", Duration::from_secs(10))?;
    if status != 200 {
        return Err(format!("cancelling: {status}"));
    }
    if has_trouble {
        pause(0.3);
        let leader = play.leader()?;
        record.line(&format!("front-{}, which leads, gets SIGTERM", leader + 1));
        play.hosts.all[leader].signal(SIGTERM);
        pause(2.4);
        executor.set_cut(false);
        play.hosts.all[leader].wait();
        record.line(&format!("front-{} has ended", leader + 1));
        play.hosts.start_one(leader, false).map_err(|e| e.to_string())?;
        record.line(&format!("front-{} is back", leader + 1));
    }
    // No disruption from here on.
    let calm_since = Instant::now();
    pause(0.5);
    record.line(&format!("state: {}", play.state(JOB)?));
    let must_be_gone = CONTACT + CANCEL + STOP;
    let mut late = Vec::new();
    let mut last = String::new();
    while calm_since.elapsed() < must_be_gone + WATCHED_AFTER {
        pause(0.1);
        for (task, run, lease_left) in executor.runs(JOB) {
            if calm_since.elapsed() > must_be_gone {
                late.push((calm_since.elapsed(), task, run, lease_left));
            }
        }
        let seen = format!("{:?}", executor.runs(JOB).iter().map(|(task, run, _)| (task.clone(), *run)).collect::<Vec<_>>());
        if seen != last {
            record.line(&format!("runs of the cancelled job on {}: {seen}", executor.setup.id));
            last = seen;
        }
    }
    let (Some(first), Some(last)) = (late.first(), late.last()) else {
        return Ok(Vec::new());
    };
    Ok(vec![format!(
        "UNASKED: run {} of {}, whose job was cancelled with 200, is still running {:.1} s after the last \
         disruption and until {:.1} s after it, with {} ms of its lease left then",
        first.2,
        first.1,
        first.0.as_secs_f64(),
        last.0.as_secs_f64(),
        last.3
    )])
}
