use getopts::Matches;
use tarragon_front::HostView;

use super::{Context, Output, Subcommand, subcommand::Run};

/// Lists the entry hosts.
pub(super) struct Hosts;

impl Subcommand for Hosts {
    fn words(&self) -> &'static str {
        "hosts"
    }

    fn about(&self) -> &'static str {
        "list the entry hosts: who leads, who is behind, who is cut off"
    }

    fn run<'a>(&'a self, cx: &'a Context, _matches: &'a Matches) -> Run<'a> {
        Box::pin(async move {
            let hosts = cx.client().host_views().await?;
            let head = [
                "HOST",
                "DOMAIN",
                "ROLE",
                "MEMBER",
                "TERM",
                "SYNCED",
                "REVISION",
                "REACHABLE",
            ];
            Ok(Output::table(head, &hosts, row))
        })
    }
}

fn row(host: &HostView) -> [String; 8] {
    [
        host.name.to_string(),
        host.domain.to_string(),
        host.role.clone(),
        host.member
            .map_or_else(|| "-".to_owned(), |m| m.to_string()),
        host.term.to_string(),
        host.synced
            .map_or_else(|| "-".to_owned(), |i| i.to_string()),
        host.revision.to_string(),
        host.reachable.to_string(),
    ]
}
