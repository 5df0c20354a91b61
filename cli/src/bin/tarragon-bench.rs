//! Benchmark, load and simulation command.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    tarragon_cli::bench::main(env::args().skip(1).collect())
}
