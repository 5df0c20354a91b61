//! Scripted scenarios over scheduler, cell and lease guards; `REWRITE=1` writes the results anew.
//!
//! Commands of the scripts:
//!
//! - `workers count=2 cpu=4000`: adds workers `w1`, `w2`, ... with this processor time.
//! - `submit name=a kind=batch tasks=2 cpu=1000 run=5000 count=1 key=k`: submits jobs.
//! - `run ms=1000`: lets time pass; `run until=<state> job=<n>` up to a state, at most 60 s.
//! - `kill`, `restart`, `pause`, `wake`, `leave` with `worker=w1`.
//! - `fail worker=w1 status=1`: tasks that begin from now on exit with this status; jobs
//!   whose name begins with `bad` always fail.
//! - `use worker=w1 percent=150`: all its tasks use this part of what was declared.
//! - `lose kind=start worker=w1 ms=500`: loses messages of a kind to or from a worker.
//! - `elect host=1`, `pause-leader host=0`, `wake-leader host=0`.
//! - `cancel job=3`, where jobs are numbered from 1 by acceptance (`count=100` for this and the following jobs), `drain worker=w1 on=true`.
//! - `put request=r1 expected=0 owner=team pattern=x`: writes a catalogue entry.
//! - `status`, `trace`, `explain job=3`: what the cell and the workers hold, what workers did.

use std::{fmt::Write as _, sync::Arc};

use datadriven::{DataDrivenError, TestCase, walk};
use tarragon_catalogue::{CatalogueEntry, Limits};
use tarragon_cell::{Answer, Command};
use tarragon_leases::GuardEvent;
use tarragon_names::{Class, JobId, Resources, Revision, WorkerName, Workload};
use tarragon_placement::FirstFit;

use crate::simulation::World;

type Step = Result<String, DataDrivenError>;

/// The job that was accepted as the one with this number, from 1.
fn job(world: &World, number: usize) -> JobId {
    world.jobs[number - 1]
}

fn submit(world: &mut World, case: &mut TestCase) -> Step {
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
        text = match world.submit(&name, kind, tasks, cpu, run) {
            Answer::Accepted(job) => format!("{job}\n"),
            other => format!("{other:?}\n"),
        };
    }
    Ok(text)
}

fn put(world: &mut World, case: &mut TestCase) -> Step {
    let request = case.take_arg::<String>("request")?;
    let answer = world.apply(&Command::PutEntry {
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

fn lose(world: &mut World, case: &mut TestCase) -> Step {
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
        return Err(DataDrivenError::Argument(format!("no kind '{kind}'")));
    };
    let until = world.now + case.take_arg::<u64>("ms")?;
    let worker = case.take_arg::<String>("worker")?;
    world.lost.push((kind, worker.as_str().into(), until));
    Ok(String::new())
}

fn on_worker(world: &mut World, case: &mut TestCase) -> Step {
    let name = case.take_arg::<String>("worker")?;
    let now = world.now;
    if case.directive == "wake" {
        world.wake(&name);
        return Ok(String::new());
    }
    if case.directive == "leave" {
        world.worker_step(&name.into(), GuardEvent::Leave);
        return Ok(String::new());
    }
    let name = WorkerName::from(name);
    let worker = world
        .workers
        .get_mut(&name)
        .expect("a worker of the script");
    match case.directive.as_str() {
        "kill" => worker.alive = false,
        "restart" => worker.restart(now),
        "pause" => worker.paused = true,
        "fail" => worker.status = case.take_arg("status")?,
        "use" => worker.usage_percent = case.take_arg("percent")?,
        _ => {
            let draining = case.take_arg("on")?;
            world.apply(&Command::DrainWorker {
                worker: name,
                draining,
            });
        }
    }
    Ok(String::new())
}

fn run(world: &mut World, case: &mut TestCase) -> Step {
    if let Some(ms) = case.try_take_arg("ms")? {
        world.run(ms);
        return Ok(String::new());
    }
    let state = case.take_arg::<String>("until")?;
    let job = job(world, case.take_arg("job")?);
    let start = world.now;
    while world.state(job).to_string() != state && world.now < start + 60_000 {
        world.run(50);
    }
    Ok(format!(
        "{} after {} ms\n",
        world.state(job),
        world.now - start
    ))
}

fn step(world: &mut World, case: &mut TestCase) -> Step {
    match case.directive.as_str() {
        "workers" => {
            let cpu = case.try_take_arg("cpu")?.unwrap_or(4_000);
            for number in 1..=case.take_arg::<u32>("count")? {
                let capacity = Resources::new(cpu, 16_000, 0);
                world.add_worker(&format!("w{number}"), capacity, 1_000);
            }
            world.run(2_500);
        }
        "submit" => return submit(world, case),
        "put" => return put(world, case),
        "lose" => return lose(world, case),
        "run" => return run(world, case),
        "kill" | "restart" | "pause" | "wake" | "leave" | "fail" | "use" | "drain" => {
            return on_worker(world, case);
        }
        "elect" => world.elect(case.take_arg("host")?),
        "pause-leader" => world.pause_leader(case.take_arg("host")?, true),
        "wake-leader" => world.pause_leader(case.take_arg("host")?, false),
        "cancel" => {
            let first = case.take_arg::<usize>("job")?;
            let count = case.try_take_arg::<usize>("count")?.unwrap_or(1);
            for number in first..first + count {
                let job = job(world, number);
                world.apply(&Command::Cancel { job });
            }
        }
        "status" => return Ok(world.describe()),
        "explain" => return Ok(world.explain(job(world, case.take_arg("job")?))),
        "trace" => {
            return Ok(world.trace.drain(..).fold(String::new(), |mut text, line| {
                writeln!(text, "{line}").unwrap();
                text
            }));
        }
        other => return Err(DataDrivenError::Argument(format!("no command '{other}'"))),
    }
    Ok(String::new())
}

/// Guards against a wrong end of each fault that the design lists, alone and in pairs.
#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut world = World::new(1, || Arc::new(FirstFit::new()));
        file.run(|case| {
            let result = step(&mut world, case)?;
            case.expect_empty()?;
            Ok::<_, DataDrivenError>(result)
        });
    });
}
