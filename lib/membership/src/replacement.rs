use std::collections::BTreeMap;

use tarragon_agreement::{MemberStatus, Role};
use tarragon_names::{DomainName, HostName, LogIndex, MemberId, Millis};

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
        member.role == Role::Voter
            && member
                .silent_for
                .is_some_and(|silent| silent >= replace_after)
    };
    let lost = status
        .iter()
        .filter(is_lost)
        .max_by_key(|member| member.silent_for)?;
    let newest = newest_index(status)?;
    let voters_in = |domain: Option<&DomainName>| {
        let in_domain = |member: &&MemberStatus| {
            member.role == Role::Voter
                && member.id != lost.id
                && member
                    .silent_for
                    .is_none_or(|silent| silent < replace_after)
                && domains.get(&member.host) == domain
        };
        status.iter().filter(in_domain).count()
    };
    let learner = status
        .iter()
        .filter(|member| is_ready(member, newest))
        .min_by_key(|member| (voters_in(domains.get(&member.host)), member.id))?;
    Some((lost.id, learner.id))
}

/// Last index that some member holds.
pub(crate) fn newest_index(status: &[MemberStatus]) -> Option<LogIndex> {
    status.iter().filter_map(|member| member.match_index).max()
}

/// Tells whether a learner answers and holds the state.
pub(crate) fn is_ready(member: &MemberStatus, newest: LogIndex) -> bool {
    member.role == Role::Learner
        && member.silent_for.is_some_and(|silent| silent < ANSWERS)
        && member
            .match_index
            .is_some_and(|matched| LogIndex(matched.0 + CAUGHT_UP) >= newest)
}
