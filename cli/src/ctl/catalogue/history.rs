use getopts::Matches;
use tarragon_catalogue::Pattern;

use super::row::{HEAD, row};
use crate::ctl::{Context, Output, Subcommand, context::operand, subcommand::Run};

/// Lists the revisions of an entry.
pub(in crate::ctl) struct History;

impl Subcommand for History {
    fn words(&self) -> &'static str {
        "catalogue history"
    }

    fn operands(&self) -> &'static str {
        "PATTERN"
    }

    fn about(&self) -> &'static str {
        "list the revisions of an entry, oldest first"
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let pattern = Pattern::from(operand(matches, "pattern")?.to_owned());
            let entries = cx.client().history(&pattern).await?;
            Ok(Output::table(HEAD, &entries, row))
        })
    }
}
