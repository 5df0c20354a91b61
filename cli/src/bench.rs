//! Benchmarks and simulations of the scheduler and the request path, one module per subcommand.
//!
//! Every subcommand seeds its random draws, bounds its run in count and time, prints a table and
//! writes one JSON file.

mod bench_entry_host;
mod class_outcome;
mod commits;
mod config_check;
mod control;
mod decisions;
mod delay_proxy;
mod deployment;
mod dispatch;
mod dispatch_simulation;
mod entry_overhead;
mod goodput;
mod health;
mod health_simulation;
mod job_mix;
mod memory;
mod options;
mod packing;
mod policy;
mod queue;
mod report;
mod request_load;
mod seeded_rng;
mod timing;
mod waiting;
mod waiting_simulation;

use std::process::ExitCode;

use options::Options;
use report::Report;

type RunExperiment = fn(&Options) -> Report;

const COMMANDS: [(&str, &str, RunExperiment); 12] = [
    (
        "commits",
        "catalogue changes through the replicated log",
        commits::run,
    ),
    (
        "config_check",
        "time of a check of a configuration file",
        config_check::run,
    ),
    (
        "control",
        "control traffic, CPU time and memory of real processes by role",
        control::run,
    ),
    (
        "decisions",
        "latency of a placement decision",
        decisions::run,
    ),
    (
        "dispatch",
        "time of the dispatcher's steps and jobs in time, by load",
        dispatch::run,
    ),
    (
        "entry_overhead",
        "time that an entry host adds to a service request",
        entry_overhead::run,
    ),
    (
        "goodput",
        "complete answers within the timeout, past saturation",
        goodput::run,
    ),
    (
        "health",
        "detection of bad workers and bad jobs",
        health::run,
    ),
    (
        "memory",
        "bytes per worker, waiting job, running task and catalogue entry",
        memory::run,
    ),
    (
        "packing",
        "used share of the capacity relative to the fractional bound",
        packing::run,
    ),
    ("queue", "cost of queue operations", queue::run),
    ("waiting", "waiting time by class", waiting::run),
];

/// Runs the subcommand named by the first argument; exits with 2 on invalid arguments.
pub fn main(args: Vec<String>) -> ExitCode {
    let mut args = args.into_iter();
    let name = args.next().unwrap_or_default();
    let Some((_, description, run)) = COMMANDS.iter().find(|(command, ..)| *command == name) else {
        eprintln!("usage: tarragon-bench COMMAND [OPTIONS]\n");
        for (command, description, _) in COMMANDS {
            eprintln!("  {command:<14} {description}");
        }
        return ExitCode::from(2);
    };
    let options = match Options::parse(&name, description, args) {
        Ok(options) => options,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    let report = run(&options);
    report.print();
    match report.write(&options.out) {
        Ok(()) => {
            println!("written to {}", options.out.display());
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("cannot write {}: {err}", options.out.display());
            ExitCode::FAILURE
        }
    }
}
