use getopts::{Matches, Options};
use serde_json::json;
use tarragon_catalogue::Pattern;
use tarragon_names::Revision;

use crate::ctl::{
    Context, Output, Subcommand,
    context::{operand, option, unique, with_id},
    subcommand::Run,
};

/// Deletes an entry.
pub(in crate::ctl) struct Delete;

impl Subcommand for Delete {
    fn words(&self) -> &'static str {
        "catalogue delete"
    }

    fn operands(&self) -> &'static str {
        "PATTERN"
    }

    fn about(&self) -> &'static str {
        "delete an entry"
    }

    fn options(&self, options: &mut Options) {
        options
            .optopt(
                "",
                "expected",
                "revision that the entry must have [that of a read just before]",
                "REVISION",
            )
            .optopt("", "request-id", "names the write, for a repeat", "ID");
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let pattern = Pattern::from(operand(matches, "pattern")?.to_owned());
            let id = unique(matches, "request-id");
            let expected = match option(matches, "expected")? {
                Some(revision) => Revision(revision),
                None => cx.client().entry(&pattern).await?.revision,
            };
            cx.client()
                .delete_entry(&pattern, expected, &id)
                .await
                .map_err(|f| with_id(f, "request-id", &id))?;
            let value = json!({"deleted": pattern, "request_id": id});
            Ok(Output::new(format!("deleted {pattern}"), &value))
        })
    }
}
