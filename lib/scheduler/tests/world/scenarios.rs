//! Scripted scenarios for the scheduler, the cell and the lease guards. `REWRITE=1` rewrites the
//! expected output of the scripts.
//!
//! Script commands:
//!
//! - `workers count=2 cpu=4000`: adds workers `w1`, `w2`, ... with this capacity in milli-CPU.
//! - `submit name=a kind=batch tasks=2 cpu=1000 run=5000 count=1 key=k`: submits jobs.
//! - `run ms=1000`: advances the time; `run until=<state> job=<n>` advances it until the job is in
//!   this state, at most 60 s.
//! - `kill`, `restart`, `pause`, `wake`, `leave` with `worker=w1`: faults and changes of a worker
//!   process; `wake` ends a pause.
//! - `fail worker=w1 status=1`: tasks that start from now on exit with this status; jobs
//!   whose name begins with `bad` always fail.
//! - `use worker=w1 percent=150`: tasks that start from now on use this part of their declared CPU.
//! - `lose kind=start worker=w1 ms=500`: drops messages of a kind to or from a worker while
//!   this time passes.
//! - `elect host=1`: cuts off the leader and elects another host once its lease has ended.
//! - `pause-leader host=0`, `wake-leader host=0`: pauses and resumes the scheduler of a host.
//! - `cancel job=3`: cancels a job, and with `count=100` also the jobs accepted after it. Jobs are
//!   numbered from 1 in the order of acceptance.
//! - `drain worker=w1 on=true`: starts or ends the drain of a worker.
//! - `put request=r1 expected=0 owner=team pattern=x`: writes a catalogue entry.
//! - `status`: prints the states of the jobs and the tasks that run on each worker.
//! - `trace`: prints what happened on the workers since the last `trace`.
//! - `explain job=3`: prints what the leader reports about a job and about the workers.

use std::{fmt::Write as _, sync::Arc};

use datadriven::{DataDrivenError, TestCase, walk};
use tarragon_catalogue::{CatalogueEntry, Limits};
use tarragon_cell::{Answer, Command};
use tarragon_leases::GuardEvent;
use tarragon_names::{Class, JobId, Resources, Revision, WorkerName, Workload};
use tarragon_placement::FirstFit;

use crate::simulation::Simulation;

type Step = Result<String, DataDrivenError>;

/// Returns a job by its number in the order of acceptance, from 1.
fn job(simulation: &Simulation, number: usize) -> JobId {
    simulation.jobs[number - 1]
}

fn submit(simulation: &mut Simulation, case: &mut TestCase) -> Step {
    let kind = match case.try_take_arg::<String>("kind")?.as_deref() {
        Some("service") => Workload::Service,
        Some("together") => Workload::AllOrNothing,
        _ => Workload::Batch,
    };
    let name = case.try_take_arg("name")?.unwrap_or_else(|| "a".to_owned());
    let tasks = case.try_take_arg("tasks")?.unwrap_or(1);
    let cpu = case.try_take_arg("cpu")?.unwrap_or(1_000);
    let run = case.try_take_arg("run")?.unwrap_or(1_000);
    let run = if kind == Workload::Service { 0 } else { run };
    let mut text = String::new();
    for _ in 0..case.try_take_arg("count")?.unwrap_or(1) {
        text = match simulation.submit(&name, kind, tasks, cpu, run) {
            Answer::Accepted(job) => format!("{job}\n"),
            other => format!("{other:?}\n"),
        };
    }
    Ok(text)
}

fn put(simulation: &mut Simulation, case: &mut TestCase) -> Step {
    let request = case.take_arg::<String>("request")?;
    let answer = simulation.apply(&Command::PutEntry {
        request_id: request.as_str().into(),
        expected: Revision(case.take_arg("expected")?),
        entry: CatalogueEntry {
            pattern: case.take_arg::<String>("pattern")?.into(),
            owner: case.take_arg::<String>("owner")?.into(),
            class: Class::Standard,
            workloads: vec![Workload::Batch],
            pool: None,
            repeatable: false,
            limits: Limits::default(),
        },
    });
    Ok(match answer {
        Answer::Failed(failure) => format!("{failure}\n"),
        other => format!("{other:?}\n"),
    })
}

fn lose(simulation: &mut Simulation, case: &mut TestCase) -> Step {
    let kind = case.take_arg::<String>("kind")?;
    let known = [
        "register",
        "heartbeat",
        "end",
        "start",
        "stop",
        "reply",
        "order",
    ];
    let Some(kind) = known.into_iter().find(|known| *known == kind) else {
        return Err(DataDrivenError::Argument(format!(
            "unknown kind of message '{kind}'"
        )));
    };
    let until = simulation.now + case.take_arg::<u64>("ms")?;
    let worker = case.take_arg::<String>("worker")?;
    simulation
        .losses
        .push((kind, worker.as_str().into(), until));
    Ok(String::new())
}

fn on_worker(simulation: &mut Simulation, case: &mut TestCase) -> Step {
    let name = case.take_arg::<String>("worker")?;
    let now = simulation.now;
    if case.directive == "wake" {
        simulation.resume_worker(&name);
        return Ok(String::new());
    }
    if case.directive == "leave" {
        simulation.worker_step(&name.into(), GuardEvent::Leave);
        return Ok(String::new());
    }
    let name = WorkerName::from(name);
    let worker = simulation
        .workers
        .get_mut(&name)
        .expect("the script must add the worker first");
    match case.directive.as_str() {
        "kill" => worker.alive = false,
        "restart" => worker.restart(now),
        "pause" => worker.paused = true,
        "fail" => worker.exit_status = case.take_arg("status")?,
        "use" => worker.usage_percent = case.take_arg("percent")?,
        _ => {
            let draining = case.take_arg("on")?;
            simulation.apply(&Command::DrainWorker {
                worker: name,
                draining,
            });
        }
    }
    Ok(String::new())
}

fn run(simulation: &mut Simulation, case: &mut TestCase) -> Step {
    if let Some(ms) = case.try_take_arg("ms")? {
        simulation.run(ms);
        return Ok(String::new());
    }
    let state = case.take_arg::<String>("until")?;
    let job = job(simulation, case.take_arg("job")?);
    let start = simulation.now;
    while simulation.state(job).to_string() != state && simulation.now < start + 60_000 {
        simulation.run(50);
    }
    Ok(format!(
        "{} after {} ms\n",
        simulation.state(job),
        simulation.now - start
    ))
}

fn step(simulation: &mut Simulation, case: &mut TestCase) -> Step {
    match case.directive.as_str() {
        "workers" => {
            let cpu = case.try_take_arg("cpu")?.unwrap_or(4_000);
            for number in 1..=case.take_arg::<u32>("count")? {
                let capacity = Resources::new(cpu, 16_000, 0);
                simulation.add_worker(&format!("w{number}"), capacity, 1_000);
            }
            simulation.run(2_500);
        }
        "submit" => return submit(simulation, case),
        "put" => return put(simulation, case),
        "lose" => return lose(simulation, case),
        "run" => return run(simulation, case),
        "kill" | "restart" | "pause" | "wake" | "leave" | "fail" | "use" | "drain" => {
            return on_worker(simulation, case);
        }
        "elect" => simulation.elect(case.take_arg("host")?),
        "pause-leader" => simulation.set_host_paused(case.take_arg("host")?, true),
        "wake-leader" => simulation.set_host_paused(case.take_arg("host")?, false),
        "cancel" => {
            let first = case.take_arg::<usize>("job")?;
            let count = case.try_take_arg::<usize>("count")?.unwrap_or(1);
            for number in first..first + count {
                let job = job(simulation, number);
                simulation.apply(&Command::Cancel { job });
            }
        }
        "status" => return Ok(simulation.describe()),
        "explain" => return Ok(simulation.explain(job(simulation, case.take_arg("job")?))),
        "trace" => {
            return Ok(simulation
                .trace
                .drain(..)
                .fold(String::new(), |mut text, line| {
                    writeln!(text, "{line}").unwrap();
                    text
                }));
        }
        other => {
            return Err(DataDrivenError::Argument(format!(
                "unknown command '{other}'"
            )));
        }
    }
    Ok(String::new())
}

/// Guards against a wrong reaction to each fault listed in the design, alone and in pairs.
#[test]
fn scenarios_have_expected_output() {
    walk("tests/scenarios", |file| {
        let mut simulation = Simulation::new(1, || Arc::new(FirstFit::new()));
        file.run(|case| {
            let result = step(&mut simulation, case)?;
            case.expect_empty()?;
            Ok::<_, DataDrivenError>(result)
        });
    });
}
