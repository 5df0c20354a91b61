use getopts::Matches;
use serde_json::json;
use tarragon_names::ExecutorName;

use crate::ctl::{Context, Output, Subcommand, context::operand, subcommand::Run};

/// Drains an executor.
pub(in crate::ctl) struct Drain;

impl Subcommand for Drain {
    fn words(&self) -> &'static str {
        "executors drain"
    }

    fn operands(&self) -> &'static str {
        "EXECUTOR"
    }

    fn about(&self) -> &'static str {
        "let the requests of an executor end and send it no more"
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let name = ExecutorName::from(operand(matches, "executor")?);
            cx.client().drain_executor(&name, true).await?;
            let value = json!({"executor": name, "draining": true});
            Ok(Output::new(format!("{name} drains"), &value))
        })
    }
}
