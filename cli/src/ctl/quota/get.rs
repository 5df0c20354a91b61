use getopts::Matches;
use tarragon_names::TeamName;

use crate::ctl::{Context, Output, Subcommand, context::operand, subcommand::Run};

/// Shows the quota of a team.
pub(in crate::ctl) struct Get;

impl Subcommand for Get {
    fn words(&self) -> &'static str {
        "quota get"
    }

    fn operands(&self) -> &'static str {
        "TEAM"
    }

    fn about(&self) -> &'static str {
        "show the quota of a team"
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let team = TeamName::from(operand(matches, "team")?);
            let view = cx.client().quota(&team).await?;
            let text = format!(
                "{team}: {}, {} jobs (revision {}; 0 stands for no limit)",
                view.quota.resources, view.quota.max_jobs, view.revision
            );
            Ok(Output::new(text, &view))
        })
    }
}
