use std::collections::BTreeMap;

use tarragon_agreement::{MemberStatus, Role};
use tarragon_names::{DomainName, HostName, MemberId, Millis};

use crate::{
    MemberChange, choose_replacement,
    replacement::{is_ready, newest_index},
};

/// What the leader knows of the group.
#[derive(Clone, Debug)]
pub struct GroupState<'a> {
    /// State of the members.
    pub status: &'a [MemberStatus],
    /// Failure domains of the hosts.
    pub domains: &'a BTreeMap<HostName, DomainName>,
    /// Identity under which each host last announced itself.
    pub announced_ids: &'a BTreeMap<HostName, MemberId>,
    /// Voters that the group should have.
    pub target_voters: usize,
    /// Silence after which a voter is replaced.
    pub replace_after: Millis,
}

/// The change that the group needs next, if it needs one.
///
/// A voter whose host has come back under another identity has lost its disk and is replaced at
/// once; one that is silent is replaced after `replace_after`. Voters are added while there are
/// fewer than wanted, always up to an odd number, since an even one tolerates no more losses.
pub fn next_change(group: &GroupState<'_>) -> Option<MemberChange> {
    let mut status = group.status.to_vec();
    for member in &mut status {
        let announced = group.announced_ids.get(&member.host);
        if member.role == Role::Voter && announced.is_some_and(|id| *id != member.id) {
            member.silent_for = Some(Millis(u64::MAX));
        }
    }
    if let Some((lost, learner)) = choose_replacement(&status, group.domains, group.replace_after) {
        return Some(MemberChange {
            remove: Some(lost),
            promote: learner,
        });
    }
    let voters = status.iter().filter(|m| m.role == Role::Voter).count();
    let newest = newest_index(&status)?;
    let ready = status.iter().filter(|m| is_ready(m, newest));
    let ready = ready.collect::<Vec<_>>();
    let missing = if voters.is_multiple_of(2) { 1 } else { 2 };
    if voters + missing > group.target_voters || ready.len() < missing {
        return None;
    }
    let voters_in = |domain: Option<&DomainName>| {
        let in_domain =
            |m: &&MemberStatus| m.role == Role::Voter && group.domains.get(&m.host) == domain;
        status.iter().filter(in_domain).count()
    };
    let promote = ready
        .iter()
        .min_by_key(|m| (voters_in(group.domains.get(&m.host)), m.id))?;
    Some(MemberChange {
        remove: None,
        promote: promote.id,
    })
}
