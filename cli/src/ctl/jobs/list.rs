use getopts::{Matches, Options};
use serde_json::Value;
use tarragon_cell::{JobState, JobView};
use tarragon_names::TeamName;

use crate::ctl::{Context, CtlError, Output, Subcommand, context::option, subcommand::Run};

/// Lists jobs.
pub(in crate::ctl) struct List;

impl Subcommand for List {
    fn words(&self) -> &'static str {
        "jobs list"
    }

    fn about(&self) -> &'static str {
        "list jobs, newest first"
    }

    fn options(&self, options: &mut Options) {
        options
            .optopt("", "team", "only of this team", "TEAM")
            .optopt("", "state", "only in this state", "STATE")
            .optopt("", "limit", "at most this many [100]", "N");
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let team = matches.opt_str("team").map(TeamName::from);
            let state = matches.opt_str("state").map(Value::String);
            let state: Option<JobState> = state
                .map(serde_json::from_value)
                .transpose()
                .map_err(|e| CtlError::Usage(e.to_string()))?;
            let limit = option(matches, "limit")?.unwrap_or(100);
            let jobs = cx.client().jobs(team.as_ref(), state, limit).await?;
            let head = ["JOB", "NAME", "TEAM", "CLASS", "KIND", "STATE", "SUCCESS"];
            Ok(Output::table(head, &jobs, row))
        })
    }
}

fn row(job: &JobView) -> [String; 7] {
    [
        job.job.to_string(),
        job.name.to_string(),
        job.team.to_string(),
        job.class.to_string(),
        job.kind.to_string(),
        job.state.to_string(),
        job.success
            .map_or_else(|| "-".to_owned(), |s| s.to_string()),
    ]
}
