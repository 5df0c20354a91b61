//! Guards against a repair that removes a live voter, promotes a learner that lacks the state, or
//! gathers the voters in one failure domain.

use std::collections::BTreeMap;

use tarragon_agreement::{MemberStatus, Role};
use tarragon_membership::choose_replacement;
use tarragon_names::{DomainName, HostName, LogIndex, MemberId, Millis};
use yare::parameterized;

const AFTER: Millis = Millis(60_000);

/// Host of each member and its failure domain; the first is the leader.
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

/// Five voters and two learners with the given silence and last index.
fn status(silent: [Option<u64>; 7], matched: [u64; 7]) -> Vec<MemberStatus> {
    let member = |n: usize| MemberStatus {
        id: MemberId(n as u64 + 1),
        host: HOSTS[n].0.into(),
        role: if n < 5 { Role::Voter } else { Role::Learner },
        match_index: Some(LogIndex(matched[n])),
        silent_for: silent[n].map(Millis),
    };
    (0..7).map(member).collect()
}

const HELD: [u64; 7] = [5_000; 7];
const LIVE: [Option<u64>; 7] = [
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
    nobody_is_lost = { status(LIVE, HELD), None },
    silence_is_short = { status(with(LIVE, 1, Some(59_999)), HELD), None },
    spread_is_kept = { status(with(LIVE, 2, Some(60_000)), HELD), Some((3, 6)) },
    learner_in_the_lost_domain_is_silent = {
        status(with(with(LIVE, 4, Some(70_000)), 5, Some(70_000)), HELD), Some((5, 7))
    },
    learner_lacks_entries = {
        status(with(LIVE, 4, Some(70_000)), with(HELD, 5, 100)), Some((5, 7))
    },
    no_learner_holds_the_state = {
        status(with(LIVE, 4, Some(70_000)), with(with(HELD, 5, 100), 6, 100)), None
    },
    longest_lost_goes_first = {
        status(with(with(LIVE, 2, Some(70_000)), 3, Some(90_000)), HELD), Some((4, 6))
    },
)]
fn replacement(status: Vec<MemberStatus>, expected: Option<(u64, u64)>) {
    let chosen = choose_replacement(&status, &domains(), AFTER);
    assert_eq!(chosen.map(|(lost, learner)| (lost.0, learner.0)), expected);
}
