use getopts::Matches;
use serde_json::json;
use tarragon_names::ExecutorName;

use crate::ctl::{Context, Output, Subcommand, context::operand, subcommand::Run};

/// Takes back a drained executor.
pub(in crate::ctl) struct TakeBack;

impl Subcommand for TakeBack {
    fn words(&self) -> &'static str {
        "executors take-back"
    }

    fn operands(&self) -> &'static str {
        "EXECUTOR"
    }

    fn about(&self) -> &'static str {
        "give work to a drained executor again"
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let name = ExecutorName::from(operand(matches, "executor")?);
            cx.client().drain_executor(&name, false).await?;
            let value = json!({"executor": name, "draining": false});
            Ok(Output::new(format!("{name} takes work again"), &value))
        })
    }
}
