use std::collections::BTreeMap;

use bytes::Bytes;
use tarragon_names::{HostName, LogIndex, MemberId, Millis, Term};

use crate::{
    Action, Entry, Member, Members, Payload, PeerMsg, Role, Token,
    core::Core,
    heartbeat_rounds::HeartbeatRounds,
    pending_member_change::PendingMemberChange,
    progress::{Mode, Progress},
    transfer::Transfer,
};

/// Maximum number of reads that wait for the lease; further reads are refused.
const MAX_PENDING_READS: usize = 10_000;

/// State that a replica keeps only while it is the leader.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Leader {
    term: Term,
    peers: BTreeMap<MemberId, Progress>,
    rounds: HeartbeatRounds,
    heartbeat_due: Millis,
    /// Index of the term's first entry; entries of earlier terms commit together with this entry.
    first_index: LogIndex,
    /// Whether the entry at `first_index` has committed.
    is_ready: bool,
    pending_reads: Vec<Token>,
    change: Option<PendingMemberChange>,
    transfer: Option<Transfer>,
}

impl Leader {
    pub(crate) fn start(core: &mut Core) -> Self {
        let next = core.log.last_index().next();
        let members = core.log.members().by_id.keys();
        let peers = members
            .filter(|id| **id != core.id)
            .map(|id| (*id, Progress::new(Mode::Replicate, next, core.now)))
            .collect();
        let mut leader = Self {
            term: core.term(),
            peers,
            rounds: HeartbeatRounds::default(),
            heartbeat_due: core.now,
            first_index: next,
            is_ready: false,
            pending_reads: Vec::new(),
            change: None,
            transfer: None,
        };
        leader.rounds.start(core.now);
        leader.heartbeat_due = core.now + core.cfg.heartbeat_interval;
        let entry = core.append_entry(Payload::Noop);
        leader.replicate(core, vec![entry]);
        leader
    }

    /// Ends the leadership and refuses the requests that have no answer yet.
    pub(crate) fn stop(mut self, core: &mut Core, successor: Option<MemberId>) {
        for token in self.pending_reads.drain(..) {
            core.refuse(token, successor);
        }
        if let Some(change) = self.change.take() {
            core.refuse(change.token, successor);
        }
        if self.is_ready {
            let term = self.term;
            core.actions.push(Action::LostLeadership { term });
        }
    }

    /// Checks timeouts and sends a due heartbeat; returns false if the replica has to step down.
    pub(crate) fn tick(&mut self, core: &mut Core) -> bool {
        if !self.has_majority_contact(core) {
            return false;
        }
        if let Some(transfer) = &self.transfer
            && core.now >= transfer.deadline
        {
            // The receiver of `TimeoutNow` may still start an election that ignores the lease, so
            // the leadership has to end.
            if transfer.is_timeout_now_sent {
                return false;
            }
            self.transfer = None;
        }
        if let Some(change) = &self.change
            && change.in_flight.is_none()
            && core.now >= change.catch_up_deadline
        {
            core.refuse(change.token, Some(core.id));
            self.change = None;
        }
        if core.now >= self.heartbeat_due {
            self.heartbeat(core);
        }
        if core.is_disk_full && self.others_can_commit(core) {
            self.transfer(core);
        }
        self.advance(core);
        true
    }

    pub(crate) fn propose(&mut self, core: &mut Core, token: Token, records: Vec<Bytes>) {
        let uncommitted = core.log.last_index().0 - core.commit.0;
        let uncommitted_bytes = core.log.record_bytes_from(core.commit.next());
        let new_bytes = records.iter().map(Bytes::len).sum::<usize>();
        let has_many_bytes =
            uncommitted_bytes > 0 && uncommitted_bytes + new_bytes > core.cfg.max_uncommitted_bytes;
        if records.is_empty()
            || self.transfer.is_some()
            || core.is_disk_full
            || has_many_bytes
            || uncommitted + records.len() as u64 > core.cfg.max_uncommitted_entries
        {
            core.refuse(token, Some(core.id));
            return;
        }
        let records = records.into_iter().map(Payload::Record);
        let entries: Vec<_> = records.map(|payload| core.append_entry(payload)).collect();
        core.actions.push(Action::Proposed {
            token,
            first: entries[0].index,
            term: core.term(),
        });
        self.replicate(core, entries);
    }

    pub(crate) fn read(&mut self, core: &mut Core, token: Token) {
        if self.pending_reads.len() == MAX_PENDING_READS {
            core.refuse(token, Some(core.id));
            return;
        }
        self.pending_reads.push(token);
        self.complete_reads(core);
    }

    pub(crate) fn change_members(&mut self, core: &mut Core, token: Token, target: Members) {
        let deadline = core.now + core.cfg.catch_up_timeout;
        let current = core.log.members();
        if self.is_ready && self.change.is_none() && *current == target {
            let index = core.commit;
            core.actions.push(Action::Done { token, index });
            return;
        }
        let plan =
            PendingMemberChange::plan(token, core.id, current, target, core.commit, deadline);
        let is_undisturbed = self.transfer.is_none() && !core.is_disk_full;
        let can_start = self.is_ready && self.change.is_none() && is_undisturbed;
        let Some(change) = plan.filter(|_| can_start) else {
            core.refuse(token, Some(core.id));
            return;
        };
        self.change = Some(change);
        self.advance(core);
    }

    pub(crate) fn add_learner(
        &mut self,
        core: &mut Core,
        token: Token,
        id: MemberId,
        host: HostName,
    ) {
        let learner = Member {
            host,
            role: Role::Learner,
        };
        let target = PendingMemberChange::with_learner(core.log.members(), id, learner);
        self.change_members(core, token, target);
    }

    pub(crate) fn transfer(&mut self, core: &mut Core) {
        let target = self
            .voters_in_contact(core)
            .max_by_key(|(_, p)| p.match_index);
        if let (Some((target, _)), None, None) = (target, &self.transfer, &self.change) {
            self.transfer = Some(Transfer {
                target: *target,
                deadline: core.now + core.cfg.election_max,
                is_timeout_now_sent: false,
            });
            self.advance(core);
        }
    }

    pub(crate) fn on_reply(
        &mut self,
        core: &mut Core,
        from: MemberId,
        matched: bool,
        index: LogIndex,
        round: u64,
    ) {
        let sent = self.rounds.sent_at(round);
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.last_contact = core.now;
        peer.acked_heartbeat_sent_at = peer.acked_heartbeat_sent_at.max(sent);
        if matched {
            // A member cannot match entries that are not in this log.
            if index > core.log.last_index() {
                return;
            }
            peer.on_match(index, core.log.base_index());
        } else {
            let next = peer.next_index;
            peer.on_mismatch(index, core.log.base_index());
            if peer.mode == Mode::Probe && peer.next_index < next {
                self.send_empty(core, from);
            }
        }
        self.advance(core);
        self.send_entries(core, from);
    }

    /// Reacts to newly synced entries here or on other members: commits entries and continues
    /// pending requests.
    pub(crate) fn advance(&mut self, core: &mut Core) {
        let index = self.majority_index(core);
        // Only a replicated entry of the current term guarantees that no later leader can replace
        // the entries before it.
        if core.log.term_at(index) == Some(core.term()) {
            core.commit_to(index);
        }
        if !self.is_ready && core.commit >= self.first_index {
            self.is_ready = true;
            let term = core.term();
            core.actions.push(Action::BecameLeader { term });
        }
        self.advance_change(core);
        self.advance_transfer(core);
        self.complete_reads(core);
    }

    /// Returns whether no other replica can be the leader at `now`.
    pub(crate) fn lease_valid(&self, core: &Core, now: Millis) -> bool {
        self.lease_until(core, now).is_some_and(|until| now < until)
    }

    /// Time before which no other replica can have been elected; `None` until a majority
    /// answered a heartbeat and the first entry of the term committed, and while the target of a
    /// transfer may start an election.
    pub(crate) fn lease_until(&self, core: &Core, now: Millis) -> Option<Millis> {
        let is_transferring = self
            .transfer
            .as_ref()
            .is_some_and(|t| t.is_timeout_now_sent);
        let acked = self.majority_value(core, Some(now), |p| p.acked_heartbeat_sent_at)?;
        (self.is_ready && !is_transferring).then_some(acked + core.cfg.leader_lease)
    }

    pub(crate) fn progress(&self, id: MemberId) -> Option<&Progress> {
        self.peers.get(&id)
    }

    /// Returns the other voters that answered recently.
    fn voters_in_contact(&self, core: &Core) -> impl Iterator<Item = (&MemberId, &Progress)> {
        let is_recent = |p: &Progress| core.now.since(p.last_contact) < core.cfg.election_min;
        let peers = self.peers.iter();
        peers.filter(move |(id, p)| core.log.members().is_voter(**id) && is_recent(p))
    }

    /// Returns whether the other voters are in contact and have committed the whole log without this
    /// replica, so that a majority of them takes writes and can elect one of them.
    fn others_can_commit(&self, core: &Core) -> bool {
        let is_ahead = core.log.synced() < core.commit && core.commit == core.log.last_index();
        is_ahead && self.voters_in_contact(core).count() >= core.log.members().majority()
    }

    fn has_majority_contact(&self, core: &Core) -> bool {
        let last_contact = self.majority_value(core, core.now, |p| p.last_contact);
        core.now.since(last_contact) < core.cfg.election_max
    }

    fn majority_index(&self, core: &Core) -> LogIndex {
        self.majority_value(core, core.log.synced(), |p| p.match_index)
    }

    /// Returns the greatest value that a majority of the voters has reached.
    fn majority_value<T, F>(&self, core: &Core, own: T, value: F) -> T
    where
        T: Copy + Default + Ord,
        F: Fn(&Progress) -> T,
    {
        let members = core.log.members();
        let mut values: Vec<T> = members
            .voters()
            .map(|id| match self.peers.get(&id) {
                Some(peer) => value(peer),
                None if id == core.id => own,
                None => T::default(),
            })
            .collect();
        values.sort_unstable();
        let from_end = members.majority();
        values
            .len()
            .checked_sub(from_end)
            .map_or_else(T::default, |at| values[at])
    }

    fn complete_reads(&mut self, core: &mut Core) {
        if self.pending_reads.is_empty() || !self.lease_valid(core, core.now) {
            return;
        }
        let index = core.commit;
        let done = self.pending_reads.drain(..);
        core.actions
            .extend(done.map(|token| Action::Done { token, index }));
    }

    fn advance_change(&mut self, core: &mut Core) {
        let Some(change) = &mut self.change else {
            return;
        };
        if change.in_flight.is_some_and(|index| core.commit < index) {
            return;
        }
        if let Some((learner, barrier)) = change.promotion {
            let matched = self.peers.get(&learner).map(|p| p.match_index);
            if matched.is_none_or(|matched| matched < barrier) {
                return;
            }
        }
        if let Some(members) = change.remaining_steps.pop_front() {
            change.in_flight = Some(core.log.last_index().next());
            self.append_members(core, members);
        } else {
            let token = change.token;
            let index = core.commit;
            self.change = None;
            core.actions.push(Action::Done { token, index });
        }
    }

    fn append_members(&mut self, core: &mut Core, members: Members) {
        self.peers.retain(|id, _| members.by_id.contains_key(id));
        let next = core.log.last_index().next();
        let new = members.by_id.keys().filter(|id| **id != core.id);
        let new: Vec<_> = new
            .filter(|id| !self.peers.contains_key(id))
            .copied()
            .collect();
        let entry = core.append_entry(Payload::Members(members));
        for id in new {
            self.peers
                .insert(id, Progress::new(Mode::Probe, next, core.now));
            self.send_empty(core, id);
        }
        self.replicate(core, vec![entry]);
    }

    fn advance_transfer(&mut self, core: &mut Core) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let matched = self.peers.get(&transfer.target).map(|p| p.match_index);
        if !transfer.is_timeout_now_sent && matched == Some(core.log.last_index()) {
            transfer.is_timeout_now_sent = true;
            core.actions.push(Action::LeaseEnded);
            let term = core.term();
            core.send(transfer.target, PeerMsg::TimeoutNow { term });
        }
    }

    /// Sends new entries, then has them written to the local disk.
    fn replicate(&mut self, core: &mut Core, entries: Vec<Entry>) {
        let ids: Vec<_> = self.peers.keys().copied().collect();
        for id in ids {
            self.send_entries(core, id);
        }
        core.actions.push(Action::Append {
            truncate_from: None,
            entries,
        });
    }

    fn heartbeat(&mut self, core: &mut Core) {
        self.heartbeat_due = core.now + core.cfg.heartbeat_interval;
        self.rounds.start(core.now);
        let ids: Vec<_> = self.peers.keys().copied().collect();
        for id in ids {
            if let Some(peer) = self.peers.get_mut(&id)
                && let Mode::Snapshot(since) = peer.mode
                && core.now.since(since) >= core.cfg.snapshot_retry
            {
                peer.mode = Mode::Probe;
            }
            self.send_empty(core, id);
        }
    }

    fn send_empty(&mut self, core: &mut Core, to: MemberId) {
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        let base = core.log.base_index();
        if !matches!(peer.mode, Mode::Snapshot(_)) && peer.next_index <= base {
            send_snapshot(core, to, peer);
        }
        let prev = LogIndex(peer.next_index.0 - 1).max(base);
        send_append(core, to, prev, Vec::new(), self.rounds.current());
    }

    fn send_entries(&mut self, core: &mut Core, to: MemberId) {
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        while peer.mode == Mode::Replicate
            && peer.in_flight.len() < core.cfg.max_in_flight_messages
            && peer.next_index <= core.log.last_index()
        {
            if peer.next_index <= core.log.base_index() {
                send_snapshot(core, to, peer);
                return;
            }
            let (count, bytes) = (core.cfg.max_batch_entries, core.cfg.max_batch_bytes);
            let entries = core.log.batch(peer.next_index, count, bytes);
            let prev = LogIndex(peer.next_index.0 - 1);
            peer.next_index = LogIndex(peer.next_index.0 + entries.len() as u64);
            peer.in_flight.push_back(LogIndex(peer.next_index.0 - 1));
            send_append(core, to, prev, entries, self.rounds.current());
        }
    }
}

fn send_append(core: &mut Core, to: MemberId, prev: LogIndex, entries: Vec<Entry>, round: u64) {
    let Some(prev_term) = core.log.term_at(prev) else {
        return;
    };
    let msg = PeerMsg::Append {
        term: core.term(),
        prev_index: prev,
        prev_term,
        entries,
        commit: core.commit,
        round,
    };
    core.send(to, msg);
}

fn send_snapshot(core: &mut Core, to: MemberId, peer: &mut Progress) {
    peer.mode = Mode::Snapshot(core.now);
    peer.in_flight.clear();
    let (host, term) = (core.host_of(to), core.term());
    core.actions.push(Action::SendSnapshot { to, host, term });
}
