//! Stand-in workers and executors for trials and tests.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    tarragon_cli::standin::run(&args)
}
