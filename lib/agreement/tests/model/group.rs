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

const ELECTION: u64 = 3;
const LEASE: u64 = 2;

/// Long enough that a follower which misses the second heartbeat may stand while one that got it
/// is still bound to the leader.
const BEAT: u64 = 2;

/// A fault planted in the surroundings of the replica or in its settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// The vote is reported as synced but not on disk.
    VoteNotSynced,
    /// A replica that lost its disk comes back as the same member.
    OldIdentity,
    /// A leader serves reads without asking for its lease.
    ReadWithoutLease,
    /// The lease outlives the time in which followers refuse votes.
    LongLease,
}

/// What can happen to the group.
#[derive(Clone, Debug)]
pub enum Step {
    /// A replica stands for election, after another told that it would vote for it. The exchange
    /// of pre-votes is one step, since safety does not depend on it.
    Stand {
        id: MemberId,
        voter: MemberId,
        rested: bool,
    },
    Deliver {
        packet: Shared<Packet>,
        again: bool,
        slow_sync: bool,
    },
    Propose(MemberId),
    Sync(MemberId),
    Crash(MemberId),
    LoseDisk(MemberId),
    Beat(MemberId),
    Transfer(MemberId),
    Wait,
}

/// Three replicas.
#[derive(Debug)]
pub struct Group {
    fault: Fault,
    cfg: Config,
    budget: Budget,
    settled: bool,
}

impl Group {
    pub fn new(fault: Fault, budget: Budget) -> Self {
        let lease = if fault == Fault::LongLease {
            ELECTION + 1
        } else {
            LEASE
        };
        let cfg = Config {
            heartbeat_interval: Millis(BEAT),
            // Equal bounds, so that no random number is drawn.
            election_min: Millis(ELECTION),
            election_max: Millis(ELECTION),
            leader_lease: Millis(lease),
            ..Config::default()
        };
        Self {
            fault,
            cfg,
            budget,
            settled: false,
        }
    }

    /// The same, but at the start the first replica leads and the others have answered it.
    pub fn settled(fault: Fault, budget: Budget) -> Self {
        let mut group = Self::new(fault, budget);
        group.settled = true;
        group
    }

    fn boot(&self, state: &mut State, disk: Recovered) {
        let id = disk.id;
        let mut replica = Replica::new(self.cfg.clone(), disk.clone(), 0);
        // The daemon ticks at once, so that the time of the start is known.
        replica.step(Millis(state.now), Event::Tick);
        let node = Node {
            replica: Shared::new(replica),
            disk: Shared::new(disk),
            unsynced: None,
        };
        state.nodes.insert(id, Some(node));
    }

    /// Runs one event and, unless the disk is slow, what its syncs lead to.
    fn run(&self, state: &mut State, id: MemberId, event: Event, slow: bool) -> Option<()> {
        let node = state.nodes.get(&id)?.clone()?;
        let mut replica = Replica::clone(&node.replica);
        let (mut disk, mut reports) = match &node.unsynced {
            Some(unsynced) => (Cow::Owned(unsynced.0.clone()), unsynced.1.clone()),
            None => (Cow::Borrowed(&*node.disk), Vec::new()),
        };
        let slow = slow || node.unsynced.is_some();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in replica.step(Millis(state.now), event) {
                self.carry_out(state, &mut disk, &mut reports, action);
            }
            if !slow && !reports.is_empty() {
                events.push(reports.remove(0));
            }
        }
        let disk = match disk {
            Cow::Owned(written) => Some(written),
            Cow::Borrowed(_) => None,
        };
        settle(state, &node, replica, disk, reports);
        Some(())
    }

    /// Finishes a slow sync.
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

    fn carry_out(
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
                let last = entries.last().expect("appends are not empty");
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
                state.broken = Some("snapshot without compaction");
            }
            _ => {}
        }
    }

    fn stand(&self, state: &mut State, id: MemberId, voter: MemberId) -> Option<()> {
        let before = state.packets.clone();
        self.run(state, id, Event::Tick, false)?;
        let ask = new_packet(state, &before, id, voter)?;
        if !matches!(
            ask.msg,
            PeerMsg::Vote {
                is_pre_vote: true,
                ..
            }
        ) {
            return None;
        }
        state.packets = before.clone();
        self.run(state, voter, receive(&ask), false)?;
        let answer = new_packet(state, &before, voter, id)?;
        state.packets = before;
        self.run(state, id, receive(&answer), false)
    }

    fn reads(&self, replica: &Replica, now: u64) -> bool {
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
            left: self.budget.clone(),
            leaders: BTreeMap::new(),
            committed: Vec::new(),
            broken: None,
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
            self.boot(&mut state, disk);
        }
        if self.settled {
            state = self.first_election(state).expect("a leader");
        }
        vec![state]
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        // The replicas are alike at first, so it does not matter which one stands.
        if state.now == 0 {
            let (id, voter) = (MemberId(1), MemberId(2));
            let rested = true;
            return vec![Step::Stand { id, voter, rested }];
        }
        let mut steps = Vec::new();
        let left = &state.left;
        for packet in &state.packets {
            let mut deliver = |again, slow_sync| {
                let packet = packet.clone();
                steps.push(Step::Deliver {
                    packet,
                    again,
                    slow_sync,
                });
            };
            deliver(false, false);
            if left.repeats > 0 {
                deliver(true, false);
            }
            if left.slow_syncs > 0 {
                deliver(false, true);
            }
        }
        let running = state.nodes.iter();
        for (id, node) in running.filter_map(|(id, n)| Some((*id, n.as_ref()?))) {
            let leads = node.replica.role() == ReplicaRole::Leader;
            let mut add = |possible: bool, step: Step| {
                if possible {
                    steps.push(step);
                }
            };
            add(node.unsynced.is_some(), Step::Sync(id));
            add(leads && left.proposals > 0, Step::Propose(id));
            add(leads && left.beats > 0, Step::Beat(id));
            add(leads && left.transfers > 0, Step::Transfer(id));
            add(left.crashes > 0, Step::Crash(id));
            add(left.lost_disks > 0, Step::LoseDisk(id));
            for voter in state.nodes.keys().filter(|other| **other != id).copied() {
                for rested in [false, true] {
                    let step = Step::Stand { id, voter, rested };
                    add(!leads && left.stands > 0, step);
                }
            }
        }
        if left.waits > 0 {
            steps.push(Step::Wait);
        }
        steps
    }

    fn apply(&self, state: &State, step: &Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Stand { id, voter, rested } => {
                next.left.stands -= 1;
                next.now += if *rested { ELECTION } else { 0 };
                self.stand(&mut next, *id, *voter)?;
            }
            Step::Deliver {
                packet,
                again,
                slow_sync,
            } => {
                next.left.repeats -= u32::from(*again);
                next.left.slow_syncs -= u32::from(*slow_sync);
                if !again {
                    next.packets.remove(packet);
                }
                self.run(&mut next, packet.to, receive(packet), *slow_sync)?;
            }
            Step::Propose(id) => {
                next.left.proposals -= 1;
                let records = vec![Bytes::from_static(b"record")];
                let event = Event::Propose { token: 0, records };
                self.run(&mut next, *id, event, false)?;
            }
            Step::Sync(id) => self.sync(&mut next, *id)?,
            Step::Crash(id) => {
                next.left.crashes -= 1;
                let disk = Recovered::clone(&state.nodes.get(id)?.as_ref()?.disk);
                self.boot(&mut next, disk);
            }
            Step::LoseDisk(id) => {
                next.left.lost_disks -= 1;
                self.lose_disk(&mut next, *id)?;
            }
            Step::Beat(id) => {
                next.left.beats -= 1;
                next.now += BEAT;
                self.run(&mut next, *id, Event::Tick, false)?;
            }
            Step::Transfer(id) => {
                next.left.transfers -= 1;
                self.run(&mut next, *id, Event::TransferLeadership, false)?;
            }
            Step::Wait => {
                next.left.waits -= 1;
                next.now += 1;
            }
        }
        drop_ignored(&mut next);
        Some(next)
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if let Some(broken) = state.broken {
            return Err(broken.to_owned());
        }
        let newest = state.committed.len() as u64;
        let mut nodes = state.nodes.values().flatten();
        let is_stale =
            |n: &Node| self.reads(&n.replica, state.now) && n.replica.commit_index().0 < newest;
        if nodes.any(is_stale) {
            return Err("stale leased read".to_owned());
        }
        Ok(())
    }
}

impl Group {
    fn first_election(&self, mut state: State) -> Option<State> {
        let (id, voter) = (MemberId(1), MemberId(2));
        state.now = ELECTION;
        self.stand(&mut state, id, voter)?;
        while let Some(packet) = state.packets.pop_first() {
            self.run(&mut state, packet.to, receive(&packet), false)?;
        }
        Some(state)
    }

    fn lose_disk(&self, state: &mut State, id: MemberId) -> Option<()> {
        let disk = Recovered::clone(&state.nodes.get(&id)?.as_ref()?.disk);
        if self.fault == Fault::OldIdentity {
            let snapshot = disk.snapshot;
            let empty = Recovered {
                id,
                snapshot,
                ..Recovered::default()
            };
            self.boot(state, empty);
        } else {
            state.nodes.insert(id, None);
            state.packets.retain(|p| p.to != id);
        }
        Some(())
    }
}

/// Takes over the outcome of an event.
fn settle(
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
            state.broken = Some("two leaders in a term");
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

fn receive(packet: &Packet) -> Event {
    Event::Receive {
        from: packet.from,
        msg: packet.msg.clone(),
    }
}

/// Drops answers that their receiver would ignore now and later, so that fewer states differ.
///
/// A replica never again leads or stands in a term in which it has stopped to.
fn drop_ignored(state: &mut State) {
    let State { nodes, packets, .. } = state;
    packets.retain(|packet| {
        let Some(Some(node)) = nodes.get(&packet.to) else {
            return false;
        };
        let awaited = |term, role| {
            let current = node.replica.term();
            term > current || (term == current && node.replica.role() == role)
        };
        match packet.msg {
            PeerMsg::VoteReply {
                term,
                granted: true,
                ..
            } => awaited(term, ReplicaRole::Candidate),
            PeerMsg::VoteReply {
                term,
                granted: false,
                ..
            } => term > node.replica.term(),
            PeerMsg::AppendReply { term, .. } => awaited(term, ReplicaRole::Leader),
            _ => true,
        }
    });
}

/// The message that a step sent from one replica to another.
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
            Some(_) => state.broken = Some("committed entry changed"),
        }
    }
}
