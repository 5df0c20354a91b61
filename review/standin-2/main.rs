//! Stand-ins of the second review: executors, clients and the operator, as the platform's pages
//! say, and the cases that use them.
//!
//! `review-2 CASE RECORD` runs a case in the root of the repository and writes RECORD. It exits with
//! 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it leaves the disruption out.

mod case_cancel;
mod case_catch_up;
mod case_foreign;
mod case_gang;
mod case_late;
mod deployment;
mod hosts;
mod http;
mod json;
mod record;
mod worker;

use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let args = env::args().skip(1).collect::<Vec<_>>();
    let [case, record] = args.as_slice() else {
        eprintln!("review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Path::new(record);
    match case.as_str() {
        "cancel" => case_cancel::run(record, has_trouble),
        "catch-up" => case_catch_up::run(record, has_trouble),
        "gang" => case_gang::run(record, has_trouble),
        "late" => case_late::run(record, has_trouble),
        "foreign" => case_foreign::run(record, has_trouble),
        _ => {
            eprintln!("no case is named {case}");
            ExitCode::from(2)
        }
    }
}
