//! Experiments over the decision code, one subcommand a file.
//!
//! Every experiment is seeded and bounded in count and time, prints a table and writes one JSON
//! file.

mod commits;
mod control;
mod decisions;
mod delay_line;
mod deployment;
mod draw;
mod entry_overhead;
mod goodput;
mod health;
mod health_run;
mod job_mix;
mod memory;
mod options;
mod packing;
mod queue;
mod report;
mod request_load;
mod service_site;
mod timing;
mod waiting;
mod waiting_run;

use std::process::ExitCode;

use options::Options;
use report::Report;

type Run = fn(&Options) -> Report;

const COMMANDS: [(&str, &str, Run); 10] = [
    (
        "commits",
        "catalogue changes through the replicated log",
        commits::run,
    ),
    (
        "control",
        "control cost of real processes by role",
        control::run,
    ),
    ("decisions", "time of a placement decision", decisions::run),
    (
        "entry_overhead",
        "time that an entry host adds to a service request",
        entry_overhead::run,
    ),
    (
        "goodput",
        "whole answers in time past saturation",
        goodput::run,
    ),
    (
        "health",
        "detection of bad workers and bad jobs",
        health::run,
    ),
    (
        "memory",
        "bytes a worker, waiting job and running task",
        memory::run,
    ),
    (
        "packing",
        "used share of the capacity against the bound",
        packing::run,
    ),
    ("queue", "cost of queue operations", queue::run),
    ("waiting", "waiting time by class", waiting::run),
];

/// Runs the subcommand that the arguments name.
pub fn main(args: Vec<String>) -> ExitCode {
    let mut args = args.into_iter();
    let name = args.next().unwrap_or_default();
    let Some((_, about, run)) = COMMANDS.iter().find(|(command, ..)| *command == name) else {
        eprintln!("usage: tarragon-bench COMMAND [OPTIONS]\n");
        for (command, about, _) in COMMANDS {
            eprintln!("  {command:<14} {about}");
        }
        return ExitCode::from(2);
    };
    let options = match Options::parse(&name, about, args) {
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
