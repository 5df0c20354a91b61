use getopts::Matches;
use tarragon_names::JobId;

use crate::ctl::{
    Context, Output, Subcommand,
    context::{operand, parsed},
    subcommand::Run,
};

/// Says why a job is in its state.
pub(in crate::ctl) struct Explain;

impl Subcommand for Explain {
    fn words(&self) -> &'static str {
        "jobs explain"
    }

    fn operands(&self) -> &'static str {
        "JOB"
    }

    fn about(&self) -> &'static str {
        "say why a job waits or was refused"
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let job: JobId = parsed(operand(matches, "job id")?, "job id")?;
            let explanation = cx.client().explain(job).await?;
            let mut lines = explanation.reasons.clone();
            if let Some(position) = explanation.position {
                lines.push(format!("position in the queue: {position}"));
            }
            Ok(Output::new(lines.join("\n"), &explanation))
        })
    }
}
