use getopts::Matches;
use tarragon_routing::ExecutorView;

use crate::ctl::{Context, Output, Subcommand, subcommand::Run};

/// Lists the executors.
pub(in crate::ctl) struct List;

impl Subcommand for List {
    fn words(&self) -> &'static str {
        "executors list"
    }

    fn about(&self) -> &'static str {
        "list the executors"
    }

    fn run<'a>(&'a self, cx: &'a Context, _matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let executors = cx.client().executors().await?;
            let head = [
                "EXECUTOR", "POOL", "DOMAIN", "HOME", "STATE", "BUSY", "SLOTS",
            ];
            Ok(Output::table(head, &executors, row))
        })
    }
}

fn row(executor: &ExecutorView) -> [String; 7] {
    [
        executor.name.to_string(),
        executor.pool.to_string(),
        executor.domain.to_string(),
        executor.home_host.to_string(),
        executor.state.clone(),
        executor.busy.to_string(),
        executor.slots.to_string(),
    ]
}
