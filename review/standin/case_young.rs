//! AVAIL: the executor of one task of a step with `max_unavailable` has started again shortly before a wave is
//! ordered; the upkeep of its machine and, half a second later, that of the other task's machine begin.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    Breaks,
    cloud::Cloud,
    executor::{Executor, Transit},
    play::{CLOUD, CLOUD_PORT, Failed, Play, pause},
    record::Recorder,
};

const JOB: &str = "00000000000000d1";

/// Time in which the wave is to be done; two machines at once take 2 s.
const DEADLINE_S: u64 = 16;

pub fn play(record: Recorder, has_trouble: bool) -> Result<Breaks, Failed> {
    let mut play = Play::start(record.clone(), true)?;
    play.configure()?;
    // Two machines to a rack. One executor is an eighth, below the share that crashes at once (0.14).
    let rack = |number: u8| format!("r1-{}", (number + 1) / 2);
    play.add_executors(8, rack, &(Arc::new(|_: &_| Transit::Deliver) as _))?;
    let cloud = Cloud::new(&play.executors, record.clone());
    let _server = cloud.serve(play.hosts.other(CLOUD, CLOUD_PORT)).map_err(|e| e.to_string())?;
    // Executors that began long before the wave.
    pause(7.0);
    play.submit(
        JOB,
        "lasts",
        "{\"count\":2,\"cpu\":2000,\"mem_mb\":1024,\"long_running\":true,\"anti_affinity\":1,\"max_unavailable\":1,\
         \"requirements\":\"r1-1\"}",
    )?;
    let at_work = || at_work(&play.executors);
    play.wait("both tasks are at work", Duration::from_secs(10), || at_work() == 2)?;
    // Number of the tasks that are at work as each upkeep begins, and when.
    let seen = Arc::new(Mutex::new(Vec::<(Instant, String, bool, usize)>::new()));
    let (executors, found) = (play.executors.clone(), Arc::clone(&seen));
    cloud.set_on_begin(Box::new(move |machine, executor| {
        let is_here = executor.is_at_work(JOB);
        let sum = self::at_work(&executors);
        found.lock().expect("no panics").push((Instant::now(), machine.to_owned(), is_here, sum));
    }));
    if has_trouble {
        play.executors[0].crash();
        pause(1.0);
        play.executors[0].start_as("i-1-again").map_err(|e| e.to_string())?;
        play.wait("both tasks are at work again", Duration::from_secs(8), || at_work() == 2)?;
        pause(1.0);
    }
    let wave = format!("{{\"wave\":1,\"machines\":[\"m-1\",\"m-2\"],\"deadline_s\":{DEADLINE_S},\"cap\":2}}");
    let (status, _) = play.operator("POST", "/v1/wave-start", &wave, Duration::from_secs(10))?;
    if status != 200 {
        return Err(format!("wave: {status}"));
    }
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(60) && seen.lock().expect("no panics").len() < 2 {
        pause(0.05);
    }
    let (_, state) = play.operator("GET", "/v1/wave-get/1", "", Duration::from_secs(10))?;
    record.line(&format!("wave: {state}"));
    let seen = seen.lock().expect("no panics").clone();
    let mut breaks = Vec::new();
    for (at, (when, machine, is_here, sum)) in seen.iter().enumerate() {
        record.line(&format!("the upkeep of {machine} begins: {sum} of 2 tasks at work, one of them there: {is_here}"));
        // The other task was ended by the upkeep before and has not been at work since.
        if at > 0 && *is_here && *sum == 1 {
            breaks.push(format!(
                "AVAIL: the upkeep of {machine} ends the only task at work of a step of two with max_unavailable 1, {} ms \
                 after that of {} has ended the other one",
                when.duration_since(seen[at - 1].0).as_millis(),
                seen[at - 1].1
            ));
        }
    }
    Ok(breaks)
}

fn at_work(executors: &[Arc<Executor>]) -> usize {
    executors.iter().filter(|executor| executor.is_at_work(JOB)).count()
}
