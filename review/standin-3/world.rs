//! What the stand-ins see: one log of starts, ends, calls and answers, on one clock.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// A run of a task on one life of an executor.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u32,
    pub worker: usize,
    pub born: u64,
    /// Milliseconds since the start of the script.
    pub from: u64,
    pub to: Option<u64>,
    pub how: String,
    /// Whether the order was carried out late.
    pub late: bool,
    /// Whether its end was acknowledged.
    pub acked: bool,
}

pub struct World {
    pub begun: Instant,
    record: Mutex<File>,
    pub runs: Mutex<Vec<Run>>,
}

impl World {
    pub fn new(record: &str) -> World {
        let record = File::create(record).unwrap_or_else(|e| {
            eprintln!("{record}: {e}");
            std::process::exit(2);
        });
        World {
            begun: Instant::now(),
            record: Mutex::new(record),
            runs: Mutex::default(),
        }
    }

    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let at = self.now();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:>4}.{:03} {line}", at / 1000, at % 1000);
    }

    /// A line that is also shown on the console.
    pub fn tell(&self, line: &str) {
        self.note(line);
        println!("{line}");
    }

    pub fn run_began(&self, run: Run) {
        self.note(&format!(
            "start  {} run {} on w{} (born {}){}",
            run.task,
            run.run,
            run.worker,
            run.born,
            if run.late { ", carried out late" } else { "" }
        ));
        self.runs.lock().unwrap().push(run);
    }

    pub fn run_ended(&self, task: &str, run: u32, worker: usize, born: u64, how: &str) {
        let now = self.now();
        self.note(&format!("end    {task} run {run} on w{worker}: {how}"));
        let mut runs = self.runs.lock().unwrap();
        for r in runs.iter_mut().rev() {
            if r.task == task && r.run == run && r.worker == worker && r.born == born && r.to.is_none() {
                r.to = Some(now);
                r.how = how.to_owned();
                return;
            }
        }
    }

    pub fn run_acked(&self, task: &str, run: u32, worker: usize, born: u64) {
        let mut runs = self.runs.lock().unwrap();
        for r in runs.iter_mut().rev() {
            if r.task == task && r.run == run && r.worker == worker && r.born == born {
                r.acked = true;
                return;
            }
        }
    }

    /// Whether a task of this job has begun before the time `at`.
    pub fn has_begun(&self, job: &str, at: u64) -> bool {
        let runs = self.runs.lock().unwrap();
        runs.iter().any(|r| r.task.starts_with(job) && r.from <= at)
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

/// A small generator of numbers, the same for each seed.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to below 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.share()
    }
}
