use getopts::{Matches, Options};
use tarragon_cell::{JobView, TaskState};
use tarragon_names::{IdempotencyKey, JobId};

use crate::ctl::{
    Context, Output, Subcommand,
    context::{operand, parsed},
    subcommand::Run,
};

/// Shows a job.
pub(in crate::ctl) struct Show;

impl Subcommand for Show {
    fn words(&self) -> &'static str {
        "jobs show"
    }

    fn operands(&self) -> &'static str {
        "JOB"
    }

    fn about(&self) -> &'static str {
        "show a job with its tasks"
    }

    fn options(&self, options: &mut Options) {
        options.optopt("", "key", "idempotency key, in place of the job id", "KEY");
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let view = if let Some(key) = matches.opt_str("key") {
                cx.client().job_by_key(&IdempotencyKey::from(key)).await?
            } else {
                let job: JobId = parsed(operand(matches, "job id")?, "job id")?;
                cx.client().job(job).await?
            };
            Ok(Output::new(text(&view), &view))
        })
    }
}

fn text(job: &JobView) -> String {
    let mut lines = vec![format!(
        "{} {}: {} of team {}, class {}, {}",
        job.job, job.name, job.kind, job.team, job.class, job.state
    )];
    if let Some(success) = job.success {
        let outcome = if success {
            "all tasks succeeded"
        } else {
            "failed"
        };
        lines.push(outcome.to_owned());
    }
    lines.extend(job.reason.iter().map(|reason| format!("reason {reason}")));
    for task in &job.tasks {
        let state = match &task.state {
            TaskState::Waiting => "waits".to_owned(),
            TaskState::Assigned(worker) => format!("given to {worker}"),
            TaskState::Ended(ended) => format!("ended: {ended:?}"),
        };
        let line = format!("task {} attempt {}: {state}", task.index, task.attempt);
        lines.push(line);
    }
    lines.join("\n")
}
