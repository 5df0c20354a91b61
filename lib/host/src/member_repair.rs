use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::FutureExt;
use tarragon_membership::choose_replacement;
use tarragon_telemetry::Event;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::HostCore;

/// Time between two looks at the members.
const LOOK: Duration = Duration::from_millis(2_000);

/// Replaces voters that have been lost for long, while this host leads.
pub(crate) async fn repair_members(core: Arc<HostCore>, stop: CancellationToken) {
    let Some(leader) = &core.leader else { return };
    let hosts = core.cfg.hosts.iter();
    let domains = hosts
        .map(|host| (host.name.clone(), host.domain.clone()))
        .collect::<BTreeMap<_, _>>();
    let mut due = interval(LOOK);
    while stop.run_until_cancelled(due.tick()).await.is_some() {
        let Ok(status) = leader.member_status().await else {
            continue;
        };
        let after = core.cfg.timing.replace_after;
        let Some((lost, learner)) = choose_replacement(&status, &domains, after) else {
            continue;
        };
        let event = Event::warning("replacing_voter");
        core.events
            .emit(&event.detail(format!("member {lost} by {learner}")));
        let replaced = leader.replace_member(lost, learner, LOOK).boxed().await;
        if replaced.is_ok() {
            core.events
                .emit(&Event::info("voter_replaced").detail(format!("{lost} by {learner}")));
        }
    }
}
