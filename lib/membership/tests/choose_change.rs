//! Voters that answer but take no entries.

use std::collections::BTreeMap;

use tarragon_agreement::{MemberStatus, Role};
use tarragon_membership::{GroupState, MemberChange, choose_change};
use tarragon_names::{HostName, LogIndex, MemberId, Millis};
use yare::parameterized;

/// Last index of the group.
const NEWEST: u64 = 5_000;

/// Index of a member that lacks too many entries to be up to date.
const OLD: u64 = 100;

/// A member with its last index and the milliseconds since its last answer.
type Row = (Role, u64, Option<u64>);

const LEADER: Row = (Role::Voter, NEWEST, None);
const VOTER: Row = (Role::Voter, NEWEST, Some(10));
const OLD_VOTER: Row = (Role::Voter, OLD, Some(10));
const SILENT_VOTER: Row = (Role::Voter, NEWEST, Some(1_500));
const LOST_VOTER: Row = (Role::Voter, OLD, Some(60_000));
const SPARE: Row = (Role::Learner, NEWEST, Some(10));
const OLD_SPARE: Row = (Role::Learner, OLD, Some(10));
const SILENT_SPARE: Row = (Role::Learner, NEWEST, Some(1_500));

/// Guards against a voter with a full disk that is kept beside a spare; against a change that the other
/// voters could not commit, or that leaves too few of them; and against the promotion of a spare that
/// does not hold the state or whose disk is full too.
#[parameterized(
    none_stalled = { &[LEADER, VOTER, VOTER, SPARE], &[], None },
    one_of_three = { &[LEADER, OLD_VOTER, VOTER, SPARE], &[2], Some((2, 4)) },
    few_entries_lacking = { &[LEADER, VOTER, VOTER, SPARE], &[2], Some((2, 4)) },
    one_of_five = { &[LEADER, OLD_VOTER, VOTER, VOTER, VOTER, SPARE], &[2], Some((2, 6)) },
    two_of_five = { &[LEADER, OLD_VOTER, OLD_VOTER, VOTER, VOTER, SPARE], &[2, 3], Some((2, 6)) },
    three_of_five = { &[LEADER, OLD_VOTER, OLD_VOTER, OLD_VOTER, VOTER, SPARE], &[2, 3, 4], None },
    two_of_three = { &[LEADER, OLD_VOTER, OLD_VOTER, SPARE], &[2, 3], None },
    two_of_three_with_few_entries_lacking = { &[LEADER, VOTER, VOTER, SPARE], &[2, 3], None },
    other_voter_is_silent = { &[LEADER, OLD_VOTER, SILENT_VOTER, SPARE], &[2], None },
    other_voter_is_behind = { &[LEADER, OLD_VOTER, OLD_VOTER, SPARE], &[2], None },
    one_of_two = { &[LEADER, OLD_VOTER, SPARE], &[2], None },
    stalled_voter_is_silent = { &[LEADER, SILENT_VOTER, VOTER, SPARE], &[2], None },
    no_spare = { &[LEADER, OLD_VOTER, VOTER], &[2], None },
    spare_is_behind = { &[LEADER, OLD_VOTER, VOTER, OLD_SPARE], &[2], None },
    spare_is_silent = { &[LEADER, OLD_VOTER, VOTER, SILENT_SPARE], &[2], None },
    spare_is_stalled = { &[LEADER, OLD_VOTER, VOTER, SPARE], &[2, 4], None },
    other_spare_is_stalled = { &[LEADER, OLD_VOTER, VOTER, SPARE, SPARE], &[2, 4], Some((2, 5)) },
    lost_voter_and_stalled_spare = { &[LEADER, LOST_VOTER, VOTER, SPARE], &[4], None },
    lost_voter_and_other_spare = {
        &[LEADER, LOST_VOTER, VOTER, SPARE, SPARE], &[4], Some((2, 5))
    },
    lost_voter_comes_first = {
        &[LEADER, OLD_VOTER, LOST_VOTER, VOTER, VOTER, SPARE], &[2], Some((3, 6))
    },
    only_a_spare_is_stalled = { &[LEADER, VOTER, VOTER, SPARE, SPARE], &[4], None },
)]
fn stalled_voter_is_replaced_only_safely(
    rows: &[Row],
    stalled: &[u64],
    expected: Option<(u64, u64)>,
) {
    let member = |(id, (role, matched, silent_for)): (u64, &Row)| MemberStatus {
        id: MemberId(id),
        host: HostName::from(format!("h{id}")),
        role: *role,
        match_index: Some(LogIndex(*matched)),
        silent_for: silent_for.map(Millis),
    };
    let status = (1..).zip(rows).map(member).collect::<Vec<_>>();
    let group = GroupState {
        status: &status,
        domains: &BTreeMap::new(),
        announced_ids: &BTreeMap::new(),
        target_voters: status.iter().filter(|m| m.role == Role::Voter).count(),
        replace_after: Millis(2_250),
    };
    let stalled = stalled.iter().copied().map(MemberId).collect::<Vec<_>>();
    let expected = expected.map(|(remove, promote)| MemberChange {
        remove: Some(MemberId(remove)),
        promote: MemberId(promote),
    });
    assert_eq!(choose_change(&group, &stalled), expected);
}
