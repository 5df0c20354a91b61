use futures::future::BoxFuture;
use getopts::{Matches, Options};

use super::{Context, CtlError, Output};

/// Future of the result of a subcommand.
pub(super) type Run<'a> = BoxFuture<'a, Result<Output, CtlError>>;

/// One subcommand of `tarragonctl`.
pub(super) trait Subcommand: Sync {
    /// Words that select it, as in `catalogue put`.
    fn words(&self) -> &'static str;

    /// Operands, as shown in its help.
    fn operands(&self) -> &'static str {
        ""
    }

    /// One line that says what it does.
    fn about(&self) -> &'static str;

    /// Adds its own options.
    fn options(&self, _options: &mut Options) {}

    /// Whether it calls the hosts that `--host` names. One that does not has no options for them.
    fn calls_hosts(&self) -> bool {
        true
    }

    /// Does it.
    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a>;
}
