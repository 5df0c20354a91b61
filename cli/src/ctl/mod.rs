//! `tarragonctl`: one subcommand a file.
//!
//! Exit codes: 0 done, 1 refused, 2 wrong usage, 3 outcome not known, 4 not available, 5 not yet.
//! `config check` has codes of its own: 0 clean, 1 warnings, 2 errors, 3 no answer.

mod catalogue;
mod config;
mod context;
mod ctl_error;
mod executors;
mod hosts;
mod jobs;
mod log_level;
mod members;
mod output;
mod quota;
mod ready;
mod registry;
mod subcommand;
mod submit;
mod workers;

use std::process::ExitCode;

use tarragon_codes::{Code, Failure};
use tokio::runtime::Builder;

use self::{context::Context, ctl_error::CtlError, output::Output, subcommand::Subcommand};

/// Runs one command line and prints its result.
pub fn run(args: &[String]) -> ExitCode {
    let json = args.iter().any(|arg| arg == "--json");
    match dispatch(args) {
        Ok((text, exit_code)) => {
            output::print(&text);
            exit_code
        }
        Err(error) => {
            eprintln!("{}", error.render(json));
            error.exit_code()
        }
    }
}

fn dispatch(args: &[String]) -> Result<(String, ExitCode), CtlError> {
    let found = registry::find(args);
    match args.first().map(String::as_str) {
        Some("--version") => return Ok(done(format!("tarragonctl {}", env!("CARGO_PKG_VERSION")))),
        Some("--help") | None => return Ok(done(registry::overview())),
        Some(_) => {}
    }
    let Some((subcommand, rest)) = found else {
        return Err(CtlError::Usage(
            "no such subcommand; see 'tarragonctl --help'".to_owned(),
        ));
    };
    let options = registry::options(subcommand);
    let matches = options
        .parse(rest)
        .map_err(|e| CtlError::Usage(e.to_string()))?;
    if matches.opt_present("help") {
        return Ok(done(registry::help(subcommand, &options)));
    }
    let cx = Context::new(&matches, subcommand.calls_hosts())?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
    let output = runtime.block_on(subcommand.run(&cx, &matches))?;
    Ok((output.render(cx.json()), output.exit_code()))
}

fn done(text: String) -> (String, ExitCode) {
    (text, ExitCode::SUCCESS)
}
