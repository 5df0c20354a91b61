//! Tests of the indexes that a follower acknowledges to its leader.

use bytes::Bytes;
use tarragon_agreement::{
    Action, Config, Entry, Event, Members, Payload, PeerMsg, Replica, SnapshotMeta,
};
use tarragon_names::{LogIndex, MemberId, Millis, Term};

use crate::fakes::Cluster;

/// A follower in a group of three; term and vote are synced without delay.
struct Follower {
    replica: Replica,
}

impl Follower {
    fn new() -> Self {
        let recovered = Cluster::new(3, 0, 7).host("a").disk.durable.clone();
        let replica = Replica::new(Config::default(), recovered, 1);
        Self { replica }
    }

    /// Processes an event and returns the index of the last acknowledgement sent.
    fn acknowledged(&mut self, event: Event) -> Option<u64> {
        let mut index = None;
        for action in self.replica.step(Millis(10), event) {
            match action {
                Action::SaveVote { term, voted_for } => {
                    index = self.acknowledged(Event::VoteSynced { term, voted_for });
                }
                Action::Send {
                    msg: PeerMsg::AppendReply { index: i, .. },
                    ..
                } => index = Some(i.0),
                _ => {}
            }
        }
        index
    }

    /// Receives entries of the given term, starting at index 1.
    fn append(&mut self, term: u64, payloads: Vec<Payload>) -> Option<u64> {
        let entry = |(at, payload)| Entry {
            term: Term(term),
            index: LogIndex(at),
            payload,
        };
        let msg = PeerMsg::Append {
            term: Term(term),
            prev_index: LogIndex(0),
            prev_term: Term(0),
            entries: (1..).zip(payloads).map(entry).collect(),
            commit: LogIndex(0),
            round: 1,
        };
        let from = MemberId(1 + term);
        self.acknowledged(Event::Receive { from, msg })
    }

    fn synced(&mut self, term: u64, index: u64) -> Option<u64> {
        let (term, index) = (Term(term), LogIndex(index));
        self.acknowledged(Event::Synced { index, term })
    }
}

/// Guards against heartbeat replies that acknowledge entries not yet synced, which a crash would
/// lose.
#[test]
fn only_synced_entries_are_acknowledged() {
    let mut follower = Follower::new();
    assert_eq!(follower.append(1, vec![Payload::Noop]), None);
    // The leader sends the entry again before the disk has synced it.
    assert_eq!(follower.append(1, vec![Payload::Noop]), Some(0));
    assert_eq!(follower.synced(1, 1), Some(1));
}

/// Guards against a sync report for a replaced entry that is counted for its replacement.
#[test]
fn late_sync_of_a_replaced_entry_is_ignored() {
    let mut follower = Follower::new();
    follower.append(1, vec![Payload::Noop]);
    follower.append(2, vec![Payload::Noop]);
    assert_eq!(follower.synced(1, 1), None);
    assert_eq!(follower.synced(2, 1), Some(1));
}

/// Guards against a synced index that stays as it is after the entries up to it are replaced.
#[test]
fn replacement_of_synced_entries_is_not_acknowledged_before_its_sync() {
    let mut follower = Follower::new();
    follower.append(1, vec![Payload::Noop; 3]);
    assert_eq!(follower.synced(1, 3), Some(3));
    follower.append(2, vec![Payload::Noop]);
    assert_eq!(follower.append(2, vec![Payload::Noop]), Some(0));
}

/// Guards against a member list that stays in force after its log entry was replaced.
#[test]
fn replaced_member_list_is_no_longer_in_force() {
    let mut follower = Follower::new();
    let before = follower.replica.members().clone();
    follower.append(1, vec![Payload::Members(Members::default())]);
    assert_eq!(*follower.replica.members(), Members::default());
    follower.append(2, vec![Payload::Noop]);
    assert_eq!(*follower.replica.members(), before);
}

/// Guards against a snapshot that is acknowledged before it is on disk because the entries that it
/// replaced were synced.
#[test]
fn snapshot_is_acknowledged_once_it_is_saved() {
    let mut follower = Follower::new();
    follower.append(1, vec![Payload::Noop; 5]);
    follower.synced(1, 5);
    let meta = SnapshotMeta {
        index: LogIndex(3),
        term: Term(2),
        members: follower.replica.members().clone(),
    };
    let msg = PeerMsg::Snapshot {
        term: Term(2),
        meta: meta.clone(),
        state: Bytes::new(),
    };
    let from = MemberId(3);
    follower.acknowledged(Event::Receive { from, msg });
    assert_eq!(follower.append(2, vec![]), Some(0));
    assert_eq!(
        follower.acknowledged(Event::SnapshotSaved { meta }),
        Some(3)
    );
}

/// Guards against a replica without a vote that names a lost leader for ever, since it never starts an
/// election.
#[test]
fn replica_without_a_vote_stops_to_follow_a_silent_leader() {
    let mut follower = Follower::new();
    follower.append(1, vec![Payload::Members(Members::default())]);
    assert_eq!(follower.replica.leader(), Some(MemberId(2)));
    let election_max = Config::default().election_max;
    follower
        .replica
        .step(Millis(10) + election_max, Event::Tick);
    assert_eq!(follower.replica.leader(), None);
}

/// Host of the replica that forms a group.
fn form_alone() -> Event {
    let host = "a".into();
    Event::FormAlone { host }
}

/// Guards against a bootstrap member that waits for ever for others without a replica.
#[test]
fn replica_that_holds_nothing_forms_the_group_alone() {
    let mut follower = Follower::new();
    let id = follower.replica.id();
    follower.acknowledged(form_alone());
    let voters = follower.replica.members().voters().collect::<Vec<_>>();
    assert_eq!(voters, [id]);
    let election_max = Config::default().election_max;
    let now = Millis(10) + election_max;
    follower.replica.step(now, Event::Tick);
    let (term, voted_for) = (follower.replica.term(), Some(id));
    follower
        .replica
        .step(now, Event::VoteSynced { term, voted_for });
    assert_eq!(follower.replica.leader(), Some(id));
}

/// Guards against a second group beside the one whose entries or leader a replica already knows.
#[test]
fn replica_of_a_group_does_not_form_another_one() {
    let mut follower = Follower::new();
    let before = follower.replica.members().clone();
    assert_eq!(follower.append(1, vec![]), Some(0));
    follower.acknowledged(form_alone());
    assert_eq!(*follower.replica.members(), before);
    follower.append(1, vec![Payload::Noop]);
    let election_max = Config::default().election_max;
    let now = Millis(10) + election_max + election_max;
    follower.replica.step(now, Event::Tick);
    follower.replica.step(now, form_alone());
    assert_eq!(*follower.replica.members(), before);
}
