use getopts::Matches;
use tarragon_scheduler::WorkerView;

use crate::ctl::{Context, Output, Subcommand, subcommand::Run};

/// Lists the workers.
pub(in crate::ctl) struct List;

impl Subcommand for List {
    fn words(&self) -> &'static str {
        "workers list"
    }

    fn about(&self) -> &'static str {
        "list the workers"
    }

    fn run<'a>(&'a self, cx: &'a Context, _matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let workers = cx.client().workers().await?;
            let head = [
                "WORKER", "DOMAIN", "RACK", "STATE", "TASKS", "RESERVED", "CAPACITY",
            ];
            Ok(Output::table(head, &workers, row))
        })
    }
}

fn row(worker: &WorkerView) -> [String; 7] {
    [
        worker.name.to_string(),
        worker.domain.to_string(),
        worker.rack.to_string(),
        worker.state.clone(),
        worker.tasks.to_string(),
        worker.reserved.to_string(),
        worker.capacity.to_string(),
    ]
}
