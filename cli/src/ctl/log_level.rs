use getopts::Matches;
use serde_json::json;
use tarragon_codes::Failure;
use tarragon_settings::LogLevel as Level;

use super::{
    Context, Output, Subcommand,
    context::{operand, parsed},
    subcommand::Run,
};

/// Changes the log level of each given host.
pub(super) struct LogLevel;

impl Subcommand for LogLevel {
    fn words(&self) -> &'static str {
        "log-level"
    }

    fn operands(&self) -> &'static str {
        "error|warning|info|debug"
    }

    fn about(&self) -> &'static str {
        "set the log level of every given host"
    }

    fn run<'a>(&'a self, cx: &'a Context, matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let level: Level = parsed(operand(matches, "level")?, "level")?;
            for &host in cx.client().hosts() {
                let call = cx.client().with_host(host);
                call.set_log_level(&level.to_string())
                    .await
                    .map_err(|f| Failure {
                        cause: format!("{host}: {}", f.cause),
                        ..f
                    })?;
            }
            Ok(Output::new(
                format!("log level is {level}"),
                &json!({"level": level.to_string()}),
            ))
        })
    }
}
