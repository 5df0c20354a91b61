//! Voters whose disks refuse writes for want of room.

use bytes::Bytes;
use tarragon_agreement::Event;
use yare::parameterized;

use crate::fakes::Cluster;

/// Time in which a group of healthy voters has a leader, in milliseconds.
const ELECTION_MS: u64 = 10_000;

/// A group of three with a leader.
struct Group {
    cluster: Cluster,
    leader: String,
    followers: Vec<String>,
}

impl Group {
    fn new() -> Self {
        let mut cluster = Cluster::new(3, 0, 7);
        cluster.run(5_000);
        let leader = cluster.leader().expect("a leader");
        let names = cluster.hosts.iter().map(|h| h.name.clone());
        let followers = names.filter(|name| *name != leader).collect();
        Self {
            cluster,
            leader,
            followers,
        }
    }

    fn fill(&mut self, names: &[String]) {
        for name in names {
            self.cluster.host(name).disk.is_full = true;
        }
    }

    fn free(&mut self) {
        for host in &mut self.cluster.hosts {
            host.disk.is_full = false;
        }
    }

    /// Sends a request to the leader and returns whether it was refused.
    fn is_refused(&mut self, request: impl FnOnce(u64) -> Event) -> bool {
        let leader = self.cluster.leader().expect("a leader");
        let token = self.cluster.next_token();
        self.cluster.step(&leader, request(token));
        let answers = &self.cluster.host(&leader).answers;
        answers.contains(&(token, None))
    }

    fn propose(&mut self) -> bool {
        self.is_refused(|token| Event::Propose {
            token,
            records: vec![Bytes::from(token.to_string())],
        })
    }

    fn read(&mut self) -> bool {
        let leader = self.cluster.leader().expect("a leader");
        let token = self.cluster.next_token();
        self.cluster.step(&leader, Event::Read { token });
        let answers = &self.cluster.host(&leader).answers;
        answers.iter().any(|(t, i)| *t == token && i.is_some())
    }
}

/// Guards against a leader that keeps the lead although it can write nothing and others can, and
/// against one that gives it up where no other can write either.
#[parameterized(
    leader = { true, 0, true },
    leader_and_one_follower = { true, 1, false },
    one_follower = { false, 1, false },
    both_followers = { false, 2, false },
    all = { true, 2, false },
)]
fn leader_with_a_full_disk_hands_over_if_others_can_write(
    is_leader_full: bool,
    full_followers: usize,
    hands_over: bool,
) {
    let mut group = Group::new();
    let mut full = group.followers[..full_followers].to_vec();
    full.extend(is_leader_full.then(|| group.leader.clone()));
    group.fill(&full);
    assert!(!group.propose(), "the disk is not known to be full yet");
    group.cluster.run(ELECTION_MS);
    let leader = group.cluster.leader().expect("a leader");
    assert_eq!(leader != group.leader, hands_over);
    assert!(group.read(), "reads need no write");
    let commits = group.cluster.committed_index();
    let is_refused = group.propose();
    group.cluster.run(ELECTION_MS);
    let has_majority = full.len() < 2;
    assert_eq!(group.cluster.committed_index() > commits, has_majority);
    // Refused at once if the leader itself cannot write.
    assert_eq!(is_refused, is_leader_full && !hands_over);
    group.free();
    group.cluster.run(ELECTION_MS);
    assert!(!group.propose());
    group.cluster.run(1_000);
    let committed = group.cluster.committed_index();
    for host in &group.cluster.hosts {
        assert_eq!(host.applied_index, committed, "host {}", host.name);
    }
}

/// Guards against a follower with a full disk that starts an election which it cannot win, and then
/// ends the answers to the leader of its term.
#[test]
fn follower_with_a_full_disk_starts_no_election() {
    let mut group = Group::new();
    let full = group.followers[0].clone();
    group.fill(std::slice::from_ref(&full));
    group.propose();
    group.cluster.run(1_000);
    let term = |group: &mut Group| {
        let replica = &group.cluster.host(&full).replica;
        replica.as_ref().expect("it runs").term()
    };
    let before = term(&mut group);
    let leader = group.leader.clone();
    group.cluster.kill(&leader, 0);
    group.cluster.run(ELECTION_MS);
    assert_eq!(term(&mut group), before);
}

/// Guards against a follower that keeps all entries in memory while its disk is full, and against a
/// leader that sends them again with each heartbeat.
#[test]
fn follower_with_a_full_disk_takes_no_further_entries() {
    let mut group = Group::new();
    let full = group.followers[0].clone();
    group.fill(std::slice::from_ref(&full));
    group.propose();
    group.cluster.run(1_000);
    let last = |group: &mut Group| {
        let replica = &group.cluster.host(&full).replica;
        replica.as_ref().expect("it runs").last_index()
    };
    let before = last(&mut group);
    for _ in 0..100 {
        group.propose();
        group.cluster.run(20);
    }
    assert_eq!(last(&mut group), before);
    group.free();
    group.cluster.run(ELECTION_MS);
    let committed = group.cluster.committed_index();
    assert_eq!(last(&mut group), committed);
}
