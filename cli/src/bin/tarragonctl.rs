//! Command line for operators and callers.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    tarragon_cli::ctl::run(&args)
}
