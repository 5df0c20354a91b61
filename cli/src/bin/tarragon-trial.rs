//! Starts a small deployment on loopback, runs the example mix and checks every outcome.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    tarragon_cli::trial::run(&args)
}
