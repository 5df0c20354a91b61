use std::collections::BTreeMap;

use tarragon_agreement::{MemberStatus, Role};
use tarragon_names::{DomainName, HostName, MemberId, Millis};

use crate::{
    MemberChange, choose_replacement,
    replacement::{answers, is_promotable, newest_match_index},
};

/// State of the replica group, as known to the leader.
#[derive(Clone, Debug)]
pub struct GroupState<'a> {
    /// State of the listed members.
    pub status: &'a [MemberStatus],
    /// Failure domain of each host; hosts that are not in the map count as one domain.
    pub domains: &'a BTreeMap<HostName, DomainName>,
    /// Identity that each host last announced.
    pub announced_ids: &'a BTreeMap<HostName, MemberId>,
    /// Number of voters that the group should have.
    pub target_voters: usize,
    /// Time without an answer after which a voter is replaced.
    pub replace_after: Millis,
}

/// Returns the next change that the group needs, or `None` if it needs none or no learner can be
/// promoted.
///
/// A voter whose host announced another identity has lost its disk and is replaced once it no longer
/// answers; an announcement may be older than the voter. Any other voter that does not answer is
/// replaced after `replace_after`. Voters are added while there are fewer than `target_voters`. An
/// addition starts only if enough learners are ready to reach an odd number of voters, because an even
/// number tolerates no more losses than the odd number below it.
pub fn next_change(group: &GroupState<'_>) -> Option<MemberChange> {
    let mut status = group.status.to_vec();
    for member in &mut status {
        let announced = group.announced_ids.get(&member.host);
        let has_other_id = announced.is_some_and(|id| *id != member.id);
        if member.role == Role::Voter && has_other_id && !answers(member) {
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
    let newest = newest_match_index(&status)?;
    let promotable = status.iter().filter(|m| is_promotable(m, newest));
    let promotable = promotable.collect::<Vec<_>>();
    let missing = if voters.is_multiple_of(2) { 1 } else { 2 };
    if voters + missing > group.target_voters || promotable.len() < missing {
        return None;
    }
    let voters_in = |domain: Option<&DomainName>| {
        let in_domain =
            |m: &&MemberStatus| m.role == Role::Voter && group.domains.get(&m.host) == domain;
        status.iter().filter(in_domain).count()
    };
    let promote = promotable
        .iter()
        .min_by_key(|m| (voters_in(group.domains.get(&m.host)), m.id))?;
    Some(MemberChange {
        remove: None,
        promote: promote.id,
    })
}
