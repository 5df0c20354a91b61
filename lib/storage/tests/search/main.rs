//! Search over the steps of the file store with crashes, loss of power, a full disk and damage.
//!
//! `TARRAGON_SEEDS=FROM..TO` chooses the seeds of the random search.

mod mem_disk;
mod mem_file;
mod model;
mod rng;
mod run;

use std::{env, ops::Range};

use run::{
    Run,
    Step::{self, Append, Received, Snapshot, Sync, Truncate, Vote},
};

/// Steps of one seed.
const STEPS: usize = 60;

/// Random outcomes of unsynced writes that are tried at each crash.
const OUTCOMES: u64 = 12;

/// Snapshots that leave entries or none, cover truncations, or conflict with the log.
#[rustfmt::skip]
const SCRIPT: [Step; 24] = [
    Append(3), Sync, Vote, Append(2), Snapshot(2), Truncate(1), Append(2), Sync,
    Append(1), Snapshot(0), Append(4), Sync, Truncate(2), Append(1), Received(1), Append(3),
    Sync, Truncate(1), Append(2), Snapshot(1), Append(1), Sync, Received(5), Vote,
];

fn seeds() -> Range<u64> {
    let Ok(seeds) = env::var("TARRAGON_SEEDS") else {
        return 0..300;
    };
    let (from, to) = seeds.split_once("..").expect("FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Guards against acknowledged state that a crash, a full disk or damage loses or changes.
#[test]
fn random_steps_keep_acknowledged_state() {
    let (mut starts, mut depth, mut full, mut flips) = (0, 0, 0, 0);
    for seed in seeds() {
        let mut run = Run::new(seed);
        for _ in 0..STEPS {
            let [kind, count, room] = [16, 5, 700].map(|bound| run.rng.below(bound));
            let power_lost = run.rng.coin();
            match kind {
                0 | 1 => run.disk.limit_room(room),
                2 => run.restart(power_lost),
                3 | 4 => run.disk.state().crash_after = count,
                5 | 6 => run.take(Truncate(count), power_lost),
                7 | 8 => run.take(Sync, power_lost),
                9 => run.take(Vote, power_lost),
                10 | 11 => run.take(Snapshot(count), power_lost),
                12 => run.take(Received(count), power_lost),
                _ => run.take(Append(1 + count), power_lost),
            }
            flips += usize::from(run.flip_byte());
        }
        run.restart(true);
        starts += run.starts;
        full += run.disk_full;
        depth = depth.max(run.disk.state().operations);
    }
    println!("{starts} starts checked, {depth} operations deep, {full} full disks, {flips} flips");
    assert!(starts > 0 && full > 0 && flips > 0, "nothing was searched");
}

/// Guards against a crash point that random steps rarely reach.
#[test]
fn every_crash_of_a_script_keeps_acknowledged_state() {
    let (mut starts, mut depth) = (0, 0);
    for crash_after in 0.. {
        let mut reached = false;
        // A start has at most three writing operations.
        for case in 0..OUTCOMES * 8 {
            let mut run = Run::new(case / 8);
            run.disk.state().crash_after = crash_after;
            run.start_crash = Some(case as usize % 4);
            for step in SCRIPT {
                run.take(step, case & 4 == 0);
                if run.starts == 1 {
                    // What a start returns must survive a loss of power.
                    run.restart(true);
                }
            }
            reached |= run.starts > 0;
            run.restart(true);
            starts += run.starts;
            depth = depth.max(crash_after);
        }
        if !reached {
            break;
        }
    }
    println!("{starts} starts checked, {depth} operations deep");
    assert!(depth > SCRIPT.len(), "not the whole script was searched");
}
