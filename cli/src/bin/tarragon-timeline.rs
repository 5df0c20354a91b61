//! Merge of the logs of all processes into one causal order.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    tarragon_cli::timeline::run(&args)
}
