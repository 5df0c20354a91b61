use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::FutureExt;
use tarragon_agreement::{MemberStatus, Role};
use tarragon_names::{DomainName, HostName, LogIndex, MemberId, Millis};
use tarragon_telemetry::Event;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::HostCore;

/// Time between two looks at the members.
const LOOK: Duration = Duration::from_millis(2_000);

/// Entries that a learner may lack and still count as up to date.
const CAUGHT_UP: u64 = 1_000;

/// Time since its last answer after which a learner is not considered.
const ANSWERS: Millis = Millis(1_000);

/// Chooses a lost voter and the learner to put in its place.
///
/// Of the learners that answer and hold the state, it takes one in the failure domain with the
/// fewest voters that answer, so that the group keeps its spread.
pub fn choose_replacement(
    status: &[MemberStatus],
    domains: &BTreeMap<HostName, DomainName>,
    replace_after: Millis,
) -> Option<(MemberId, MemberId)> {
    let is_lost = |member: &&MemberStatus| {
        member.role == Role::Voter && member.silent.is_some_and(|silent| silent >= replace_after)
    };
    let lost = status
        .iter()
        .filter(is_lost)
        .max_by_key(|member| member.silent)?;
    let newest = status.iter().filter_map(|member| member.matched).max()?;
    let is_ready = |member: &&MemberStatus| {
        member.role == Role::Learner
            && member.silent.is_some_and(|silent| silent < ANSWERS)
            && member
                .matched
                .is_some_and(|matched| LogIndex(matched.0 + CAUGHT_UP) >= newest)
    };
    let voters_in = |domain: Option<&DomainName>| {
        let in_domain = |member: &&MemberStatus| {
            member.role == Role::Voter
                && member.id != lost.id
                && member.silent.is_none_or(|silent| silent < replace_after)
                && domains.get(&member.host) == domain
        };
        status.iter().filter(in_domain).count()
    };
    let learner = status
        .iter()
        .filter(is_ready)
        .min_by_key(|member| (voters_in(domains.get(&member.host)), member.id))?;
    Some((lost.id, learner.id))
}

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
