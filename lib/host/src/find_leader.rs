use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use tarragon_names::HostName;
use tarragon_settings::HostSettings;
use tarragon_telemetry::Metrics;

use crate::{ControlClients, LinkMeter};

/// Timeout of the call to each host.
const LEADER_QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Asks all other hosts for the leader of the cell; `None` if no host knows it.
pub async fn find_leader(cfg: &HostSettings) -> Option<HostName> {
    let meter = LinkMeter::new(cfg.name.clone(), &cfg.domain, [], &Metrics::new());
    let clients = ControlClients::new(cfg, Arc::new(meter));
    let others = cfg.hosts.iter().filter(|host| host.name != cfg.name);
    let calls = others.map(|host| {
        clients.call(&host.name, LEADER_QUERY_TIMEOUT, |client, cx| async move {
            client.leader(cx).await
        })
    });
    join_all(calls)
        .await
        .into_iter()
        .flatten()
        .flatten()
        .map(|(_, leader)| leader)
        .next()
}
