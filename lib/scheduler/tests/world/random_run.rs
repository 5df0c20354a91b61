//! Random runs of the scheduler, the cell and the lease guards, each with a seed.
//!
//! `TARRAGON_SEEDS=n` adds a run of n further seeds, starting with `TARRAGON_FIRST_SEED`
//! (default 1,000). A failure prints its seed.

use std::{env, panic, sync::Arc};

use tarragon_cell::{Command, JobState};
use tarragon_leases::GuardEvent;
use tarragon_names::{Resources, WorkerName, Workload};
use tarragon_placement::{IndexedPlacer, PolicyWeights};
use yare::parameterized;

use crate::simulation::{Network, Simulation};

/// Length of the first phase, in which random events and faults happen.
const FAULT_PHASE_MS: u64 = 120_000;
/// Time within which all accepted jobs must have ended after the last fault.
const RECOVERY_LIMIT_MS: u64 = 600_000;

fn new_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, || {
        Arc::new(IndexedPlacer::new(PolicyWeights::default()))
    });
    simulation.network = Network {
        min_delay: 1,
        max_delay: 60,
        drop_percent: 5,
        repeat_percent: 5,
        max_follow_delay: 15_000,
    };
    for number in 0..4 {
        // Worker clocks differ from the true rate by at most 1%; the clocks of the hosts are exact.
        let clock_rate_permille = 991 + simulation.random(19);
        let name = format!("w{number}");
        simulation.add_worker(&name, Resources::new(4_000, 4_000, 0), clock_rate_permille);
    }
    simulation
}

fn random_worker(simulation: &mut Simulation) -> WorkerName {
    let number = simulation.random(4);
    format!("w{number}").as_str().into()
}

fn submit(simulation: &mut Simulation) {
    let kind = [
        Workload::Batch,
        Workload::Batch,
        Workload::AllOrNothing,
        Workload::Service,
    ];
    let kind = kind[simulation.random(4) as usize];
    let tasks = 1 + simulation.random(5) as u32;
    let cpu = 500 + simulation.random(4) * 1_000;
    let run = match kind {
        Workload::Service => 0,
        _ => 200 + simulation.random(15_000),
    };
    let name = if simulation.random(5) == 0 {
        "urgent-a"
    } else {
        "a"
    };
    simulation.submit(name, kind, tasks, cpu, run);
}

fn inject_random_event(simulation: &mut Simulation) {
    let name = random_worker(simulation);
    match simulation.random(17) {
        0..=5 => submit(simulation),
        6 | 7 => {
            let jobs = simulation.jobs.len() as u64;
            if jobs > 0 {
                let number = simulation.random(jobs) as usize;
                let job = simulation.jobs[number];
                simulation.apply(&Command::Cancel { job });
            }
        }
        8 => simulation.workers.get_mut(&name).unwrap().paused = true,
        9 => {
            if simulation.workers[&name].paused {
                simulation.resume_worker(&name);
            }
        }
        10 => simulation.workers.get_mut(&name).unwrap().alive = false,
        11 => {
            let now = simulation.now;
            simulation.workers.get_mut(&name).unwrap().restart(now);
        }
        12 => {
            if let Some(leader) = simulation.leader() {
                let paused = simulation.random(2) == 0;
                simulation.set_host_paused(leader, paused);
                simulation.elect((leader + 1) % 3);
            }
        }
        13 => {
            let status = i32::from(simulation.random(2) == 0);
            simulation.workers.get_mut(&name).unwrap().exit_status = status;
        }
        14 => {
            let percent = 50 + simulation.random(150);
            if !simulation.usage_within_declared {
                simulation.workers.get_mut(&name).unwrap().usage_percent = percent;
            }
        }
        15 => {
            simulation.workers.get_mut(&name).unwrap().leaving = true;
            simulation.worker_step(&name, GuardEvent::Leave);
        }
        _ => {
            for host in 0..3 {
                simulation.set_host_paused(host, false);
            }
            let draining = simulation.random(2) == 0;
            simulation.apply(&Command::DrainWorker {
                worker: name,
                draining,
            });
        }
    }
}

fn end_faults(simulation: &mut Simulation) {
    simulation.network = Network::STEADY;
    for host in 0..3 {
        simulation.set_host_paused(host, false);
    }
    for number in 0..4 {
        let name = WorkerName::from(format!("w{number}").as_str());
        let worker = simulation.workers.get_mut(&name).unwrap();
        (worker.exit_status, worker.usage_percent) = (0, 100);
        if !simulation.workers[&name].alive || simulation.workers[&name].leaving {
            let now = simulation.now;
            simulation.workers.get_mut(&name).unwrap().restart(now);
        } else if simulation.workers[&name].paused {
            simulation.resume_worker(&name);
        }
        simulation.apply(&Command::DrainWorker {
            worker: name,
            draining: false,
        });
    }
    // Services do not end by themselves.
    for job in simulation.jobs.clone() {
        let is_service = |record: &tarragon_cell::JobRecord| record.spec.kind == Workload::Service;
        if simulation.cell.with_job(job, is_service) == Some(true) {
            simulation.apply(&Command::Cancel { job });
        }
    }
}

fn run(seed: u64) {
    let mut simulation = new_simulation(seed);
    // When tasks use more than declared, a worker can be over its capacity for a short time, so
    // only odd seeds, in which they do not, check the capacity.
    simulation.usage_within_declared = !seed.is_multiple_of(2);
    while simulation.now < FAULT_PHASE_MS {
        let delay = 50 + simulation.random(1_500);
        simulation.run(delay);
        inject_random_event(&mut simulation);
    }
    end_faults(&mut simulation);
    let end = simulation.now + RECOVERY_LIMIT_MS;
    while simulation.now < end && !simulation.cell.unfinished_jobs().is_empty() {
        simulation.run(1_000);
    }
    let open = simulation.cell.unfinished_jobs();
    let explanations = open
        .iter()
        .map(|job| simulation.explain(*job))
        .collect::<String>();
    assert!(
        open.is_empty(),
        "all jobs must end after the faults; still open:\n{explanations}{}",
        simulation.describe()
    );
    for job in &simulation.jobs {
        let state = simulation.state(*job);
        let final_states = [
            JobState::Ran,
            JobState::Stopped,
            JobState::NotRun,
            JobState::Unknown,
        ];
        assert!(
            final_states.contains(&state),
            "{job} must be in a final state and is {state}"
        );
    }
}

/// Guards against a task that runs on two workers at once, a worker over its capacity, a job
/// reported as `not_run` whose task started, and an accepted job that never ends.
///
/// The simulation checks the first three at each task start and each tick.
#[parameterized(
    one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 },
    five = { 5 }, six = { 6 }, seven = { 7 }, eight = { 8 },
)]
fn no_violation_with_fixed_seed(seed: u64) {
    run(seed);
}

/// Guards against the same failures with the seeds given by the environment; runs none by default.
#[test]
fn no_violation_with_seeds_from_environment() {
    let number = |name: &str| {
        env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let first = number("TARRAGON_FIRST_SEED").unwrap_or(1_000);
    for seed in first..first + number("TARRAGON_SEEDS").unwrap_or(0) {
        if let Err(panic) = panic::catch_unwind(|| run(seed)) {
            eprintln!("failing seed: {seed}");
            panic::resume_unwind(panic);
        }
    }
}
