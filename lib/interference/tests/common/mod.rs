//! Simulated workers whose runs slow each other down, with the noise of real ones.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_interference::{InterferenceTable, PairChange, RunKey, RunReport, StepId, Work};
use tarragon_names::{Millis, Name, WorkerName};

/// Time of one step of the simulation.
const STEP_MS: u64 = 20;

/// Longest time between two reports of a worker.
const REPORT_MS: u64 = 1_000;

/// Mean run time of the tasks on a usual worker, in milliseconds.
const MEAN_RUN_MS: f64 = 2_300.0;

/// Tail latency of a serving task without disturbance, in thousandths of its target.
const CALM_TAIL: f64 = 500.0;

/// Noise of the simulated runs, as on the deployments of docs/design/contention.md.
#[derive(Clone, Copy, Debug)]
pub struct Noise {
    /// Standard deviation of the logarithm of the mean run time of a step, which callers estimate
    /// wrongly by a factor of two and more.
    pub steps: f64,
    /// Standard deviation of the logarithm of the run time within a step.
    pub tasks: f64,
    /// Percentage of runs that take seven times as long.
    pub straggler_percent: u64,
    /// Run times on the workers, as multiples of the usual one, in turn.
    pub worker_factors: &'static [f64],
}

pub const NOISE: Noise = Noise {
    steps: 0.7,
    tasks: 0.25,
    straggler_percent: 3,
    worker_factors: &[0.6, 1.0, 1.6, 1.0],
};

/// Workers, images and load of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub workers: usize,
    pub slots: usize,
    pub images: &'static [&'static str],
    /// Share of the slots that the load keeps busy, in percent, without slowdowns.
    pub load_percent: u64,
    /// Image of which a task serves on every second worker all the time.
    pub serving: Option<&'static str>,
    pub noise: Noise,
    /// Whether workers report the progress of runs, not only their ends.
    pub reports_progress: bool,
    /// Image that runs only on slow workers.
    pub on_slow_workers: Option<&'static str>,
    /// Image that is always placed beside another one, both with as many tasks.
    pub companion: Option<(&'static str, &'static str)>,
    /// Whether placement prefers workers without a known pair.
    pub keeps_apart: bool,
}

pub const SETUP: Setup = Setup {
    workers: 40,
    slots: 6,
    images: &["ada", "bek", "cyr", "dov", "eno", "fay"],
    load_percent: 60,
    serving: None,
    noise: NOISE,
    reports_progress: true,
    on_slow_workers: None,
    companion: None,
    keeps_apart: true,
};

/// Runs of one image that slow down runs of another one by a factor.
pub type Disturbance = (&'static str, &'static str, f64);

struct Run {
    key: RunKey,
    image: &'static str,
    since: u64,
    /// Time that the run takes alone on its worker, in milliseconds; infinite for a serving task.
    alone_ms: f64,
    done: f64,
    tail: f64,
}

struct Worker {
    name: WorkerName,
    factor: f64,
    runs: Vec<Run>,
    ended: Vec<Run>,
    reported_at: u64,
}

pub struct Simulation {
    pub table: InterferenceTable,
    pub now: u64,
    pub disturbances: Vec<Disturbance>,
    /// Pairs that are known now, as source and affected image.
    pub known: BTreeMap<(String, String), u64>,
    /// Placed tasks, and those of them that were placed beside a neighbor that disturbs.
    pub placed: u64,
    pub placed_together: u64,
    /// Tasks that wait for a free slot.
    pub waiting: u64,
    setup: Setup,
    rng: ChaCha8Rng,
    workers: Vec<Worker>,
    next_step: u32,
    backlog_ms: f64,
}

impl Simulation {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let factors = setup.noise.worker_factors;
        let workers = (0..setup.workers).map(|i| Worker {
            name: WorkerName::from(format!("w{i}")),
            factor: factors[i % factors.len()],
            runs: Vec::new(),
            ended: Vec::new(),
            reported_at: rng.next_u64() % REPORT_MS,
        });
        let workers = workers.collect();
        let mut simulation = Self {
            table: InterferenceTable::default(),
            now: REPORT_MS,
            disturbances: Vec::new(),
            known: BTreeMap::new(),
            placed: 0,
            placed_together: 0,
            waiting: 0,
            setup,
            rng,
            workers,
            next_step: 0,
            backlog_ms: 0.0,
        };
        if let Some(image) = setup.serving {
            simulation.start_serving(image);
        }
        simulation
    }

    fn start_serving(&mut self, image: &'static str) {
        self.next_step += 1;
        let (step, now) = (self.next_step, self.now);
        for (index, worker) in self.workers.iter_mut().enumerate().step_by(2) {
            worker.runs.push(Run {
                key: run_key(step, index as u32),
                image,
                since: now,
                alone_ms: f64::INFINITY,
                done: 0.0,
                tail: CALM_TAIL,
            });
        }
    }

    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn normal(&mut self) -> f64 {
        let (u, v) = (1.0 - self.uniform(), self.uniform());
        (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    }

    /// Lets time pass and calls `f` after each pass of the table.
    pub fn run<F>(&mut self, millis: u64, mut f: F)
    where
        F: FnMut(&Self),
    {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            self.work();
            self.report();
            self.arrive();
            for change in self.table.evaluate(Millis(self.now)) {
                match change {
                    PairChange::Known(pair) => {
                        let key = (pair.source.to_string(), pair.affected.to_string());
                        self.known.insert(key, self.now);
                    }
                    PairChange::Forgotten(pair) => {
                        let key = (pair.source.to_string(), pair.affected.to_string());
                        self.known.remove(&key);
                    }
                }
            }
            f(self);
        }
    }

    pub fn is_known(&self, source: &str, affected: &str) -> bool {
        let key = (source.to_owned(), affected.to_owned());
        self.known.contains_key(&key)
    }

    /// Lets time pass until a pair is known or forgotten, and returns how long that took.
    pub fn time_until(&mut self, is_known: bool, source: &str, affected: &str) -> Option<u64> {
        const LIMIT_MS: u64 = 60_000;
        let begun = self.now;
        while self.now < begun + LIMIT_MS {
            if self.is_known(source, affected) == is_known {
                return Some(self.now - begun);
            }
            self.run(STEP_MS, |_| ());
        }
        None
    }

    fn work(&mut self) {
        let disturbances = self.disturbances.clone();
        let setup = self.setup;
        for at in 0..self.workers.len() {
            let images = self.workers[at].runs.iter().map(|run| run.image);
            let images = images.collect::<Vec<_>>();
            let noise = (0..images.len()).map(|_| self.normal()).collect::<Vec<_>>();
            let worker = &mut self.workers[at];
            for (i, run) in worker.runs.iter_mut().enumerate() {
                let present = |source: &str| {
                    let mut others = images.iter().enumerate();
                    others.any(|(other, image)| other != i && *image == source)
                };
                let slowdown = disturbances
                    .iter()
                    .filter(|(source, affected, _)| *affected == run.image && present(source))
                    .map(|(.., factor)| factor)
                    .product::<f64>();
                run.done += STEP_MS as f64 / (run.alone_ms * worker.factor * slowdown);
                run.tail = CALM_TAIL * slowdown * (noise[i] * setup.noise.tasks).exp();
            }
            let (ended, running) = std::mem::take(&mut worker.runs)
                .into_iter()
                .partition(|run| run.done >= 1.0);
            worker.runs = running;
            worker.ended.extend::<Vec<Run>>(ended);
        }
    }

    fn report(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            if worker.ended.is_empty() && now < worker.reported_at + REPORT_MS {
                continue;
            }
            worker.reported_at = now;
            let reports_progress = self.setup.reports_progress;
            let report_of = |run: &Run| report_of(run, reports_progress);
            let running = worker.runs.iter().map(report_of).collect::<Vec<_>>();
            let ended = std::mem::take(&mut worker.ended);
            let ended = ended.iter().map(|run| (report_of(run), true));
            let ended = ended.collect::<Vec<_>>();
            self.table
                .observe(&worker.name, Millis(now), &running, &ended);
        }
    }

    fn arrive(&mut self) {
        let capacity = (self.setup.workers * self.setup.slots) as f64;
        self.backlog_ms += STEP_MS as f64 * capacity * self.setup.load_percent as f64 / 100.0;
        while self.backlog_ms > 0.0 {
            let images = self.setup.images;
            let image = images[self.rng.next_u64() as usize % images.len()];
            let count = [3, 25, 12][self.rng.next_u64() as usize % 3];
            let mean_ms = MEAN_RUN_MS * (self.normal() * self.setup.noise.steps).exp();
            self.backlog_ms -= mean_ms * f64::from(count);
            self.next_step += 1;
            let step = self.next_step;
            let companion = self.setup.companion.filter(|(first, _)| *first == image);
            for index in 0..count {
                let Some(worker) = self.place(image, step, index, mean_ms) else {
                    self.waiting += 1;
                    continue;
                };
                if let Some((_, other)) = companion {
                    let run = self.new_run(other, step + 1, index, mean_ms);
                    self.workers[worker].runs.push(run);
                }
            }
            self.next_step += u32::from(companion.is_some());
        }
    }

    fn new_run(&mut self, image: &'static str, step: u32, index: u32, mean_ms: f64) -> Run {
        let noise = self.setup.noise;
        let is_straggler = self.rng.next_u64() % 100 < noise.straggler_percent;
        let factor = if is_straggler { 7.0 } else { 1.0 };
        Run {
            key: run_key(step, index),
            image,
            since: self.now,
            alone_ms: mean_ms * (self.normal() * noise.tasks).exp() * factor,
            done: 0.0,
            tail: CALM_TAIL,
        }
    }

    /// Places a task on a random worker with a free slot, and returns the worker.
    fn place(&mut self, image: &'static str, step: u32, index: u32, mean_ms: f64) -> Option<usize> {
        let setup = self.setup;
        let slow = setup.on_slow_workers == Some(image);
        let usable =
            |worker: &Worker| worker.runs.len() < setup.slots && (!slow || worker.factor > 1.0);
        let mut free = (0..self.workers.len()).collect::<Vec<_>>();
        free.retain(|at| usable(&self.workers[*at]));
        let pairs = self.table.pairs_with(&Name::from(image));
        let is_apart = |at: &usize| {
            self.workers[*at].runs.iter().all(|run| {
                let meets = |a: &str, b: &str| a == image && b == run.image;
                let mut pairs = pairs.iter();
                !pairs.any(|p| meets(&p.source, &p.affected) || meets(&p.affected, &p.source))
            })
        };
        let apart = free.iter().copied().filter(is_apart).collect::<Vec<_>>();
        if setup.keeps_apart && !apart.is_empty() {
            free = apart;
        }
        if free.is_empty() {
            return None;
        }
        let at = free[self.rng.next_u64() as usize % free.len()];
        let run = self.new_run(image, step, index, mean_ms);
        self.placed += 1;
        let together = self.workers[at].runs.iter().any(|other| {
            let mut pairs = self.disturbances.iter();
            pairs.any(|(source, affected, _)| {
                (*source, *affected) == (image, other.image)
                    || (*source, *affected) == (other.image, image)
            })
        });
        self.placed_together += u64::from(together);
        self.workers[at].runs.push(run);
        Some(at)
    }
}

fn run_key(step: u32, index: u32) -> RunKey {
    let step = StepId {
        job: u64::from(step),
        occurrence: 0,
        step: 0,
    };
    RunKey {
        step,
        index,
        run: 1,
    }
}

fn report_of(run: &Run, reports_progress: bool) -> RunReport {
    let is_serving = run.alone_ms.is_infinite();
    RunReport {
        run: run.key,
        image: Name::from(run.image),
        since: Millis(run.since),
        work: if is_serving {
            Work::Tail(run.tail as u64)
        } else if reports_progress {
            Work::Progress((run.done * 100.0) as u64)
        } else {
            Work::Unknown
        },
        has_comparable_duration: !is_serving,
        is_gang: false,
        is_throttled: false,
    }
}

/// Report of a task of the only step of a job, in the middle of its work.
pub fn report(job: u64, index: u32, image: &Name, since: u64) -> RunReport {
    let step = StepId {
        job,
        occurrence: 0,
        step: 0,
    };
    RunReport {
        run: RunKey {
            step,
            index,
            run: 1,
        },
        image: image.clone(),
        since: Millis(since),
        work: Work::Progress(50),
        has_comparable_duration: true,
        is_gang: false,
        is_throttled: false,
    }
}
