use getopts::{Matches, Options};
use serde_json::json;
use tarragon_cell::JobSpec;
use tarragon_names::{IdempotencyKey, Resources, Workload};

use super::{
    Context, CtlError, Output, Subcommand,
    context::{operand, option, unique, with_id},
    subcommand::Run,
};

/// Submits a job.
pub(super) struct Submit;

impl Subcommand for Submit {
    fn words(&self) -> &'static str {
        "submit"
    }

    fn operands(&self) -> &'static str {
        "NAME"
    }

    fn about(&self) -> &'static str {
        "submit a job"
    }

    fn options(&self, options: &mut Options) {
        options
            .optopt(
                "",
                "kind",
                "batch, service or all_or_nothing [batch]",
                "KIND",
            )
            .optopt("", "tasks", "number of tasks [1]", "N")
            .optopt("", "cpu", "thousandths of a core for each task [1000]", "N")
            .optopt("", "memory", "megabytes for each task [512]", "N")
            .optopt("", "accelerators", "accelerators for each task [0]", "N")
            .optopt(
                "",
                "run-ms",
                "expected run time of a task; 0 for a service [0]",
                "N",
            )
            .optopt(
                "",
                "deadline-ms",
                "time by which the job should have ended",
                "N",
            )
            .optopt("", "payload", "text handed through to the tasks", "TEXT")
            .optopt("", "key", "idempotency key [a new one]", "KEY");
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let spec = spec(matches)?;
            let key = unique(matches, "key");
            let done = cx
                .client()
                .submit(&spec, Some(&IdempotencyKey::from(key.as_str())))
                .await
                .map_err(|f| with_id(f, "key", &key))?;
            let text = format!("{} {} (key {key})", done.job, done.state);
            let value = json!({"job": done.job, "state": done.state, "key": key});
            Ok(Output::new(text, &value))
        })
    }
}

fn spec(matches: &Matches) -> Result<JobSpec, CtlError> {
    let kind = match matches.opt_str("kind").as_deref() {
        None | Some("batch") => Workload::Batch,
        Some("service") => Workload::Service,
        Some("all_or_nothing") => Workload::AllOrNothing,
        Some(other) => return Err(CtlError::Usage(format!("'{other}' is not a valid --kind"))),
    };
    Ok(JobSpec {
        name: operand(matches, "job name")?.into(),
        kind,
        tasks: option(matches, "tasks")?.unwrap_or(1),
        resources: Resources::new(
            option(matches, "cpu")?.unwrap_or(1_000),
            option(matches, "memory")?.unwrap_or(512),
            option(matches, "accelerators")?.unwrap_or(0),
        ),
        run_ms: option(matches, "run-ms")?.unwrap_or(0),
        deadline_ms: option(matches, "deadline-ms")?,
        payload: matches.opt_str("payload").unwrap_or_default().into(),
    })
}
