use getopts::Matches;

use super::row::{HEAD, row};
use crate::ctl::{Context, Output, Subcommand, subcommand::Run};

/// Lists the catalogue.
pub(in crate::ctl) struct List;

impl Subcommand for List {
    fn words(&self) -> &'static str {
        "catalogue list"
    }

    fn about(&self) -> &'static str {
        "list all entries"
    }

    fn run<'a>(&'a self, cx: &'a Context, _matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let entries = cx.client().entries().await?;
            Ok(Output::table(HEAD, &entries, row))
        })
    }
}
