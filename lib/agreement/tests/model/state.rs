use std::collections::{BTreeMap, BTreeSet};

use tarragon_agreement::{Entry, Event, PeerMsg, Recovered, Replica};
use tarragon_names::{MemberId, Term};

use crate::shared::Shared;

/// How many more times each kind of event may happen.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Budget {
    /// Elections that a replica starts.
    pub elections: u32,
    /// Crashes of a process, each followed by a restart from the synced state.
    pub crashes: u32,
    /// Slow syncs, where other events happen between a write and its sync.
    pub slow_syncs: u32,
    /// Lost disks.
    pub lost_disks: u32,
    /// Messages delivered twice.
    pub duplicates: u32,
    /// Records proposed.
    pub proposals: u32,
    /// Requested transfers of leadership.
    pub transfers: u32,
    /// Heartbeat rounds of a leader.
    pub heartbeats: u32,
    /// Units of time that pass without an event.
    pub waits: u32,
}

/// A message in transit; a message that is never delivered counts as lost.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Packet {
    pub from: MemberId,
    pub to: MemberId,
    pub msg: PeerMsg,
}

/// A running replica and the state of its disk.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Node {
    pub replica: Shared<Replica>,
    /// Synced state.
    pub disk: Shared<Recovered>,
    /// State of the disk after the next sync, and the events that report that sync.
    pub unsynced: Option<Shared<(Recovered, Vec<Event>)>>,
}

/// State of the whole group.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    pub now: u64,
    /// `None` after the disk is lost, because the host restarts under an identity that is not a
    /// member.
    pub nodes: BTreeMap<MemberId, Option<Node>>,
    pub packets: BTreeSet<Shared<Packet>>,
    pub remaining: Budget,
    /// Leader of each term so far.
    pub leaders: BTreeMap<Term, MemberId>,
    /// Entries that at least one replica has applied, in log order.
    pub committed: Vec<Shared<Entry>>,
    /// Safety rule that the last step violated.
    pub violation: Option<&'static str>,
}
