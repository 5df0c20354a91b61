use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use tarragon_names::HostName;
use tarragon_settings::HostSettings;
use tarragon_telemetry::Metrics;

use crate::{ControlClients, LinkMeter};

/// Time limit for the question to each host.
const LIMIT: Duration = Duration::from_millis(1_000);

/// Asks all other hosts for the leader of the cell.
pub async fn find_leader(cfg: &HostSettings) -> Option<HostName> {
    let meter = LinkMeter::new(cfg.name.clone(), &cfg.domain, [], &Metrics::new());
    let clients = ControlClients::new(cfg, Arc::new(meter));
    let others = cfg.hosts.iter().filter(|host| host.name != cfg.name);
    let asked = others.map(|host| {
        clients.call(&host.name, LIMIT, |client, cx| async move {
            client.leader(cx).await
        })
    });
    join_all(asked)
        .await
        .into_iter()
        .flatten()
        .flatten()
        .map(|(_, leader)| leader)
        .next()
}
