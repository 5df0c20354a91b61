use getopts::{Matches, Options};
use serde_json::json;
use tarragon_names::MemberId;

use crate::ctl::{Context, CtlError, Output, Subcommand, context::option, subcommand::Run};

/// Replaces a voter by a learner.
pub(in crate::ctl) struct Replace;

impl Subcommand for Replace {
    fn words(&self) -> &'static str {
        "members replace"
    }

    fn about(&self) -> &'static str {
        "make a learner a voter in place of a lost one"
    }

    fn options(&self, options: &mut Options) {
        options
            .optopt("", "remove", "member id of the lost voter", "MEMBER")
            .optopt("", "add", "member id of the learner", "MEMBER");
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let (Some(remove), Some(add)) = (option(matches, "remove")?, option(matches, "add")?)
            else {
                let cause = "give --remove and --add; see 'tarragonctl hosts'".to_owned();
                return Err(CtlError::Usage(cause));
            };
            let (remove, add) = (MemberId(remove), MemberId(add));
            cx.client().replace_member(remove, add).await?;
            let value = json!({"removed": remove, "added": add});
            Ok(Output::new(
                format!("member {add} votes in place of {remove}"),
                &value,
            ))
        })
    }
}
