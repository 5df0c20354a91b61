use getopts::Matches;
use tarragon_catalogue::Pattern;

use crate::ctl::{Context, Output, Subcommand, context::operand, subcommand::Run};

/// Shows one entry.
pub(in crate::ctl) struct Get;

impl Subcommand for Get {
    fn words(&self) -> &'static str {
        "catalogue get"
    }

    fn operands(&self) -> &'static str {
        "PATTERN"
    }

    fn about(&self) -> &'static str {
        "show one entry"
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let pattern = Pattern::from(operand(matches, "pattern")?.to_owned());
            let view = cx.client().entry(&pattern).await?;
            let Some(entry) = &view.entry else {
                return Ok(Output::new(
                    format!("{pattern} was deleted at revision {}", view.revision),
                    &view,
                ));
            };
            let text = toml::to_string(entry).unwrap_or_default();
            let text = format!("# revision {}\n{text}", view.revision);
            Ok(Output::new(text.trim_end(), &view))
        })
    }
}
