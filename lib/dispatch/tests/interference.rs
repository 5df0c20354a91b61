//! Placement of images that slow each other down on one worker.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Harness, step, worker};
use tarragon_dispatch::{DispatchConfig, Input, OrderOutcome, RunStatus};
use tarragon_names::{Millis, Name, RackName};
use tarragon_workflow::{JobKey, RunEnd, StepSpec, TaskKey, WorkerRecord};
use yare::parameterized;

/// Run time of a task without disturbance, in milliseconds.
const RUN_MS: f64 = 2_000.0;

/// Slowdown of the runs of `SLOWED` beside one of `SOURCE`.
const SLOWDOWN: f64 = 3.0;

const SOURCE: &str = "ada";
const SLOWED: &str = "bek";

/// Tail latency of a serving task without disturbance, and its target, in milliseconds.
const CALM_TAIL_MS: u64 = 40;
const TARGET_MS: u64 = 100;

/// Time within which a pair must be found, that for which observations last.
const MEMORY_MS: u64 = 30_000;

const STEP_MS: u64 = 100;

/// Steps of the simulation between two answers of a worker, and between two jobs of an image.
const POLL_TICKS: u64 = 10;
const SUBMIT_TICKS: u64 = 5;

struct Run {
    worker: String,
    task: TaskKey,
    number: u32,
    image: String,
    is_serving: bool,
    done: f64,
}

/// A harness with workers that carry out the orders, and slow runs down beside others.
struct Cluster {
    harness: Harness,
    images: BTreeMap<JobKey, (String, bool)>,
    runs: Vec<Run>,
    ended: Vec<Run>,
    ends: BTreeMap<String, u64>,
    next_job: u64,
    /// Number of steps of the simulation so far.
    ticks: u64,
    is_disturbed: bool,
}

fn config(avoids_interference: bool) -> DispatchConfig {
    DispatchConfig {
        avoids_interference,
        ..DispatchConfig::default()
    }
}

impl Cluster {
    fn new(workers: &[WorkerRecord], avoids_interference: bool) -> Self {
        Self {
            harness: Harness::with_config(workers, None, config(avoids_interference)),
            images: BTreeMap::new(),
            runs: Vec::new(),
            ended: Vec::new(),
            ends: BTreeMap::new(),
            next_job: 1,
            ticks: 0,
            is_disturbed: true,
        }
    }

    /// Submits a job of one step and returns its tasks with their workers, as far as they start.
    fn submit(&mut self, image: &str, spec: StepSpec) -> Vec<String> {
        let job = self.next_job;
        self.next_job += 1;
        let is_serving = spec.target_latency.is_some();
        self.images
            .insert(JobKey(job), (image.to_owned(), is_serving));
        let spec = StepSpec {
            image: Some(Name::from(image)).filter(|image| !image.is_empty()),
            ..spec
        };
        self.harness.submit(job, vec![spec]);
        self.take_starts()
    }

    fn take_starts(&mut self) -> Vec<String> {
        let mut workers = Vec::new();
        for order in self.harness.answer_starts(OrderOutcome::Accepted) {
            let worker = order.incarnation.worker.to_string();
            let (image, is_serving) = self.images[&order.task.step.job].clone();
            workers.push(worker.clone());
            self.runs.push(Run {
                worker,
                task: order.task,
                number: order.run,
                image,
                is_serving,
                done: 0.0,
            });
        }
        self.harness.answer_stops(OrderOutcome::Accepted);
        workers
    }

    fn is_slowed(&self, run: &Run) -> bool {
        let mut others = self.runs.iter();
        let is_beside = others.any(|other| other.worker == run.worker && other.image == SOURCE);
        self.is_disturbed && run.image == SLOWED && is_beside
    }

    fn advance(&mut self) {
        self.ticks += 1;
        let speeds = self.runs.iter().map(|run| {
            let slowdown = if self.is_slowed(run) { SLOWDOWN } else { 1.0 };
            STEP_MS as f64 / RUN_MS / slowdown
        });
        let speeds = speeds.collect::<Vec<_>>();
        for (run, speed) in self.runs.iter_mut().zip(speeds) {
            run.done += if run.is_serving { 0.0 } else { speed };
        }
        let (ended, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.done >= 1.0 - 1e-9);
        self.runs = running;
        self.ended.extend::<Vec<Run>>(ended);
        self.harness.advance(STEP_MS);
        self.answer_polls();
        self.take_starts();
    }

    /// Answers the polls of workers on which a run has ended, and all others once a second.
    fn answer_polls(&mut self) {
        let open = self.harness.polls.iter();
        let open = open.map(|call| call.incarnation.worker.to_string());
        for worker in open.collect::<BTreeSet<_>>() {
            let has_ended = self.ended.iter().any(|run| run.worker == worker);
            if !has_ended && !self.ticks.is_multiple_of(POLL_TICKS) {
                continue;
            }
            let running = self.runs.iter().filter(|run| run.worker == worker);
            let statuses = running.map(|run| RunStatus {
                task: run.task,
                run: run.number,
                checkpoint: None,
                percent: if run.is_serving {
                    100
                } else {
                    (run.done * 100.0) as u64
                },
                usage_or_tail_ms: run.is_serving.then(|| {
                    let slowdown = if self.is_slowed(run) {
                        SLOWDOWN as u64
                    } else {
                        1
                    };
                    CALM_TAIL_MS * slowdown
                }),
            });
            let statuses = statuses.collect::<Vec<_>>();
            let (ended, others) = std::mem::take(&mut self.ended)
                .into_iter()
                .partition::<Vec<_>, _>(|run| run.worker == worker);
            self.ended = others;
            let number = self.ends.entry(worker.clone()).or_default();
            let ends = ended.iter().map(|run| {
                *number += 1;
                (*number, run.task, run.number, RunEnd::Done)
            });
            let ends = ends.collect::<Vec<_>>();
            self.harness.answer_poll_with(&worker, statuses, &ends);
        }
    }

    fn events(&self, name: &str) -> usize {
        let events = self.harness.events.iter();
        events.filter(|event| event.name == name).count()
    }

    /// Runs steps of both images until a pair is known.
    fn learn(&mut self) -> bool {
        self.learn_with(|cluster| {
            cluster.submit(SLOWED, step(4, 2));
        })
    }

    fn learn_with<F>(&mut self, mut submit_others: F) -> bool
    where
        F: FnMut(&mut Self),
    {
        let begun = self.harness.now;
        while self.harness.now < begun + MEMORY_MS {
            if self.events("interference_known") > 0 {
                return true;
            }
            if self.ticks.is_multiple_of(SUBMIT_TICKS) {
                submit_others(self);
                self.submit(SOURCE, step(1, 2));
            }
            self.advance();
        }
        false
    }

    /// Lets all runs end that end.
    fn drain(&mut self) {
        for _ in 0..80 {
            self.advance();
        }
        assert!(self.runs.iter().all(|run| run.is_serving));
    }
}

fn workers(count: usize) -> Vec<WorkerRecord> {
    let workers = (0..count).map(|i| worker(&format!("w{i}"), 8));
    workers.collect()
}

/// Guards against a pair that is found but does not change any placement, and against a changed
/// placement that is not logged.
#[test]
fn found_pair_is_kept_apart() {
    let mut cluster = Cluster::new(&workers(8), true);
    assert!(cluster.learn());
    assert_eq!(cluster.harness.dispatcher.interfering_pairs(), 1);
    cluster.drain();
    let source = cluster.submit(SOURCE, step(1, 2));
    let before = cluster.events("placed_apart");
    let slowed = cluster.submit(SLOWED, step(1, 2));
    assert_ne!(source, slowed);
    assert_eq!(cluster.events("placed_apart"), before + 1);
    let events = cluster.harness.events.iter().rev();
    let event = events
        .into_iter()
        .find(|event| event.name == "placed_apart");
    let event = event.unwrap();
    assert_eq!(
        event.worker.as_ref().map(ToString::to_string),
        source.first().cloned()
    );
    assert!(event.detail.contains("bek beside ada"), "{}", event.detail);
}

/// Guards against a feature that acts without being enabled, or on steps without an image.
#[parameterized(
    disabled = { false, SOURCE, SLOWED },
    no_image = { true, "", "" },
)]
fn nothing_changes(avoids_interference: bool, source: &str, slowed: &str) {
    let run = |is_enabled, source: &str, slowed: &str| {
        let mut cluster = Cluster::new(&workers(4), is_enabled);
        // The runs behave alike in both cases, whatever their images.
        cluster.is_disturbed = false;
        let mut placed = Vec::new();
        for _ in 0..40 {
            placed.push(cluster.submit(slowed, step(4, 2)));
            placed.push(cluster.submit(source, step(2, 2)));
            for _ in 0..10 {
                cluster.advance();
            }
        }
        let names = cluster.harness.events.iter().map(|event| event.name);
        (placed, names.collect::<Vec<_>>())
    };
    assert_eq!(run(avoids_interference, source, slowed), run(false, "", ""));
}

/// Guards against tasks that wait although they fit: the preference is not a bar.
#[parameterized(
    source_on_most_workers = { 6 },
    source_on_all_workers = { 8 },
)]
fn full_pool_places_all_the_same(sources: u32) {
    let mut cluster = Cluster::new(&workers(8), true);
    assert!(cluster.learn());
    cluster.drain();
    let on_each = StepSpec {
        max_per_worker: Some(1),
        ..step(sources, 2)
    };
    assert_eq!(cluster.submit(SOURCE, on_each).len(), sources as usize);
    assert_eq!(cluster.harness.dispatcher.interfering_pairs(), 1);
    assert_eq!(cluster.submit(SLOWED, step(24, 2)).len(), 24);
}

/// Guards against a preference that goes before those of the caller or delays a gang.
#[parameterized(
    data_rack = { StepSpec { data_rack: Some(RackName::from("near")), ..step(1, 2) } },
    label = { StepSpec { label: Some(Name::from("near")), ..step(1, 2) } },
    gang = { StepSpec { gang: true, ..step(2, 2) } },
)]
fn other_preferences_take_precedence(spec: StepSpec) {
    let mut records = workers(8);
    // The last worker in the order of names has the least capacity, so it is filled first.
    records[7] = WorkerRecord {
        rack: Some(RackName::from("near")),
        labels: vec![Name::from("near")],
        ..worker("w7", 6)
    };
    let mut cluster = Cluster::new(&records, true);
    assert!(cluster.learn());
    cluster.drain();
    assert_eq!(cluster.submit(SOURCE, step(1, 2)), ["w7"]);
    assert_eq!(cluster.harness.dispatcher.interfering_pairs(), 1);
    let count = spec.count as usize;
    let placed = cluster.submit(SLOWED, spec);
    assert_eq!(placed, vec!["w7"; count]);
}

/// Guards against a serving task that is placed beside the source again once the pair is known.
#[test]
fn source_is_kept_from_a_serving_task() {
    let mut cluster = Cluster::new(&workers(12), true);
    let serving = StepSpec {
        long_running: true,
        target_latency: Some(Millis(TARGET_MS)),
        max_per_worker: Some(1),
        ..step(8, 2)
    };
    let serving = cluster.submit(SLOWED, serving);
    assert_eq!(serving.len(), 8);
    assert!(cluster.learn_with(|cluster| {
        cluster.submit(SOURCE, step(3, 2));
    }));
    cluster.drain();
    let source = cluster.submit(SOURCE, step(4, 2));
    assert_eq!(source.len(), 4);
    assert!(source.iter().all(|worker| !serving.contains(worker)));
}

/// Guards against pairs that outlast their cause, and against a forgotten one that is not logged.
#[test]
fn ended_disturbance_is_forgotten() {
    let mut cluster = Cluster::new(&workers(8), true);
    assert!(cluster.learn());
    cluster.is_disturbed = false;
    let begun = cluster.harness.now;
    while cluster.harness.dispatcher.interfering_pairs() > 0 {
        assert!(cluster.harness.now < begun + MEMORY_MS);
        cluster.advance();
    }
    assert_eq!(cluster.events("interference_forgotten"), 1);
    assert!(cluster.events("interference_pairs") > 0);
}

/// Guards against a leader that acts on what was learned in an earlier term: meanwhile the images may
/// have changed.
#[parameterized(
    other_host = { false },
    same_host = { true },
)]
fn new_leader_learns_again(is_same_host: bool) {
    let mut cluster = Cluster::new(&workers(8), true);
    assert!(cluster.learn());
    if is_same_host {
        cluster.harness.input(Input::LostLeadership);
        cluster.harness.polls.clear();
        cluster.harness.term += 1;
        let term = cluster.harness.term;
        cluster.harness.input(Input::BecameLeader { term });
    } else {
        cluster.harness.elect_new_leader();
    }
    assert_eq!(cluster.harness.dispatcher.interfering_pairs(), 0);
    cluster.harness.events.clear();
    assert!(cluster.learn());
}
