//! Used share of the capacity against the fractional bound.

use std::{collections::VecDeque, time::Instant};

use serde_json::json;
use tarragon_names::{Name, Resources, WorkerName};
use tarragon_placement::{FirstFit, IndexedPlacer, PlaceRequest, Placer, RandomOfTwo};
use tarragon_sizing::{Estimator, Usage};

use super::{
    draw::Draw,
    job_mix::{Errors, JobMix, JobShape},
    options::Options,
    report::{Report, row},
};

/// Jobs that end and are replaced in one case, after as many again for warming up.
const REPLACED: u64 = 3_000;

/// Jobs between two looks at the room that is left for large tasks.
const ROOM_EVERY: u64 = 20;

/// Keeps the offered load constant while jobs end at random, and measures what of it runs.
///
/// The bound is the offered work in the resource that is offered most of, or the capacity if that
/// is less: what could run if tasks could be cut into pieces.
pub(crate) fn run(options: &Options) -> Report {
    let count = options.count.unwrap_or(REPLACED);
    let mut report = Report::new(
        options,
        &json!({"jobs_replaced": count, "bound": "fractional, in the resource offered most of"}),
    );
    for mix in [JobMix::lukang(), JobMix::kovacik()] {
        for (errors, estimated) in [
            (Errors::None, false),
            (Errors::Guess, false),
            (Errors::Guess, true),
            (Errors::Habit, false),
            (Errors::Habit, true),
        ] {
            for load in [70, 90, 100] {
                for (name, placer) in placers(&mix, options.seed) {
                    let mut case = Case::new(&mix, placer, errors, estimated, options.seed);
                    let outcome = case.measure(f64::from(load) / 100.0, count, options);
                    report.push(row! {
                        "deployment" => mix.deployment.name,
                        "declared" => errors.name(),
                        "reserved" => if estimated { "estimate" } else { "declared" },
                        "load_percent" => load,
                        "placer" => name,
                        "of_bound" => outcome.of_bound,
                        "used" => outcome.used,
                        "held" => outcome.held,
                        "half_room" => outcome.room,
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

/// Means over the measured part of a case.
#[derive(Debug, Default)]
struct Outcome {
    of_bound: f64,
    /// True size of what runs, as a part of the capacity.
    used: f64,
    /// Reservations, as a part of the capacity.
    held: f64,
    /// Part of the free capacity that tasks of half a worker could use.
    room: f64,
    /// Tasks stopped because they used more than the worker had left.
    stopped: u64,
    jobs: u64,
}

struct Case<'a> {
    mix: &'a JobMix,
    placer: Box<dyn Placer>,
    errors: Errors,
    estimator: Option<Estimator>,
    draw: Draw,
    total: Resources,
    waiting: VecDeque<JobShape>,
    running: Vec<Running>,
    offered: Resources,
    used: Resources,
    stopped: u64,
}

struct Running {
    shape: JobShape,
    held: Resources,
    workers: Vec<WorkerName>,
}

impl<'a> Case<'a> {
    fn new(
        mix: &'a JobMix,
        placer: Box<dyn Placer>,
        errors: Errors,
        estimated: bool,
        seed: u64,
    ) -> Self {
        mix.deployment.fill(&*placer);
        Self {
            mix,
            placer,
            errors,
            estimator: estimated.then(Estimator::new),
            draw: Draw::new(seed),
            total: mix.deployment.total(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            offered: Resources::ZERO,
            used: Resources::ZERO,
            stopped: 0,
        }
    }

    fn measure(&mut self, load: f64, count: u64, options: &Options) -> Outcome {
        let mut sums = Outcome::default();
        let begun = Instant::now();
        self.offer(load);
        self.place();
        for step in 0..2 * count {
            if begun.elapsed() > options.limit || self.running.is_empty() {
                break;
            }
            self.end_one();
            self.offer(load);
            self.place();
            if step < count {
                self.stopped = 0;
                continue;
            }
            let bound = dominant(&self.offered, &self.total).min(1.0);
            let used = dominant(&self.used, &self.total);
            sums.of_bound += used / bound;
            sums.used += used;
            sums.held += dominant(&self.placer.totals().reserved, &self.total);
            if sums.jobs.is_multiple_of(ROOM_EVERY) {
                sums.room += self.room_for_halves() * ROOM_EVERY as f64;
            }
            sums.jobs += 1;
        }
        let n = sums.jobs.max(1) as f64;
        Outcome {
            of_bound: sums.of_bound / n,
            used: sums.used / n,
            held: sums.held / n,
            room: sums.room / n,
            stopped: self.stopped,
            jobs: sums.jobs,
        }
    }

    /// Adds jobs until the offered work reaches the load, without going beyond it.
    fn offer(&mut self, load: f64) {
        loop {
            let shape = self.mix.draw(&mut self.draw, self.errors);
            let offered = self.offered + shape.size.times(u64::from(shape.tasks));
            if dominant(&offered, &self.total) > load {
                return;
            }
            self.offered = offered;
            self.waiting.push_back(shape);
        }
    }

    fn place(&mut self) {
        for _ in 0..self.waiting.len() {
            let Some(shape) = self.waiting.pop_front() else {
                return;
            };
            if let Some(rest) = self.start(shape) {
                self.waiting.push_back(rest);
            }
        }
    }

    /// Starts the tasks that fit and returns what has to wait.
    fn start(&mut self, shape: JobShape) -> Option<JobShape> {
        let held = self.reservation(&shape).max(&shape.known);
        let kind = self.mix.sorts[shape.sort].kind;
        let mut workers = self
            .placer
            .place(&PlaceRequest::new(shape.tasks, held, kind))
            .workers;
        let over = shape.size.saturating_sub(&held);
        let mut stopped = 0;
        if over != Resources::ZERO {
            // The task soon uses more than its reservation, which is raised at once; if the worker
            // cannot hold that, the task is stopped and waits again.
            workers.retain(|worker| {
                let fits = self.placer.reserve(worker, &over);
                if !fits {
                    self.placer.release(worker, &(held + over));
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
                held: held + over,
                workers,
            });
        }
        let known = if stopped > 0 { shape.size } else { shape.known };
        (placed < shape.tasks).then(|| JobShape {
            tasks: shape.tasks - placed,
            known,
            ..shape
        })
    }

    /// Tasks of half a worker that fit now, against what fits if free capacity were in one piece.
    fn room_for_halves(&self) -> f64 {
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
                &self.entry(shape),
                &shape.declared,
                &self.mix.deployment.capacity,
            )
        })
    }

    fn end_one(&mut self) {
        let ended = self
            .running
            .swap_remove(self.draw.index(self.running.len()));
        for worker in &ended.workers {
            self.placer.release(worker, &ended.held);
        }
        let shape = &ended.shape;
        let size = shape.size.times(u64::from(shape.tasks));
        self.used = self.used.saturating_sub(&size);
        self.offered = self.offered.saturating_sub(&size);
        if let Some(estimator) = &self.estimator {
            let usage = Usage {
                peak: shape.size,
                run_time: Some(shape.run),
            };
            estimator.report(&self.entry(shape), &shape.declared, &usage);
        }
    }

    fn entry(&self, shape: &JobShape) -> Name {
        self.mix.sorts[shape.sort].name.into()
    }
}

/// Number of tasks of this size that fit into `free`.
fn count(free: &Resources, size: &Resources) -> u64 {
    (free.cpu_milli / size.cpu_milli).min(free.memory_mb / size.memory_mb)
}

/// Part of the capacity in the resource that most is used of.
fn dominant(used: &Resources, total: &Resources) -> f64 {
    let cpu = used.cpu_milli as f64 / total.cpu_milli as f64;
    let memory = used.memory_mb as f64 / total.memory_mb as f64;
    cpu.max(memory)
}
