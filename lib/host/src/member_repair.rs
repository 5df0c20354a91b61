use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::FutureExt;
use tarragon_membership::choose_replacement;
use tarragon_telemetry::Event;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::HostCore;

/// Interval between checks of the members; also the timeout of a replacement.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(2_000);

/// Replaces voters that have been lost for `replace_after`, while this host leads.
pub(crate) async fn repair_members(core: Arc<HostCore>, stop: CancellationToken) {
    let Some(leader) = &core.local_leader else {
        return;
    };
    let hosts = core.cfg.hosts.iter();
    let domains = hosts
        .map(|host| (host.name.clone(), host.domain.clone()))
        .collect::<BTreeMap<_, _>>();
    let mut due = interval(MEMBER_CHECK_INTERVAL);
    while stop.run_until_cancelled(due.tick()).await.is_some() {
        let Ok(status) = leader.member_status().await else {
            continue;
        };
        let replace_after = core.cfg.timing.replace_after;
        let Some((lost, learner)) = choose_replacement(&status, &domains, replace_after) else {
            continue;
        };
        let event = Event::warning("replacing_voter");
        core.events
            .emit(&event.detail(format!("member {lost} by {learner}")));
        let replaced = leader
            .replace_member(lost, learner, MEMBER_CHECK_INTERVAL)
            .boxed()
            .await;
        if replaced.is_ok() {
            core.events
                .emit(&Event::info("voter_replaced").detail(format!("{lost} by {learner}")));
        }
    }
}
