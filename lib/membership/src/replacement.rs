use std::collections::BTreeMap;

use tarragon_agreement::{MemberStatus, Role};
use tarragon_names::{DomainName, HostName, LogIndex, MemberId, Millis};

/// Number of entries that a learner may lack and still count as up to date.
const MAX_LEARNER_LAG_ENTRIES: u64 = 1_000;

/// Time since a member's last answer after which it counts as silent: it is not promoted, and its host
/// may hold another replica.
const MAX_MEMBER_SILENCE: Millis = Millis(1_000);

/// Chooses a lost voter and the learner that replaces it; `None` if no voter is lost or no learner
/// can be promoted.
///
/// A voter is lost after `replace_after` without an answer. Of the learners that answer and are up
/// to date, the function chooses one in the failure domain with the fewest voters that answer, so
/// that the voters stay spread over the domains.
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
    let newest = newest_match_index(status)?;
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
        .filter(|member| is_promotable(member, newest))
        .min_by_key(|member| (voters_in(domains.get(&member.host)), member.id))?;
    Some((lost.id, learner.id))
}

/// Returns the highest index known to match on any member.
pub(crate) fn newest_match_index(status: &[MemberStatus]) -> Option<LogIndex> {
    status.iter().filter_map(|member| member.match_index).max()
}

/// Returns whether the member is the leader itself or answered recently.
pub(crate) fn answers(member: &MemberStatus) -> bool {
    member
        .silent_for
        .is_none_or(|silent| silent < MAX_MEMBER_SILENCE)
}

/// Returns whether the member is a learner that answers and is up to date.
pub(crate) fn is_promotable(member: &MemberStatus, newest: LogIndex) -> bool {
    member.role == Role::Learner
        && member
            .silent_for
            .is_some_and(|silent| silent < MAX_MEMBER_SILENCE)
        && is_up_to_date(member, newest)
}

/// Returns whether the member lacks few entries at most.
pub(crate) fn is_up_to_date(member: &MemberStatus, newest: LogIndex) -> bool {
    member
        .match_index
        .is_some_and(|matched| LogIndex(matched.0 + MAX_LEARNER_LAG_ENTRIES) >= newest)
}
