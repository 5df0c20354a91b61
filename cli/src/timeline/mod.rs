//! `tarragon-timeline`: merges log files and prints them in an order that respects cause.
//!
//! Exit codes: 0 done, 1 a file could not be read, 2 wrong usage.

use std::{
    fs,
    io::{self, Write},
    process::ExitCode,
};

use getopts::{Matches, Options};
use tarragon_timeline::{Filter, LogMerger, TimelineEvent, html, json, svg, text};

use crate::command_line::CommandLine;

/// Runs one command line.
pub fn run(args: &[String]) -> ExitCode {
    let line = CommandLine::new("tarragon-timeline", "[OPTIONS] FILE...", options());
    let matches = match line.parse(args) {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    let Ok(epoch) = matches.opt_get::<u64>("epoch") else {
        return line.refuse("--epoch must be a number");
    };
    let filter = Filter {
        job: matches.opt_str("job"),
        request: matches.opt_str("request"),
        worker: matches.opt_str("worker"),
        epoch,
    };
    if matches.free.is_empty() {
        return line.refuse("give the log files of all processes");
    }
    let format = matches
        .opt_str("format")
        .unwrap_or_else(|| "text".to_owned());
    let form: fn(&[TimelineEvent]) -> String = match format.as_str() {
        "text" => text,
        "json" => json,
        "svg" => svg,
        "html" => |events| html("Timeline", events),
        _ => return line.refuse("--format must be text, json, svg or html"),
    };
    match merge(&matches) {
        Ok(mut events) => {
            events.retain(|event| filter.matches(&event.record));
            // A reader that has gone away, as in `| head`, is no fault.
            let _closed = io::stdout().write_all(form(&events).as_bytes());
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("tarragon-timeline: {cause}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "job", "only events of this job", "JOB")
        .optopt(
            "",
            "request",
            "only events of this service request",
            "REQUEST",
        )
        .optopt("", "worker", "only events of this worker", "WORKER")
        .optopt("", "epoch", "only events of this epoch", "EPOCH")
        .optopt("", "format", "text, json, svg or html [text]", "FORMAT");
    options
}

fn merge(matches: &Matches) -> Result<Vec<TimelineEvent>, String> {
    let mut merge = LogMerger::default();
    for path in &matches.free {
        let bytes = fs::read(path).map_err(|e| format!("cannot read {path}: {e}"))?;
        merge.add_log(path, &String::from_utf8_lossy(&bytes));
    }
    for failure in merge.unreadable_lines() {
        eprintln!("tarragon-timeline: skipped {}", failure.cause);
    }
    Ok(merge.into_causal_order())
}
