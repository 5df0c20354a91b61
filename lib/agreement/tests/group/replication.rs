//! Elections, replication, leases and member changes without faults.

use crate::fakes::Cluster;
use bytes::Bytes;
use tarragon_agreement::{Action, Config, Entry, Event, Payload, PeerMsg, Replica, Role};
use tarragon_names::{LogIndex, MemberId, Millis, Term};
use yare::parameterized;

/// Guards against a group that elects no leader or loses records although nothing fails.
#[parameterized(
    one = { 1, 0 },
    three = { 3, 0 },
    five_and_a_learner = { 5, 1 },
)]
fn records_reach_every_host(voters: usize, learners: usize) {
    let mut cluster = Cluster::new(voters, learners, 7);
    cluster.run(5_000);
    let leader = cluster.leader().expect("a leader");
    for i in 0..100_u64 {
        let token = cluster.next_token();
        let records = vec![Bytes::from(i.to_string())];
        cluster.step(&leader, Event::Propose { token, records });
        cluster.run(5);
    }
    cluster.run(500);
    for host in &cluster.hosts {
        assert_eq!(
            host.applied.len(),
            100,
            "records applied on host {}",
            host.name
        );
    }
}

/// Guards against a leader that never obtains its lease, so that reads wait forever.
#[test]
fn leader_with_a_lease_answers_reads() {
    let mut cluster = Cluster::new(3, 0, 7);
    cluster.run(5_000);
    let leader = cluster.leader().expect("a leader");
    let token = cluster.next_token();
    cluster.step(&leader, Event::Read { token });
    let answers = &cluster.host(&leader).answers;
    assert!(
        answers
            .iter()
            .any(|(t, index)| *t == token && index.is_some())
    );
}

/// Guards against a leader that commits an entry of an earlier term as soon as a majority holds it.
/// A later leader could still replace such an entry.
#[test]
fn entry_of_an_earlier_term_commits_only_with_one_of_the_current_term() {
    let earlier_entry = Entry {
        term: Term(1),
        index: LogIndex(1),
        payload: Payload::Noop,
    };
    let mut cluster = Cluster::new(3, 0, 7);
    let host = cluster.host("a");
    host.disk.durable.entries = vec![earlier_entry];
    host.disk.durable.term = Term(2);
    let recovered = host.disk.durable.clone();
    let mut replica = Replica::new(Config::default(), recovered, 1);
    let from = MemberId(2);
    let mut step = |ms, event| replica.step(Millis(ms), event);
    step(0, Event::Tick);
    step(3_000, Event::Tick);
    for is_pre_vote in [true, false] {
        let (term, granted) = (Term(3), true);
        let msg = PeerMsg::VoteReply {
            term,
            granted,
            is_pre_vote,
        };
        step(3_000, Event::Receive { from, msg });
        let voted_for = Some(MemberId(1));
        step(3_000, Event::VoteSynced { term, voted_for });
    }
    let mut acknowledge = |index| {
        let msg = PeerMsg::AppendReply {
            term: Term(3),
            matched: true,
            index: LogIndex(index),
            round: 1,
        };
        let actions = step(3_010, Event::Receive { from, msg });
        actions
            .into_iter()
            .any(|a| matches!(a, Action::Apply { .. }))
    };
    assert!(
        !acknowledge(1),
        "an entry of an earlier term must not commit by itself"
    );
    assert!(
        !acknowledge(2),
        "the leader's disk has not synced the entry yet"
    );
}

/// Guards against two concurrent member changes, whose majorities need not share a member.
#[test]
fn second_member_change_is_refused() {
    let mut cluster = Cluster::new(3, 2, 7);
    cluster.run(5_000);
    let leader = cluster.leader().expect("a leader");
    let mut answers = Vec::new();
    for learner in [MemberId(4), MemberId(5)] {
        let replica = cluster
            .host(&leader)
            .replica
            .as_ref()
            .expect("the host's process is running");
        let mut members = replica.members().clone();
        members.by_id.get_mut(&learner).expect("a member").role = Role::Voter;
        let token = cluster.next_token();
        cluster.step(&leader, Event::ChangeMembers { token, members });
        answers.push(token);
    }
    cluster.run(1_000);
    let all = &cluster.host(&leader).answers;
    let outcome = |token: &u64| {
        all.iter()
            .find(|(t, _)| t == token)
            .map(|(_, i)| i.is_some())
    };
    let outcomes: Vec<_> = answers.iter().map(outcome).collect();
    assert_eq!(outcomes, [Some(true), Some(false)]);
}
