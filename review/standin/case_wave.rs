//! LIMIT: the machine that leads stands still while it orders the upkeep of the machines of a wave, another
//! machine takes over and goes on, and then the first one wakes and goes on as well.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Breaks,
    cloud::Cloud,
    executor::Transit,
    hosts::{SIGCONT, SIGSTOP},
    play::{CLOUD, CLOUD_PORT, Failed, Play, pause},
    record::Recorder,
};

const JOB: &str = "00000000000000b1";
const CAP: usize = 2;
const MACHINES: u8 = 8;

/// Longest freeze of a machine in the site file.
const MOST_FREEZE: Duration = Duration::from_millis(7_800);

pub fn play(record: Recorder, has_trouble: bool) -> Result<Breaks, Failed> {
    let mut play = Play::start(record.clone(), true)?;
    play.configure()?;
    // Two machines to a rack.
    let rack = |number: u8| format!("r1-{}", (number + 1) / 2);
    play.add_executors(MACHINES, rack, &(Arc::new(|_: &_| Transit::Deliver) as _))?;
    let cloud = Cloud::new(&play.executors, record.clone());
    let _server = cloud.serve(play.hosts.other(CLOUD, CLOUD_PORT)).map_err(|e| e.to_string())?;
    // Executors that began long before the wave.
    pause(8.0);
    let leader = play.leader()?;
    record.line(&format!("front-{} leads", leader + 1));
    let frozen = Arc::new(AtomicBool::new(false));
    if has_trouble {
        let pid = play.hosts.all[leader].pid().ok_or("the leader has no process")?;
        let (frozen, record, orders) = (Arc::clone(&frozen), record.clone(), AtomicUsize::new(0));
        cloud.set_on_order(Box::new(move |_, _| {
            if orders.fetch_add(1, Ordering::SeqCst) == 0 {
                crate::hosts::send_signal(pid, SIGSTOP);
                frozen.store(true, Ordering::SeqCst);
                record.line("the machine that leads stands still");
            }
        }));
    }
    let names = (1..=MACHINES).map(|number| format!("\"m-{number}\"")).collect::<Vec<_>>().join(",");
    let wave = format!("{{\"wave\":1,\"machines\":[{names}],\"deadline_s\":40,\"cap\":{CAP}}}");
    let (status, _) = play.operator("POST", "/v1/wave-start", &wave, Duration::from_secs(10))?;
    if status != 200 {
        return Err(format!("wave: {status}"));
    }
    if has_trouble {
        play.wait("the first order", Duration::from_secs(10), || frozen.load(Ordering::SeqCst))?;
        let froze_at = Instant::now();
        // Work comes in that has to be near the first two machines.
        play.submit(
            JOB,
            "work 25000",
            "{\"count\":2,\"cpu\":2000,\"mem_mb\":1024,\"estimate_ms\":25000,\"anti_affinity\":1,\
             \"requirements\":\"r1-1\"}",
        )?;
        let first = cloud.begun.lock().expect("no panics").len();
        let left = MOST_FREEZE.saturating_sub(froze_at.elapsed());
        let resumed = play.wait("the next leader goes on", left, || {
            let begun = cloud.begun.lock().expect("no panics").len();
            begun >= first + CAP
        });
        play.hosts.all[leader].signal(SIGCONT);
        record.line(&format!("front-{} wakes after {:.1} s", leader + 1, froze_at.elapsed().as_secs_f64()));
        if let Err(cause) = resumed {
            record.line(&cause);
        }
    }
    let completed = || {
        let (_, text) = play.operator("GET", "/v1/wave-get/1", "", Duration::from_secs(10)).unwrap_or_default();
        text.contains("completed")
    };
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(50) && !completed() {
        pause(2.0);
    }
    if has_trouble {
        record.line(&format!("state of the job: {}", play.state(JOB)?));
    }
    let begun = cloud.begun.lock().expect("no panics").clone();
    let over = begun.iter().filter(|begun| begun.others_down.len() >= CAP);
    Ok(over
        .map(|begun| {
            format!(
                "LIMIT: the upkeep of {} begins by order of {} with token {} while {} machines of the wave are down, \
                 and {CAP} may be: {}",
                begun.machine,
                begun.holder,
                begun.fence,
                begun.others_down.len(),
                begun.others_down.join(", ")
            )
        })
        .collect())
}
