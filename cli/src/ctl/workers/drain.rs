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
            // The flag may be set before a worker registers, so a slip of the name is no error.
            let known = cx
                .client()
                .workers()
                .await?
                .iter()
                .any(|worker| worker.name == name);
            let text = if known {
                format!("{name} drains")
            } else {
                format!("{name} is not known now; it drains once it registers")
            };
            let value = json!({"worker": name, "draining": true, "known": known});
            Ok(Output::new(text, &value))
        })
    }
}
