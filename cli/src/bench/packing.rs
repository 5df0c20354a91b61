//! Used share of the capacity relative to the fractional bound.

use std::{collections::VecDeque, time::Instant};

use serde_json::json;
use tarragon_names::{Name, Resources, WorkerName};
use tarragon_placement::{FirstFit, IndexedPlacer, PlaceRequest, Placer, RandomOfTwo};
use tarragon_sizing::{Estimator, Usage};

use super::{
    job_mix::{DeclarationErrors, JobMix, JobShape},
    options::Options,
    report::{Report, row},
    seeded_rng::SeededRng,
};

/// Jobs that end and are replaced in the measured part of a case; the warm-up before it replaces as
/// many.
const DEFAULT_REPLACED_JOBS: u64 = 3_000;

/// Replaced jobs between two samples of the capacity left for large tasks, which visits all
/// workers.
const CAPACITY_SAMPLE_INTERVAL: u64 = 20;

/// Keeps the offered load constant while jobs end at random, and measures how much of it runs.
///
/// The bound is the offered work in its dominant resource, or the capacity if that is less: the
/// work that could run if tasks were divisible.
pub(crate) fn run(options: &Options) -> Report {
    let count = options.count.unwrap_or(DEFAULT_REPLACED_JOBS);
    let mut report = Report::new(
        options,
        &json!({"jobs_replaced": count, "bound": "fractional, in the resource offered most of"}),
    );
    for mix in [JobMix::lukang(), JobMix::kovacik()] {
        for (errors, uses_estimator) in [
            (DeclarationErrors::None, false),
            (DeclarationErrors::Guess, false),
            (DeclarationErrors::Guess, true),
            (DeclarationErrors::Habit, false),
            (DeclarationErrors::Habit, true),
        ] {
            for load in [70, 90, 100] {
                for (name, placer) in placers(&mix, options.seed) {
                    let mut case = Case::new(&mix, placer, errors, uses_estimator, options.seed);
                    let outcome = case.measure(f64::from(load) / 100.0, count, options);
                    report.push(row! {
                        "deployment" => mix.deployment.name,
                        "declared" => errors.name(),
                        "reserved" => if uses_estimator { "estimate" } else { "declared" },
                        "load_percent" => load,
                        "placer" => name,
                        "of_bound" => outcome.of_bound,
                        "used" => outcome.used,
                        "held" => outcome.reserved,
                        "half_room" => outcome.half_worker_fit,
                        "stopped" => outcome.stopped,
                        "jobs" => outcome.jobs,
                    });
                }
            }
        }
    }
    report
}

fn placers(mix: &JobMix, seed: u64) -> [(&'static str, Box<dyn Placer>); 3] {
    [
        (
            "indexed",
            Box::new(IndexedPlacer::new(mix.deployment.weights)),
        ),
        ("first_fit", Box::new(FirstFit::new())),
        ("random_of_two", Box::new(RandomOfTwo::new(seed))),
    ]
}

/// Means and counts over the measured part of a case.
#[derive(Debug, Default)]
struct Outcome {
    /// Used share of the fractional bound.
    of_bound: f64,
    /// Actual size of the running tasks, as a share of the capacity.
    used: f64,
    /// Reservations, as a share of the capacity.
    reserved: f64,
    /// Tasks of half a worker's size that fit, as a share of those that would fit if the free
    /// capacity of all workers were pooled.
    half_worker_fit: f64,
    /// Tasks stopped because their worker could not raise the reservation to the actual size.
    stopped: u64,
    jobs: u64,
}

struct Case<'a> {
    mix: &'a JobMix,
    placer: Box<dyn Placer>,
    errors: DeclarationErrors,
    estimator: Option<Estimator>,
    rng: SeededRng,
    total: Resources,
    waiting: VecDeque<JobShape>,
    running: Vec<Running>,
    offered: Resources,
    used: Resources,
    stopped: u64,
}

struct Running {
    shape: JobShape,
    reserved: Resources,
    workers: Vec<WorkerName>,
}

impl<'a> Case<'a> {
    fn new(
        mix: &'a JobMix,
        placer: Box<dyn Placer>,
        errors: DeclarationErrors,
        uses_estimator: bool,
        seed: u64,
    ) -> Self {
        mix.deployment.add_workers(&*placer);
        Self {
            mix,
            placer,
            errors,
            estimator: uses_estimator.then(Estimator::new),
            rng: SeededRng::new(seed),
            total: mix.deployment.total_capacity(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            offered: Resources::ZERO,
            used: Resources::ZERO,
            stopped: 0,
        }
    }

    fn measure(&mut self, load: f64, count: u64, options: &Options) -> Outcome {
        let mut sums = Outcome::default();
        let start = Instant::now();
        self.offer_jobs(load);
        self.place_waiting();
        for step in 0..2 * count {
            if start.elapsed() > options.case_limit || self.running.is_empty() {
                break;
            }
            self.end_one();
            self.offer_jobs(load);
            self.place_waiting();
            if step < count {
                self.stopped = 0;
                continue;
            }
            let bound = dominant_share(&self.offered, &self.total).min(1.0);
            let used = dominant_share(&self.used, &self.total);
            sums.of_bound += used / bound;
            sums.used += used;
            sums.reserved += dominant_share(&self.placer.totals().reserved, &self.total);
            if sums.jobs.is_multiple_of(CAPACITY_SAMPLE_INTERVAL) {
                sums.half_worker_fit +=
                    self.half_worker_fit_share() * CAPACITY_SAMPLE_INTERVAL as f64;
            }
            sums.jobs += 1;
        }
        let n = sums.jobs.max(1) as f64;
        Outcome {
            of_bound: sums.of_bound / n,
            used: sums.used / n,
            reserved: sums.reserved / n,
            half_worker_fit: sums.half_worker_fit / n,
            stopped: self.stopped,
            jobs: sums.jobs,
        }
    }

    /// Adds jobs until the next one would raise the offered work above the load.
    fn offer_jobs(&mut self, load: f64) {
        loop {
            let shape = self.mix.draw_job(&mut self.rng, self.errors);
            let offered = self.offered + shape.size.times(u64::from(shape.tasks));
            if dominant_share(&offered, &self.total) > load {
                return;
            }
            self.offered = offered;
            self.waiting.push_back(shape);
        }
    }

    fn place_waiting(&mut self) {
        for _ in 0..self.waiting.len() {
            let Some(shape) = self.waiting.pop_front() else {
                return;
            };
            if let Some(rest) = self.start(shape) {
                self.waiting.push_back(rest);
            }
        }
    }

    /// Starts the tasks that fit and returns the rest of the job, which has to wait.
    fn start(&mut self, shape: JobShape) -> Option<JobShape> {
        let reserved = self.reservation(&shape).max(&shape.observed_usage);
        let workload = self.mix.profiles[shape.profile].workload;
        let mut workers = self
            .placer
            .place(&PlaceRequest::new(shape.tasks, reserved, workload))
            .workers;
        let excess = shape.size.saturating_sub(&reserved);
        let mut stopped = 0;
        if excess != Resources::ZERO {
            // The tasks use more than their reservation, so the reservation is raised at once. A
            // task is stopped and waits again if its worker lacks the capacity for that.
            workers.retain(|worker| {
                let fits = self.placer.reserve(worker, &excess);
                if !fits {
                    self.placer.release(worker, &(reserved + excess));
                    stopped += 1;
                }
                fits
            });
        }
        self.stopped += stopped;
        let placed = workers.len() as u32;
        if placed > 0 {
            self.used += shape.size.times(u64::from(placed));
            self.running.push(Running {
                shape: JobShape {
                    tasks: placed,
                    ..shape
                },
                reserved: reserved + excess,
                workers,
            });
        }
        let observed_usage = if stopped > 0 {
            shape.size
        } else {
            shape.observed_usage
        };
        (placed < shape.tasks).then(|| JobShape {
            tasks: shape.tasks - placed,
            observed_usage,
            ..shape
        })
    }

    /// Tasks of half a worker's size that fit now, divided by those that would fit if the free
    /// capacity of all workers were pooled.
    fn half_worker_fit_share(&self) -> f64 {
        let capacity = &self.mix.deployment.capacity;
        let half = Resources::new(capacity.cpu_milli / 2, capacity.memory_mb / 2, 0);
        let (mut fits, mut free) = (0, Resources::ZERO);
        self.placer.visit(&mut |info| {
            fits += count(&info.free(), &half);
            free += info.free();
        });
        fits as f64 / count(&free, &half).max(1) as f64
    }

    fn reservation(&self, shape: &JobShape) -> Resources {
        self.estimator.as_ref().map_or(shape.declared, |estimator| {
            estimator.reservation(
                &self.entry_name(shape),
                &shape.declared,
                &self.mix.deployment.capacity,
            )
        })
    }

    fn end_one(&mut self) {
        let ended = self.running.swap_remove(self.rng.index(self.running.len()));
        for worker in &ended.workers {
            self.placer.release(worker, &ended.reserved);
        }
        let shape = &ended.shape;
        let size = shape.size.times(u64::from(shape.tasks));
        self.used = self.used.saturating_sub(&size);
        self.offered = self.offered.saturating_sub(&size);
        if let Some(estimator) = &self.estimator {
            let usage = Usage {
                peak: shape.size,
                run_time: Some(shape.run_time),
            };
            estimator.report(&self.entry_name(shape), &shape.declared, &usage);
        }
    }

    fn entry_name(&self, shape: &JobShape) -> Name {
        self.mix.profiles[shape.profile].name.into()
    }
}

/// Number of tasks of this size that fit into `free`.
fn count(free: &Resources, size: &Resources) -> u64 {
    (free.cpu_milli / size.cpu_milli).min(free.memory_mb / size.memory_mb)
}

/// Used share of the capacity in the dominant resource, which is CPU or memory.
fn dominant_share(used: &Resources, total: &Resources) -> f64 {
    let cpu = used.cpu_milli as f64 / total.cpu_milli as f64;
    let memory = used.memory_mb as f64 / total.memory_mb as f64;
    cpu.max(memory)
}
