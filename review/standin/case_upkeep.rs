//! AVAIL: the executor of one task of a step with `max_unavailable` crashes and stays away, and the upkeep of
//! the machine of another one begins.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    Breaks,
    cloud::Cloud,
    executor::Transit,
    play::{CLOUD, CLOUD_PORT, Failed, Play, pause},
    record::Recorder,
};

const JOB: &str = "00000000000000d1";
/// Time in which the wave is to be done; one upkeep takes 2 s.
const DEADLINE_S: u64 = 10;

/// `notice_ms`.
const NOTICE: Duration = Duration::from_millis(4_500);

pub fn play(record: Recorder, has_trouble: bool) -> Result<Breaks, Failed> {
    let mut play = Play::start(record.clone(), true)?;
    play.configure()?;
    // One of them is an eighth, below the share of executors that crash at once (0.14).
    play.add_executors(8, |number| format!("r1-{number}"), &(Arc::new(|_: &_| Transit::Deliver) as _))?;
    let cloud = Cloud::new(&play.executors, record.clone());
    let _server = cloud.serve(play.hosts.other(CLOUD, CLOUD_PORT)).map_err(|e| e.to_string())?;
    pause(6.0);
    play.submit(
        JOB,
        "lasts",
        "{\"count\":2,\"cpu\":2000,\"mem_mb\":1024,\"long_running\":true,\"anti_affinity\":1,\"max_unavailable\":1}",
    )?;
    let at_work = || play.executors.iter().filter(|executor| executor.is_at_work(JOB)).cloned().collect::<Vec<_>>();
    play.wait("both tasks are at work", Duration::from_secs(10), || at_work().len() == 2)?;
    pause(2.0);
    let [lost, sound] = at_work().try_into().map_err(|_| "not on two executors")?;
    record.line(&format!("the tasks are at work on {} and {}", lost.setup.id, sound.setup.id));
    let machine = cloud.machine_of(&sound.setup.id).ok_or("no machine")?;
    let wave = format!("{{\"wave\":1,\"machines\":[\"{machine}\"],\"deadline_s\":{DEADLINE_S},\"cap\":1}}");
    let (status, _) = play.operator("POST", "/v1/wave-start", &wave, Duration::from_secs(10))?;
    if status != 200 {
        return Err(format!("wave: {status}"));
    }
    let mut lost_at = None;
    if has_trouble {
        lost.crash();
        lost_at = Some(Instant::now());
    }
    // Ends when the upkeep begins.
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(30) && cloud.begun.lock().expect("no panics").is_empty() {
        pause(0.02);
    }
    let begun = cloud.begun.lock().expect("no panics").clone();
    let Some(first) = begun.first() else {
        return Ok(Vec::new());
    };
    // The other task counts as back from the moment when another run of it is at work.
    let back = play.executors.iter().any(|executor| executor.setup.id != sound.setup.id && executor.is_at_work(JOB));
    let away = lost_at.map(|at| first.at.duration_since(at));
    record.line(&format!("upkeep of {} begins; the other task away for {away:?}; back by now: {back}", first.machine));
    Ok(match away {
        Some(away) if away >= NOTICE && !back => vec![format!(
            "AVAIL: the upkeep of {} ends the only task at work of a step of two with max_unavailable 1; the other one \
             has not been at work for {:.1} s",
            first.machine,
            away.as_secs_f64()
        )],
        _ => Vec::new(),
    })
}
