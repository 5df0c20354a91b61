use getopts::Matches;
use serde_json::json;
use tarragon_names::WorkerName;

use crate::ctl::{Context, Output, Subcommand, context::operand, subcommand::Run};

/// Drains a worker.
pub(in crate::ctl) struct Drain;

impl Subcommand for Drain {
    fn words(&self) -> &'static str {
        "workers drain"
    }

    fn operands(&self) -> &'static str {
        "WORKER"
    }

    fn about(&self) -> &'static str {
        "let the work of a worker end and give it no more"
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let name = WorkerName::from(operand(matches, "worker")?);
            cx.client().drain_worker(&name, true).await?;
            let value = json!({"worker": name, "draining": true});
            Ok(Output::new(format!("{name} drains"), &value))
        })
    }
}
