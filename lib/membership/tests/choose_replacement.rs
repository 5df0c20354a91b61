//! Guards against a replacement that removes a live voter, promotes a learner that lacks entries,
//! or concentrates the voters in one failure domain.

use std::collections::BTreeMap;

use tarragon_agreement::{MemberStatus, Role};
use tarragon_membership::choose_replacement;
use tarragon_names::{DomainName, HostName, LogIndex, MemberId, Millis};
use yare::parameterized;

const REPLACE_AFTER: Millis = Millis(60_000);

/// Host of each member and the host's failure domain; the first member is the leader.
const HOSTS: [(&str, &str); 7] = [
    ("z1", "zilina"),
    ("z2", "zilina"),
    ("b1", "banska"),
    ("b2", "banska"),
    ("m1", "martin"),
    ("m2", "martin"),
    ("z3", "zilina"),
];

fn domains() -> BTreeMap<HostName, DomainName> {
    HOSTS
        .iter()
        .map(|(host, domain)| ((*host).into(), (*domain).into()))
        .collect()
}

/// Returns five voters and two learners with the given milliseconds since the last answer and last
/// matching index.
fn status(silent_ms: [Option<u64>; 7], match_index: [u64; 7]) -> Vec<MemberStatus> {
    let member = |n: usize| MemberStatus {
        id: MemberId(n as u64 + 1),
        host: HOSTS[n].0.into(),
        role: if n < 5 { Role::Voter } else { Role::Learner },
        match_index: Some(LogIndex(match_index[n])),
        silent_for: silent_ms[n].map(Millis),
    };
    (0..7).map(member).collect()
}

const ALL_MATCH: [u64; 7] = [5_000; 7];
const ALL_ANSWER: [Option<u64>; 7] = [
    None,
    Some(10),
    Some(10),
    Some(10),
    Some(10),
    Some(10),
    Some(10),
];

fn with<T>(values: [T; 7], n: usize, value: T) -> [T; 7] {
    let mut values = values;
    values[n] = value;
    values
}

#[parameterized(
    no_replacement_without_a_lost_voter = { status(ALL_ANSWER, ALL_MATCH), None },
    no_replacement_before_replace_after = {
        status(with(ALL_ANSWER, 1, Some(59_999)), ALL_MATCH), None
    },
    learner_in_the_emptiest_domain_is_chosen = {
        status(with(ALL_ANSWER, 2, Some(60_000)), ALL_MATCH), Some((3, 6))
    },
    silent_learner_is_not_chosen = {
        status(with(with(ALL_ANSWER, 4, Some(70_000)), 5, Some(70_000)), ALL_MATCH), Some((5, 7))
    },
    learner_that_lacks_entries_is_not_chosen = {
        status(with(ALL_ANSWER, 4, Some(70_000)), with(ALL_MATCH, 5, 100)), Some((5, 7))
    },
    no_replacement_without_an_up_to_date_learner = {
        status(with(ALL_ANSWER, 4, Some(70_000)), with(with(ALL_MATCH, 5, 100), 6, 100)), None
    },
    voter_silent_for_longest_is_replaced_first = {
        status(with(with(ALL_ANSWER, 2, Some(70_000)), 3, Some(90_000)), ALL_MATCH), Some((4, 6))
    },
)]
fn replacement_is_chosen(status: Vec<MemberStatus>, expected: Option<(u64, u64)>) {
    let chosen = choose_replacement(&status, &domains(), REPLACE_AFTER);
    assert_eq!(chosen.map(|(lost, learner)| (lost.0, learner.0)), expected);
}
