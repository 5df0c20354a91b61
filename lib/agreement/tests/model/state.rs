use std::collections::{BTreeMap, BTreeSet};

use tarragon_agreement::{Entry, Event, PeerMsg, Recovered, Replica};
use tarragon_names::{MemberId, Term};

use crate::shared::Shared;

/// How often each kind of event may still happen.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Budget {
    /// Elections that a replica begins.
    pub stands: u32,
    /// Ends of a process, each followed by a restart from what is synced.
    pub crashes: u32,
    /// Disks that are slow once, so that other events come between a write and its sync.
    pub slow_syncs: u32,
    /// Disks lost.
    pub lost_disks: u32,
    /// Messages delivered twice.
    pub repeats: u32,
    /// Records proposed.
    pub proposals: u32,
    /// Transfers of leadership asked for.
    pub transfers: u32,
    /// Heartbeat rounds of a leader.
    pub beats: u32,
    /// Units of time during which nothing happens.
    pub waits: u32,
}

/// A message on its way; one that is never delivered is lost.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Packet {
    pub from: MemberId,
    pub to: MemberId,
    pub msg: PeerMsg,
}

/// A running replica and what its disk holds.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Node {
    pub replica: Shared<Replica>,
    /// What is synced.
    pub disk: Shared<Recovered>,
    /// What the disk will hold after the next sync, and the reports that follow it.
    pub unsynced: Option<Shared<(Recovered, Vec<Event>)>>,
}

/// The whole group at one moment.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    pub now: u64,
    /// `None` once the disk is lost: the host comes back under an identity that is no member.
    pub nodes: BTreeMap<MemberId, Option<Node>>,
    pub packets: BTreeSet<Shared<Packet>>,
    pub left: Budget,
    /// Every leader that there was.
    pub leaders: BTreeMap<Term, MemberId>,
    /// Entries that any replica applied.
    pub committed: Vec<Shared<Entry>>,
    pub broken: Option<&'static str>,
}
