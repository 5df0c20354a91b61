//! Tests of what a host knows of the leader.

use tarragon_discovery::{LeaderAnswer, LeaderHint};
use tarragon_names::{HostName, Term};
use yare::parameterized;

fn host(name: &str) -> HostName {
    HostName::from(name)
}

/// Guards against a host that keeps to a deposed leader although another host named its successor, and
/// against one that believes an old message more than its own replica.
#[parameterized(
    heard_of_a_later_term = { 1, 2, "heard" },
    heard_of_the_same_term = { 2, 2, "followed" },
    heard_of_an_earlier_term = { 2, 1, "followed" },
)]
fn later_term_wins(followed: u64, heard: u64, expected: &str) {
    let hint = LeaderHint::default();
    hint.follow(Term(followed), &host("followed"));
    hint.set(Term(heard), &host("heard"));
    assert_eq!(hint.get(), Some(host(expected)));
}

/// Guards against a host that asks for a leader while it knows one, and against one that keeps a leader
/// which no longer answers.
#[parameterized(
    leads = { LeaderAnswer::Leads(Term(3)), Some("asked") },
    elected_and_not_ready = { LeaderAnswer::Knows(Some((Term(3), HostName::from("asked")))), Some("asked") },
    knows_another = { LeaderAnswer::Knows(Some((Term(3), HostName::from("next")))), Some("next") },
    knows_none = { LeaderAnswer::Knows(None), None },
    missing = { LeaderAnswer::Missing, None },
)]
fn answer_of_the_known_leader(answer: LeaderAnswer, expected: Option<&str>) {
    let hint = LeaderHint::default();
    hint.set(Term(2), &host("asked"));
    answer.apply(&host("asked"), &hint);
    assert_eq!(hint.get(), expected.map(host));
}

/// Guards against a host without a leader that takes no notice of the next one: what it heard of the
/// lost one must not outlive its replica's.
#[test]
fn lost_leader_is_forgotten() {
    let hint = LeaderHint::default();
    hint.follow(Term(2), &host("lost"));
    hint.set(Term(2), &host("lost"));
    hint.unfollow();
    assert_eq!(hint.get(), None);
}
