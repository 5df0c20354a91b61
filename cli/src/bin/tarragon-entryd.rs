//! Daemon of an entry host on the users' platform.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    tarragon_cli::entryd::run(&args)
}
