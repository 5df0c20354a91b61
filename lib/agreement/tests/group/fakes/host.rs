use bytes::Bytes;
use tarragon_agreement::{Action, Config, Entry, Event, Payload, Replica, SnapshotMeta};
use tarragon_names::{LogIndex, MemberId, Millis, Term};

use super::{Disk, InvariantChecker, disk::Write, network::Packet};

/// A host with a disk; its process is running while `replica` is set.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub id: MemberId,
    pub disk: Disk,
    pub replica: Option<Replica>,
    pub paused: bool,
    pub inbox: Vec<Packet>,
    pub applied: Vec<Bytes>,
    pub applied_index: LogIndex,
    /// Term of the leadership that the replica announced, while it lasts.
    pub leading_term: Option<Term>,
    /// Answered requests: token and index, or `None` if refused.
    pub answers: Vec<(u64, Option<LogIndex>)>,
    /// Speed of the host's clock in percent of the true time.
    pub clock_rate_percent: u64,
    /// Milliseconds from the first unsynced write to the sync.
    pub sync_delay_ms: u64,
    pub snapshots_installed: u64,
    /// Settings that apply from the next start on.
    pub cfg: Config,
    /// Minimum number of applied entries between two snapshots.
    pub snapshot_interval_entries: u64,
    snapshot_index: LogIndex,
    sync_due: u64,
    /// Whether the replica was told that the disk is full.
    is_disk_full: bool,
}

impl Host {
    pub fn new(name: &str, disk: Disk) -> Self {
        Self {
            name: name.to_owned(),
            id: disk.durable.id,
            disk,
            replica: None,
            paused: false,
            inbox: Vec::new(),
            applied: Vec::new(),
            applied_index: LogIndex(0),
            leading_term: None,
            answers: Vec::new(),
            clock_rate_percent: 100,
            sync_delay_ms: 2,
            snapshots_installed: 0,
            cfg: Config::default(),
            snapshot_interval_entries: 200,
            snapshot_index: LogIndex(0),
            sync_due: 0,
            is_disk_full: false,
        }
    }

    pub fn clock(&self, now: u64) -> Millis {
        Millis(now * self.clock_rate_percent / 100)
    }

    pub fn start(&mut self, seed: u64) {
        let recovered = self.disk.durable.clone();
        self.applied.clear();
        self.applied_index = LogIndex(0);
        if let Some((meta, state)) = &recovered.snapshot {
            self.restore(&meta.clone(), &state.clone());
        }
        self.leading_term = None;
        self.is_disk_full = false;
        self.paused = false;
        self.inbox.clear();
        self.replica = Some(Replica::new(self.cfg.clone(), recovered, seed));
    }

    /// Ends the process; the first `torn` unsynced entries survive.
    pub fn crash(&mut self, torn: usize) {
        self.replica = None;
        self.disk.crash(torn);
    }

    pub fn is_running(&self) -> bool {
        self.replica.is_some() && !self.paused
    }

    /// Passes an event to the replica and returns the messages to send.
    pub fn step(&mut self, now: u64, event: Event, checker: &mut InvariantChecker) -> Vec<Packet> {
        let clock = self.clock(now);
        let Some(replica) = &mut self.replica else {
            return Vec::new();
        };
        let actions = replica.step(clock, event);
        let mut packets = Vec::new();
        for action in actions {
            packets.extend(self.execute(now, action, checker));
        }
        if let Some(replica) = &self.replica {
            checker.check_replica(replica, clock);
        }
        packets
    }

    /// Syncs the disk if a sync is due; a failed sync ends the process.
    pub fn sync(&mut self, now: u64) -> Vec<Event> {
        if self.disk.is_clean() || now < self.sync_due {
            return Vec::new();
        }
        let Some(mut events) = self.disk.sync() else {
            self.crash(0);
            return Vec::new();
        };
        // A write shows that the disk is full, or that it has room again.
        if self.is_disk_full != self.disk.is_full {
            let is_full = self.disk.is_full;
            self.is_disk_full = is_full;
            events.push(Event::DiskState { is_full });
        }
        events
    }

    fn execute(
        &mut self,
        now: u64,
        action: Action,
        checker: &mut InvariantChecker,
    ) -> Option<Packet> {
        match action {
            Action::Send { to, msg, .. } => return Some(self.packet(to, msg)),
            Action::SaveVote { term, voted_for } => self.write(now, Write::Vote(term, voted_for)),
            Action::Append {
                truncate_from,
                entries,
            } => self.write(now, Write::Append(truncate_from, entries)),
            Action::Apply { entries } => {
                checker.check_applied(&entries);
                for entry in entries {
                    self.apply(entry);
                }
                self.snapshot(now);
            }
            Action::InstallSnapshot { meta, state } => {
                self.restore(&meta, &state);
                self.snapshots_installed += 1;
                self.write(now, Write::Snapshot(meta, state));
            }
            Action::SendSnapshot { to, term, .. } => {
                let (meta, state) = self.disk.durable.snapshot.clone().expect("a snapshot");
                let msg = tarragon_agreement::PeerMsg::Snapshot { term, meta, state };
                return Some(self.packet(to, msg));
            }
            Action::Done { token, index } => self.answers.push((token, Some(index))),
            Action::Refused { token, .. } => self.answers.push((token, None)),
            Action::BecameLeader { term } => self.leading_term = Some(term),
            Action::LostLeadership { term } => {
                assert_eq!(
                    self.leading_term.take(),
                    Some(term),
                    "a leadership ended that was not announced for this term"
                );
            }
            Action::Proposed { .. } | Action::LeaseEnded | Action::LeaderChanged { .. } => {}
        }
        None
    }

    fn packet(&self, to: MemberId, msg: tarragon_agreement::PeerMsg) -> Packet {
        Packet {
            from: self.id,
            to,
            msg,
        }
    }

    fn write(&mut self, now: u64, write: Write) {
        if self.disk.is_clean() {
            self.sync_due = now + self.sync_delay_ms;
        }
        self.disk.write(write);
    }

    fn apply(&mut self, entry: Entry) {
        assert_eq!(
            entry.index,
            self.applied_index.next(),
            "applied entries have a gap"
        );
        self.applied_index = entry.index;
        if let Payload::Record(record) = entry.payload {
            self.applied.push(record);
        }
    }

    fn snapshot(&mut self, now: u64) {
        if self.applied_index.0 - self.snapshot_index.0 < self.snapshot_interval_entries {
            return;
        }
        let state = self.applied.join(&b'\n');
        let replica = self
            .replica
            .as_ref()
            .expect("the host's process is running");
        let meta = replica
            .snapshot_meta(self.applied_index)
            .expect("the applied entry is in the log");
        self.snapshot_index = meta.index;
        self.write(now, Write::Snapshot(meta, Bytes::from(state)));
    }

    fn restore(&mut self, meta: &SnapshotMeta, state: &Bytes) {
        self.applied_index = meta.index;
        self.snapshot_index = meta.index;
        let records = state.split(|b| *b == b'\n').filter(|r| !r.is_empty());
        self.applied = records.map(|r| state.slice_ref(r)).collect();
    }
}
