use getopts::{Matches, Options};
use serde::Deserialize;
use serde_json::json;
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_codes::{Code, Failure};
use tarragon_names::Revision;

use super::wait::{WAIT_LIMIT, until_in_force};
use crate::ctl::{
    Context, CtlError, Output, Subcommand,
    context::{operand, option, read_file, unique, with_id},
    subcommand::Run,
};

/// A file of entries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EntryFile {
    #[serde(default)]
    entries: Vec<CatalogueEntry>,
}

/// Creates or replaces entries.
pub(in crate::ctl) struct Put;

impl Subcommand for Put {
    fn words(&self) -> &'static str {
        "catalogue put"
    }

    fn operands(&self) -> &'static str {
        "FILE"
    }

    fn about(&self) -> &'static str {
        "create or replace the entries of a TOML file"
    }

    fn options(&self, options: &mut Options) {
        options
            .optopt(
                "",
                "expected",
                "revision that the entry must have, 0 for a new one [that of a read just before]",
                "REVISION",
            )
            .optopt("", "request-id", "names the write, for a repeat", "ID")
            .optflag("", "wait", "wait until the entries are in force everywhere");
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let file: EntryFile = toml::from_str(&read_file(operand(matches, "file")?)?)
                .map_err(|e| CtlError::Usage(e.to_string()))?;
            let expected: Option<u64> = option(matches, "expected")?;
            if expected.is_some() && file.entries.len() != 1 {
                let cause = "--expected goes with a file of one entry".to_owned();
                return Err(CtlError::Usage(cause));
            }
            let id = unique(matches, "request-id");
            let mut last = Revision::default();
            for (n, entry) in file.entries.iter().enumerate() {
                let id = format!("{id}-{n}");
                let expected = match expected {
                    Some(revision) => Revision(revision),
                    None => current(cx, &entry.pattern).await?,
                };
                let put = cx.client().put_entry(entry, expected, &id).await;
                last = put.map_err(|f| Failure {
                    cause: format!("{}: {}", entry.pattern, f.cause),
                    ..with_id(f, "request-id", &id)
                })?;
            }
            if matches.opt_present("wait") {
                until_in_force(cx, last, WAIT_LIMIT).await?;
            }
            let count = file.entries.len();
            let value = json!({"written": count, "revision": last, "request_id": id});
            Ok(Output::new(
                format!("wrote {count} entries, revision {last}"),
                &value,
            ))
        })
    }
}

/// Revision of an entry, 0 if it does not exist.
async fn current(cx: &Context, pattern: &Pattern) -> Result<Revision, CtlError> {
    match cx.client().entry(pattern).await {
        Ok(view) if view.entry.is_some() => Ok(view.revision),
        Ok(_) => Ok(Revision(0)),
        Err(failure) if failure.code == Code::NoEntry => Ok(Revision(0)),
        Err(failure) => Err(failure.into()),
    }
}
