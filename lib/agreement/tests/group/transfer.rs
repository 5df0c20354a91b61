//! Tests of the transfer of the leadership.

use tarragon_agreement::{Action, Config, Event, PeerMsg, Replica};
use tarragon_names::{LogIndex, MemberId, Millis, Term};

use crate::fakes::Cluster;

/// Term of the first leader.
const TERM: Term = Term(1);

/// A replica in a group of three; its disk syncs without delay.
struct Candidate {
    replica: Replica,
    now: Millis,
    /// Another voter.
    peer: MemberId,
}

impl Candidate {
    fn new() -> Self {
        let recovered = Cluster::new(3, 0, 7).host("a").disk.durable.clone();
        let replica = Replica::new(Config::default(), recovered, 1);
        let mut others = replica.members().voters().filter(|id| *id != replica.id());
        let peer = others.next().expect("the group has other voters");
        drop(others);
        Self {
            replica,
            now: Millis(1),
            peer,
        }
    }

    /// Processes an event and what follows from the writes that it causes; returns all actions.
    fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        for action in self.replica.step(self.now, event) {
            let synced = match &action {
                Action::SaveVote { term, voted_for } => Some(Event::VoteSynced {
                    term: *term,
                    voted_for: *voted_for,
                }),
                Action::Append { entries, .. } => entries.last().map(|last| Event::Synced {
                    index: last.index,
                    term: last.term,
                }),
                _ => None,
            };
            actions.push(action);
            if let Some(synced) = synced {
                actions.extend(self.step(synced));
            }
        }
        actions
    }

    fn receive(&mut self, msg: PeerMsg) -> Vec<Action> {
        let from = self.peer;
        self.step(Event::Receive { from, msg })
    }

    /// Wins an election with the vote of the peer, which acknowledges the first entry.
    fn lead(&mut self) {
        self.step(Event::Tick);
        self.now += Config::default().election_max;
        self.step(Event::Tick);
        for is_pre_vote in [true, false] {
            self.receive(PeerMsg::VoteReply {
                term: TERM,
                granted: true,
                is_pre_vote,
            });
        }
        self.receive(PeerMsg::AppendReply {
            term: TERM,
            matched: true,
            index: LogIndex(1),
            round: 1,
        });
        assert!(self.replica.lease_valid(self.now), "leads with a lease");
    }
}

/// Guards against a leader that still answers from its state after it has let another replica be
/// elected: its lease has to end before the message that permits the election is sent.
#[test]
fn lease_ends_before_another_replica_may_be_elected() {
    let mut leader = Candidate::new();
    leader.lead();
    let actions = leader.step(Event::TransferLeadership);
    let lease_end = actions.iter().position(|a| *a == Action::LeaseEnded);
    let is_permission = |action: &Action| {
        matches!(
            action,
            Action::Send {
                msg: PeerMsg::TimeoutNow { .. },
                ..
            }
        )
    };
    let permission = actions.iter().position(is_permission);
    assert!(permission.is_some(), "{actions:?}");
    assert!(lease_end < permission && lease_end.is_some(), "{actions:?}");
}
