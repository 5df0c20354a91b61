use getopts::Matches;
use serde_json::json;

use super::{Context, CtlError, Output, Subcommand, subcommand::Run};

/// Tells whether each given host takes callers.
pub(super) struct Ready;

impl Subcommand for Ready {
    fn words(&self) -> &'static str {
        "ready"
    }

    fn about(&self) -> &'static str {
        "tell whether every given host is ready for callers"
    }

    fn run<'a>(&'a self, cx: &'a Context, _matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let mut waiting = Vec::new();
            for &host in cx.client().hosts() {
                if !cx.client().with_host(host).is_ready().await {
                    waiting.push(host.to_string());
                }
            }
            if !waiting.is_empty() {
                return Err(CtlError::NotYet(format!(
                    "not ready: {}",
                    waiting.join(", ")
                )));
            }
            Ok(Output::new("ready", &json!({"ready": true})))
        })
    }
}
