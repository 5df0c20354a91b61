//! Voters whose hosts announced another identity than that of the voter.

use std::collections::BTreeMap;

use tarragon_agreement::{MemberStatus, Role};
use tarragon_membership::{GroupState, MemberChange, next_change};
use tarragon_names::{HostName, LogIndex, MemberId, Millis};
use yare::parameterized;

const REPLACE_AFTER: Millis = Millis(60_000);

/// Voter on the host that announces an identity.
const VOTER: MemberId = MemberId(2);

/// Identity of another replica of that host, which is no member.
const OTHER_ID: MemberId = MemberId(20);

const LEARNER: MemberId = MemberId(4);

/// Three voters, of which the first leads, and a learner.
fn status(voter_silent_for: Option<Millis>) -> Vec<MemberStatus> {
    let member = |id: MemberId, role, silent_for| MemberStatus {
        id,
        host: HostName::from(format!("h{}", id.0)),
        role,
        match_index: Some(LogIndex(100)),
        silent_for,
    };
    let recent = Some(Millis(10));
    vec![
        member(MemberId(1), Role::Voter, None),
        member(VOTER, Role::Voter, voter_silent_for),
        member(MemberId(3), Role::Voter, recent),
        member(LEARNER, Role::Learner, recent),
    ]
}

const REPLACED: Option<MemberChange> = Some(MemberChange {
    remove: Some(VOTER),
    promote: LEARNER,
});

/// Guards against the replacement of a live voter because of an announcement that was delayed until its
/// host had got a new disk, and against a host with a new disk whose lost voter stays in the group.
#[parameterized(
    voter_that_answers = { Some(Millis(10)), OTHER_ID, None },
    own_voter = { None, OTHER_ID, None },
    voter_without_answer = { Some(Millis(2_000)), OTHER_ID, REPLACED },
    voter_without_answer_of_the_same_identity = { Some(Millis(2_000)), VOTER, None },
)]
fn announced_identity(
    voter_silent_for: Option<Millis>,
    announced: MemberId,
    expected: Option<MemberChange>,
) {
    let announced_ids = BTreeMap::from([(HostName::from("h2"), announced)]);
    let group = GroupState {
        status: &status(voter_silent_for),
        domains: &BTreeMap::new(),
        announced_ids: &announced_ids,
        target_voters: 3,
        replace_after: REPLACE_AFTER,
    };
    assert_eq!(next_change(&group), expected);
}
