use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet},
};

use bytes::Bytes;
use tarragon_agreement::{
    Action, Config, Entry, Event, Member, Members, PeerMsg, Recovered, Replica, ReplicaRole, Role,
    SnapshotMeta,
};
use tarragon_explore::Model;
use tarragon_names::{HostName, LogIndex, MemberId, Millis};

use crate::{
    shared::Shared,
    state::{Budget, Node, Packet, State},
};

/// Election timeout in milliseconds of the model.
const ELECTION_TIMEOUT: u64 = 3;
/// Lease in milliseconds of the model, shorter than the election timeout.
const LEADER_LEASE: u64 = 2;

/// Heartbeat interval in milliseconds of the model, long enough that a follower that misses the
/// second heartbeat may start an election while a follower that received it still refuses votes.
const HEARTBEAT_INTERVAL: u64 = 2;

/// A fault injected into the environment of the replicas or into their settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// The vote is reported as synced but is not on disk.
    VoteNotSynced,
    /// A replica that lost its disk restarts with the same identity.
    ReusedIdentity,
    /// A leader serves reads without checking its lease.
    ReadWithoutLease,
    /// The lease is longer than the time for which followers refuse votes.
    LongLease,
}

/// One transition of the model.
#[derive(Clone, Debug)]
pub enum Step {
    /// A replica starts an election after `voter` grants a pre-vote. The exchange of pre-votes is
    /// one step, because safety does not depend on pre-votes.
    StartElection {
        id: MemberId,
        voter: MemberId,
        /// Whether an election timeout passes first.
        after_timeout: bool,
    },
    Deliver {
        packet: Shared<Packet>,
        /// Whether a copy of the message stays in transit.
        keeps_copy: bool,
        /// Whether the resulting writes stay unsynced until `Step::Sync`.
        slow_sync: bool,
    },
    Propose(MemberId),
    Sync(MemberId),
    Crash(MemberId),
    /// A replica loses its disk. It restarts as the same member only with `Fault::ReusedIdentity`.
    LoseDisk(MemberId),
    /// The heartbeat interval passes and a leader ticks.
    Heartbeat(MemberId),
    Transfer(MemberId),
    /// One millisecond passes without an event.
    Wait,
}

/// Model of a group of three replicas.
#[derive(Debug)]
pub struct Group {
    fault: Fault,
    cfg: Config,
    budget: Budget,
    has_leader: bool,
}

impl Group {
    pub fn new(fault: Fault, budget: Budget) -> Self {
        let lease = if fault == Fault::LongLease {
            ELECTION_TIMEOUT + 1
        } else {
            LEADER_LEASE
        };
        let cfg = Config {
            heartbeat_interval: Millis(HEARTBEAT_INTERVAL),
            // Equal bounds make the timeout deterministic.
            election_min: Millis(ELECTION_TIMEOUT),
            election_max: Millis(ELECTION_TIMEOUT),
            leader_lease: Millis(lease),
            ..Config::default()
        };
        Self {
            fault,
            cfg,
            budget,
            has_leader: false,
        }
    }

    /// Like `new`, but the first replica starts as the leader, with answers from the others.
    pub fn with_leader(fault: Fault, budget: Budget) -> Self {
        let mut group = Self::new(fault, budget);
        group.has_leader = true;
        group
    }

    fn start_replica(&self, state: &mut State, disk: Recovered) {
        let id = disk.id;
        let mut replica = Replica::new(self.cfg.clone(), disk.clone(), 0);
        // Like the daemon, send a tick first to set the start time.
        replica.step(Millis(state.now), Event::Tick);
        let node = Node {
            replica: Shared::new(replica),
            disk: Shared::new(disk),
            unsynced: None,
        };
        state.nodes.insert(id, Some(node));
    }

    /// Processes one event and, unless the disk is slow, the events that report the syncs.
    fn run(&self, state: &mut State, id: MemberId, event: Event, slow_sync: bool) -> Option<()> {
        let node = state.nodes.get(&id)?.clone()?;
        let mut replica = Replica::clone(&node.replica);
        let (mut disk, mut reports) = match &node.unsynced {
            Some(unsynced) => (Cow::Owned(unsynced.0.clone()), unsynced.1.clone()),
            None => (Cow::Borrowed(&*node.disk), Vec::new()),
        };
        let slow_sync = slow_sync || node.unsynced.is_some();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in replica.step(Millis(state.now), event) {
                self.execute(state, &mut disk, &mut reports, action);
            }
            if !slow_sync && !reports.is_empty() {
                events.push(reports.remove(0));
            }
        }
        let disk = match disk {
            Cow::Owned(written) => Some(written),
            Cow::Borrowed(_) => None,
        };
        store_result(state, &node, replica, disk, reports);
        Some(())
    }

    /// Completes a slow sync and processes the events that report it.
    fn sync(&self, state: &mut State, id: MemberId) -> Option<()> {
        let node = state.nodes.get(&id)?.clone()?;
        let (disk, reports) = (*node.unsynced.clone()?).clone();
        let (synced, unsynced) = (Shared::new(disk), None);
        let replica = node.replica.clone();
        let node = Node {
            replica,
            disk: synced,
            unsynced,
        };
        state.nodes.insert(id, Some(node));
        for report in reports {
            self.run(state, id, report, false)?;
        }
        Some(())
    }

    fn execute(
        &self,
        state: &mut State,
        disk: &mut Cow<'_, Recovered>,
        reports: &mut Vec<Event>,
        action: Action,
    ) {
        match action {
            Action::Send { to, msg, .. } => {
                let from = disk.id;
                state.packets.insert(Shared::new(Packet { from, to, msg }));
            }
            Action::SaveVote { term, voted_for } => {
                let disk = disk.to_mut();
                if self.fault != Fault::VoteNotSynced {
                    (disk.term, disk.voted_for) = (term, voted_for);
                }
                reports.push(Event::VoteSynced { term, voted_for });
            }
            Action::Append {
                truncate_from,
                entries,
            } => {
                let last = entries.last().expect("an append has at least one entry");
                let (index, term) = (last.index, last.term);
                reports.push(Event::Synced { index, term });
                let disk = disk.to_mut();
                if let Some(from) = truncate_from {
                    disk.entries.retain(|e| e.index < from);
                }
                disk.entries.extend(entries);
            }
            Action::Apply { entries } => apply(state, entries),
            Action::InstallSnapshot { .. } | Action::SendSnapshot { .. } => {
                state.violation = Some("snapshot without compaction");
            }
            _ => {}
        }
    }

    fn start_election(&self, state: &mut State, id: MemberId, voter: MemberId) -> Option<()> {
        let before = state.packets.clone();
        self.run(state, id, Event::Tick, false)?;
        let vote_request = new_packet(state, &before, id, voter)?;
        if !matches!(
            vote_request.msg,
            PeerMsg::Vote {
                is_pre_vote: true,
                ..
            }
        ) {
            return None;
        }
        state.packets = before.clone();
        self.run(state, voter, receive_event(&vote_request), false)?;
        let answer = new_packet(state, &before, voter, id)?;
        state.packets = before;
        self.run(state, id, receive_event(&answer), false)
    }

    fn serves_reads(&self, replica: &Replica, now: u64) -> bool {
        if self.fault == Fault::ReadWithoutLease {
            return replica.role() == ReplicaRole::Leader && replica.commit_index() > LogIndex(0);
        }
        replica.lease_valid(Millis(now))
    }
}

impl Model for Group {
    type State = State;
    type Step = Step;

    fn initial(&self) -> Vec<State> {
        let member = |id: u64| {
            let host = HostName::from(id.to_string());
            (
                MemberId(id),
                Member {
                    host,
                    role: Role::Voter,
                },
            )
        };
        let members = Members {
            by_id: (1..=3).map(member).collect(),
        };
        let mut state = State {
            now: 0,
            nodes: BTreeMap::new(),
            packets: BTreeSet::new(),
            remaining: self.budget.clone(),
            leaders: BTreeMap::new(),
            committed: Vec::new(),
            violation: None,
        };
        for id in members.by_id.keys() {
            let meta = SnapshotMeta {
                members: members.clone(),
                ..SnapshotMeta::default()
            };
            let disk = Recovered {
                id: *id,
                snapshot: Some((meta, Bytes::new())),
                ..Recovered::default()
            };
            self.start_replica(&mut state, disk);
        }
        if self.has_leader {
            state = self.first_election(state).expect("a leader");
        }
        vec![state]
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        // All replicas start in the same state, so the first candidate can be chosen freely.
        if state.now == 0 {
            let (id, voter) = (MemberId(1), MemberId(2));
            let after_timeout = true;
            return vec![Step::StartElection {
                id,
                voter,
                after_timeout,
            }];
        }
        let mut steps = Vec::new();
        let remaining = &state.remaining;
        for packet in &state.packets {
            let mut deliver = |keeps_copy, slow_sync| {
                let packet = packet.clone();
                steps.push(Step::Deliver {
                    packet,
                    keeps_copy,
                    slow_sync,
                });
            };
            deliver(false, false);
            if remaining.duplicates > 0 {
                deliver(true, false);
            }
            if remaining.slow_syncs > 0 {
                deliver(false, true);
            }
        }
        let running = state.nodes.iter();
        for (id, node) in running.filter_map(|(id, n)| Some((*id, n.as_ref()?))) {
            let is_leader = node.replica.role() == ReplicaRole::Leader;
            let mut add = |is_possible: bool, step: Step| {
                if is_possible {
                    steps.push(step);
                }
            };
            add(node.unsynced.is_some(), Step::Sync(id));
            add(is_leader && remaining.proposals > 0, Step::Propose(id));
            add(is_leader && remaining.heartbeats > 0, Step::Heartbeat(id));
            add(is_leader && remaining.transfers > 0, Step::Transfer(id));
            add(remaining.crashes > 0, Step::Crash(id));
            add(remaining.lost_disks > 0, Step::LoseDisk(id));
            for voter in state.nodes.keys().filter(|other| **other != id).copied() {
                for after_timeout in [false, true] {
                    let step = Step::StartElection {
                        id,
                        voter,
                        after_timeout,
                    };
                    add(!is_leader && remaining.elections > 0, step);
                }
            }
        }
        if remaining.waits > 0 {
            steps.push(Step::Wait);
        }
        steps
    }

    fn apply(&self, state: &State, step: &Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::StartElection {
                id,
                voter,
                after_timeout,
            } => {
                next.remaining.elections -= 1;
                next.now += if *after_timeout { ELECTION_TIMEOUT } else { 0 };
                self.start_election(&mut next, *id, *voter)?;
            }
            Step::Deliver {
                packet,
                keeps_copy,
                slow_sync,
            } => {
                next.remaining.duplicates -= u32::from(*keeps_copy);
                next.remaining.slow_syncs -= u32::from(*slow_sync);
                if !keeps_copy {
                    next.packets.remove(packet);
                }
                self.run(&mut next, packet.to, receive_event(packet), *slow_sync)?;
            }
            Step::Propose(id) => {
                next.remaining.proposals -= 1;
                let records = vec![Bytes::from_static(b"record")];
                let event = Event::Propose { token: 0, records };
                self.run(&mut next, *id, event, false)?;
            }
            Step::Sync(id) => self.sync(&mut next, *id)?,
            Step::Crash(id) => {
                next.remaining.crashes -= 1;
                let disk = Recovered::clone(&state.nodes.get(id)?.as_ref()?.disk);
                self.start_replica(&mut next, disk);
            }
            Step::LoseDisk(id) => {
                next.remaining.lost_disks -= 1;
                self.lose_disk(&mut next, *id)?;
            }
            Step::Heartbeat(id) => {
                next.remaining.heartbeats -= 1;
                next.now += HEARTBEAT_INTERVAL;
                self.run(&mut next, *id, Event::Tick, false)?;
            }
            Step::Transfer(id) => {
                next.remaining.transfers -= 1;
                self.run(&mut next, *id, Event::TransferLeadership, false)?;
            }
            Step::Wait => {
                next.remaining.waits -= 1;
                next.now += 1;
            }
        }
        drop_ignored(&mut next);
        Some(next)
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if let Some(violation) = state.violation {
            return Err(violation.to_owned());
        }
        let newest = state.committed.len() as u64;
        let mut nodes = state.nodes.values().flatten();
        let is_stale = |n: &Node| {
            self.serves_reads(&n.replica, state.now) && n.replica.commit_index().0 < newest
        };
        if nodes.any(is_stale) {
            return Err("stale leased read".to_owned());
        }
        Ok(())
    }
}

impl Group {
    fn first_election(&self, mut state: State) -> Option<State> {
        let (id, voter) = (MemberId(1), MemberId(2));
        state.now = ELECTION_TIMEOUT;
        self.start_election(&mut state, id, voter)?;
        while let Some(packet) = state.packets.pop_first() {
            self.run(&mut state, packet.to, receive_event(&packet), false)?;
        }
        Some(state)
    }

    fn lose_disk(&self, state: &mut State, id: MemberId) -> Option<()> {
        let disk = Recovered::clone(&state.nodes.get(&id)?.as_ref()?.disk);
        if self.fault == Fault::ReusedIdentity {
            let snapshot = disk.snapshot;
            let empty = Recovered {
                id,
                snapshot,
                ..Recovered::default()
            };
            self.start_replica(state, empty);
        } else {
            state.nodes.insert(id, None);
            state.packets.retain(|p| p.to != id);
        }
        Some(())
    }
}

/// Stores the replica and disk after an event, and checks that each term has one leader.
fn store_result(
    state: &mut State,
    before: &Node,
    replica: Replica,
    written: Option<Recovered>,
    reports: Vec<Event>,
) {
    let id = replica.id();
    if replica.role() == ReplicaRole::Leader {
        let known = *state.leaders.entry(replica.term()).or_insert(id);
        if known != id {
            state.violation = Some("two leaders in a term");
        }
    }
    let mut node = Node {
        replica: Shared::new(replica),
        disk: before.disk.clone(),
        unsynced: None,
    };
    if let Some(disk) = written {
        if reports.is_empty() {
            node.disk = Shared::new(disk);
        } else {
            node.unsynced = Some(Shared::new((disk, reports)));
        }
    }
    state.nodes.insert(id, Some(node));
}

fn receive_event(packet: &Packet) -> Event {
    Event::Receive {
        from: packet.from,
        msg: packet.msg.clone(),
    }
}

/// Drops replies that their receiver would ignore now and later, to reduce the number of states.
///
/// A replica that stops being leader or candidate in a term does not return to that role in the
/// same term.
fn drop_ignored(state: &mut State) {
    let State { nodes, packets, .. } = state;
    packets.retain(|packet| {
        let Some(Some(node)) = nodes.get(&packet.to) else {
            return false;
        };
        let is_awaited = |term, role| {
            let current = node.replica.term();
            term > current || (term == current && node.replica.role() == role)
        };
        match packet.msg {
            PeerMsg::VoteReply {
                term,
                granted: true,
                ..
            } => is_awaited(term, ReplicaRole::Candidate),
            PeerMsg::VoteReply {
                term,
                granted: false,
                ..
            } => term > node.replica.term(),
            PeerMsg::AppendReply { term, .. } => is_awaited(term, ReplicaRole::Leader),
            _ => true,
        }
    });
}

/// Returns a message from one replica to another that is not in `before`.
fn new_packet(
    state: &State,
    before: &BTreeSet<Shared<Packet>>,
    from: MemberId,
    to: MemberId,
) -> Option<Shared<Packet>> {
    let mut new = state.packets.difference(before);
    new.find(|p| (p.from, p.to) == (from, to)).cloned()
}

fn apply(state: &mut State, entries: Vec<Entry>) {
    for entry in entries {
        let position = entry.index.0 as usize - 1;
        let entry = Shared::new(entry);
        match state.committed.get(position) {
            None => state.committed.push(entry),
            Some(known) if *known == entry => {}
            Some(_) => state.violation = Some("committed entry changed"),
        }
    }
}
