use getopts::Matches;
use serde_json::json;
use tarragon_names::WorkerName;

use crate::ctl::{Context, Output, Subcommand, context::operand, subcommand::Run};

/// Takes back a drained worker.
pub(in crate::ctl) struct TakeBack;

impl Subcommand for TakeBack {
    fn words(&self) -> &'static str {
        "workers take-back"
    }

    fn operands(&self) -> &'static str {
        "WORKER"
    }

    fn about(&self) -> &'static str {
        "give work to a drained worker again"
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let name = WorkerName::from(operand(matches, "worker")?);
            cx.client().drain_worker(&name, false).await?;
            let value = json!({"worker": name, "draining": false});
            Ok(Output::new(format!("{name} takes work again"), &value))
        })
    }
}
