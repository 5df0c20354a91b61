//! Plays a case of the review: `play CASE RECORD`.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

mod case_cancel;
mod case_late;
mod case_lost;
mod case_token;
mod case_upkeep;
mod case_wave;
mod case_young;
mod cloud;
mod executor;
mod hosts;
mod http;
mod hunt;
mod json;
mod play;
mod record;

use std::{path::Path, process::ExitCode, thread, time::Duration};

use crate::{play::Failed, record::Recorder};

/// Time after which a case is given up; a little less than it may take.
const MOST_TIME: Duration = Duration::from_secs(110);

/// The same for the random search, which is no case.
const MOST_HUNT_TIME: Duration = Duration::from_secs(600);

/// What was found: each line is one break of the rule.
pub type Breaks = Vec<String>;

fn main() -> ExitCode {
    let args = std::env::args().collect::<Vec<_>>();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: play CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Recorder::create(Path::new(path)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{path}: {e}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, with the disruption: {has_trouble}"));
    let (tx, rx) = std::sync::mpsc::channel();
    let (name, recorder) = (case.clone(), record.clone());
    thread::spawn(move || {
        let result = match name.as_str() {
            "late" => case_late::play(recorder, has_trouble),
            "wave" => case_wave::play(recorder, has_trouble),
            "cancel" => case_cancel::play(recorder, has_trouble),
            "lost" => case_lost::play(recorder, has_trouble),
            "young" => case_young::play(recorder, has_trouble),
            "upkeep" => case_upkeep::play(recorder, has_trouble),
            "token" => case_token::play(recorder, has_trouble),
            "hunt" => hunt::play(recorder, has_trouble),
            _ => Err("no such case".to_owned()),
        };
        let _sent = tx.send(result);
    });
    let most = if case == "hunt" { MOST_HUNT_TIME } else { MOST_TIME };
    let result: Result<Breaks, Failed> = match rx.recv_timeout(most) {
        Ok(result) => result,
        Err(_) => Err("the case took too long, or one of its threads failed".to_owned()),
    };
    hosts::end_all();
    match result {
        Ok(breaks) if breaks.is_empty() => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaks) => {
            for broken in breaks {
                record.line(&format!("broken: {broken}"));
            }
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.line(&format!("result: the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
