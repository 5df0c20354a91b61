use getopts::Matches;
use serde_json::json;
use tarragon_names::JobId;

use crate::ctl::{
    Context, Output, Subcommand,
    context::{operand, parsed},
    subcommand::Run,
};

/// Cancels a job.
pub(in crate::ctl) struct Cancel;

impl Subcommand for Cancel {
    fn words(&self) -> &'static str {
        "jobs cancel"
    }

    fn operands(&self) -> &'static str {
        "JOB"
    }

    fn about(&self) -> &'static str {
        "cancel a job"
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let job: JobId = parsed(operand(matches, "job id")?, "job id")?;
            let state = cx.client().cancel(job).await?;
            let value = json!({"job": job, "state": state});
            Ok(Output::new(format!("{job} {state}"), &value))
        })
    }
}
