//! A member that answers the leader but acknowledges no entries.

use std::sync::Arc;

use tarragon_names::LogIndex;

use crate::{
    disk_store::DiskState,
    group::{Group, TestClock, wait_until},
};

/// Time between two answers of the learner, in milliseconds.
const ANSWER_INTERVAL_MS: u64 = 250;

/// Answers of the learner in a time that is far above the limit of the leader.
const ANSWERS: u64 = 120;

/// Returns whether the metrics state this number of lagging members.
fn states_lagging_members(group: &Group, count: u64) -> bool {
    let line = format!("tarragon_lagging_members {count}");
    group.metrics.render().lines().any(|l| l == line)
}

/// Lets the learner answer for a long time with the entries up to `index`.
fn answer_for_long(group: &Group, clock: &TestClock, index: LogIndex) {
    for _ in 0..ANSWERS {
        clock.advance(ANSWER_INTERVAL_MS);
        group.answer_as_learner(index);
    }
}

/// Guards against a member with a full disk of which the leader says nothing, because the member
/// answers, and against a report that is repeated or never withdrawn.
#[test]
fn leader_reports_a_member_that_answers_but_takes_no_entries() {
    let clock = TestClock::start();
    let group = Group::start_with_learner(&DiskState::new(), Arc::clone(&clock));
    wait_until("the replica leads", || {
        clock.advance(ANSWER_INTERVAL_MS);
        group.metrics.leading.get() == 1
    });
    let first = LogIndex(1);
    answer_for_long(&group, &clock, first);
    assert_eq!(group.add(1), Ok(1));
    group.answer_as_learner(first);
    assert_eq!(group.count("member_lags"), 0);
    answer_for_long(&group, &clock, first);
    wait_until("the lagging member is counted", || {
        states_lagging_members(&group, 1)
    });
    answer_for_long(&group, &clock, first);
    assert_eq!(group.count("member_lags"), 1);
    assert_eq!(group.count("member_caught_up"), 0);
    clock.advance(ANSWER_INTERVAL_MS);
    group.answer_as_learner(LogIndex(2));
    wait_until("the member is not counted any more", || {
        clock.advance(ANSWER_INTERVAL_MS);
        states_lagging_members(&group, 0)
    });
    assert_eq!(group.count("member_lags"), 1);
    assert_eq!(group.count("member_caught_up"), 1);
}
