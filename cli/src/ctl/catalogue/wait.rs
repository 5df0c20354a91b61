use std::time::Duration;

use getopts::{Matches, Options};
use serde_json::json;
use tarragon_names::Revision;
use tokio::time::{Instant, sleep};

use crate::ctl::{
    Context, CtlError, Output, Subcommand,
    context::{operand, option, parsed},
    subcommand::Run,
};

/// Longest wait; the report after the death of a leader comes within 7 s.
pub(super) const WAIT_LIMIT: Duration = Duration::from_secs(15);

/// Time between two questions.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Waits until a revision is in force everywhere.
pub(in crate::ctl) struct Wait;

impl Subcommand for Wait {
    fn words(&self) -> &'static str {
        "catalogue wait"
    }

    fn operands(&self) -> &'static str {
        "REVISION"
    }

    fn about(&self) -> &'static str {
        "wait until a revision is in force everywhere"
    }

    fn options(&self, options: &mut Options) {
        options.optopt("", "timeout-ms", "longest wait [15000]", "N");
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let revision = Revision(parsed(operand(matches, "revision")?, "revision")?);
            let limit = option(matches, "timeout-ms")?.map_or(WAIT_LIMIT, Duration::from_millis);
            let waited = until_in_force(cx, revision, limit).await?;
            let ms = waited.as_millis() as u64;
            Ok(Output::new(
                format!("revision {revision} is in force everywhere"),
                &json!({"revision": revision, "waited_ms": ms}),
            ))
        })
    }
}

/// Asks until a revision is in force everywhere and gives the time that passed.
pub(super) async fn until_in_force(
    cx: &Context,
    revision: Revision,
    limit: Duration,
) -> Result<Duration, CtlError> {
    let start = Instant::now();
    while !cx.client().is_in_force(revision).await? {
        if start.elapsed() >= limit {
            return Err(CtlError::NotYet(format!(
                "revision {revision} is not known to be in force everywhere"
            )));
        }
        sleep(ASK_AGAIN).await;
    }
    Ok(start.elapsed())
}
