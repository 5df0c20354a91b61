use getopts::{Matches, Options};
use serde_json::json;
use tarragon_cell::Quota;
use tarragon_names::{Resources, Revision, TeamName};

use crate::ctl::{
    Context, Output, Subcommand,
    context::{operand, option, unique, with_id},
    subcommand::Run,
};

/// Sets the quota of a team.
pub(in crate::ctl) struct Put;

impl Subcommand for Put {
    fn words(&self) -> &'static str {
        "quota put"
    }

    fn operands(&self) -> &'static str {
        "TEAM"
    }

    fn about(&self) -> &'static str {
        "set the quota of a team"
    }

    fn options(&self, options: &mut Options) {
        options
            .optopt("", "cpu", "thousandths of a core [0, no limit]", "N")
            .optopt("", "memory", "megabytes [0, no limit]", "N")
            .optopt("", "accelerators", "accelerators [0, no limit]", "N")
            .optopt("", "max-jobs", "jobs that wait or run [0, no limit]", "N")
            .optopt(
                "",
                "expected",
                "revision that the quota must have, 0 for a new one [that of a read just before]",
                "REVISION",
            )
            .optopt("", "request-id", "names the write, for a repeat", "ID");
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let team = TeamName::from(operand(matches, "team")?);
            let quota = Quota {
                resources: Resources::new(
                    option(matches, "cpu")?.unwrap_or(0),
                    option(matches, "memory")?.unwrap_or(0),
                    option(matches, "accelerators")?.unwrap_or(0),
                ),
                max_jobs: option(matches, "max-jobs")?.unwrap_or(0),
            };
            let expected = match option(matches, "expected")? {
                Some(revision) => Revision(revision),
                None => cx.client().quota(&team).await?.revision,
            };
            let id = unique(matches, "request-id");
            let revision = cx
                .client()
                .put_quota(&team, &quota, expected, &id)
                .await
                .map_err(|f| with_id(f, "request-id", &id))?;
            let value = json!({"team": team, "revision": revision, "request_id": id});
            Ok(Output::new(format!("{team}: revision {revision}"), &value))
        })
    }
}
