use std::collections::BTreeMap;

use bytes::Bytes;
use tarragon_names::{HostName, LogIndex, MemberId, Millis, Term};

use crate::{
    Action, Entry, Member, Members, Payload, PeerMsg, Role, Token,
    change::Change,
    core::Core,
    progress::{Mode, Progress},
    rounds::Rounds,
    transfer::Transfer,
};

/// Reads that may wait for the lease; more are refused.
const READS_MAX: usize = 10_000;

/// What a replica keeps while it leads.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Leader {
    term: Term,
    peers: BTreeMap<MemberId, Progress>,
    rounds: Rounds,
    heartbeat_due: Millis,
    /// First entry of the term; entries of earlier terms commit with it.
    first: LogIndex,
    ready: bool,
    reads: Vec<Token>,
    change: Option<Change>,
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
            rounds: Rounds::default(),
            heartbeat_due: core.now,
            first: next,
            ready: false,
            reads: Vec::new(),
            change: None,
            transfer: None,
        };
        leader.rounds.begin(core.now);
        leader.heartbeat_due = core.now + core.cfg.heartbeat;
        let entry = core.create(Payload::Noop);
        leader.replicate(core, vec![entry]);
        leader
    }

    /// Ends the leadership; requests that have no answer yet are refused.
    pub(crate) fn stop(mut self, core: &mut Core, successor: Option<MemberId>) {
        for token in self.reads.drain(..) {
            core.refuse(token, successor);
        }
        if let Some(change) = self.change.take() {
            core.refuse(change.token, successor);
        }
        if self.ready {
            let term = self.term;
            core.out.push(Action::LostLeadership { term });
        }
    }

    /// Sends what is due; returns false if the replica can no longer lead.
    pub(crate) fn tick(&mut self, core: &mut Core) -> bool {
        if !self.hears_majority(core) {
            return false;
        }
        if let Some(transfer) = &self.transfer
            && core.now >= transfer.deadline
        {
            // The receiver of `TimeoutNow` may still stand without regard to the lease, so this
            // term cannot go on.
            if transfer.sent {
                return false;
            }
            self.transfer = None;
        }
        if let Some(change) = &self.change
            && change.in_flight.is_none()
            && core.now >= change.deadline
        {
            core.refuse(change.token, Some(core.id));
            self.change = None;
        }
        if core.now >= self.heartbeat_due {
            self.heartbeat(core);
        }
        self.advance(core);
        true
    }

    pub(crate) fn propose(&mut self, core: &mut Core, token: Token, records: Vec<Bytes>) {
        let uncommitted = core.log.last_index().0 - core.commit.0;
        if records.is_empty()
            || self.transfer.is_some()
            || uncommitted + records.len() as u64 > core.cfg.uncommitted
        {
            core.refuse(token, Some(core.id));
            return;
        }
        let records = records.into_iter().map(Payload::Record);
        let entries: Vec<_> = records.map(|payload| core.create(payload)).collect();
        core.out.push(Action::Proposed {
            token,
            first: entries[0].index,
            term: core.term(),
        });
        self.replicate(core, entries);
    }

    pub(crate) fn read(&mut self, core: &mut Core, token: Token) {
        if self.reads.len() == READS_MAX {
            core.refuse(token, Some(core.id));
            return;
        }
        self.reads.push(token);
        self.serve_reads(core);
    }

    pub(crate) fn change_members(&mut self, core: &mut Core, token: Token, target: Members) {
        let deadline = core.now + core.cfg.catch_up;
        let current = core.log.members();
        if self.ready && self.change.is_none() && *current == target {
            let index = core.commit;
            core.out.push(Action::Done { token, index });
            return;
        }
        let plan = Change::plan(token, core.id, current, target, core.commit, deadline);
        let idle = self.ready && self.change.is_none() && self.transfer.is_none();
        let Some(change) = plan.filter(|_| idle) else {
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
        let target = Change::with_learner(core.log.members(), id, learner);
        self.change_members(core, token, target);
    }

    pub(crate) fn transfer(&mut self, core: &mut Core) {
        let recent = |p: &Progress| core.now.since(p.heard) < core.cfg.election_min;
        let members = core.log.members();
        let target = self
            .peers
            .iter()
            .filter(|(id, p)| members.is_voter(**id) && recent(p))
            .max_by_key(|(_, p)| p.matched);
        if let (Some((target, _)), None, None) = (target, &self.transfer, &self.change) {
            self.transfer = Some(Transfer {
                target: *target,
                deadline: core.now + core.cfg.election_max,
                sent: false,
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
        peer.heard = core.now;
        peer.acked_sent = peer.acked_sent.max(sent);
        if matched {
            // A member cannot match entries that this log does not hold.
            if index > core.log.last_index() {
                return;
            }
            peer.match_up_to(index, core.log.base_index());
        } else {
            let next = peer.next;
            peer.back_off(index, core.log.base_index());
            if peer.mode == Mode::Probe && peer.next < next {
                self.send_empty(core, from);
            }
        }
        self.advance(core);
        self.send_entries(core, from);
    }

    /// Takes in progress of the own disk or of other members.
    pub(crate) fn advance(&mut self, core: &mut Core) {
        let index = self.majority_index(core);
        // Only an entry of the own term proves that no other leader can replace what precedes it.
        if core.log.term_at(index) == Some(core.term()) {
            core.commit_to(index);
        }
        if !self.ready && core.commit >= self.first {
            self.ready = true;
            let term = core.term();
            core.out.push(Action::BecameLeader { term });
        }
        self.advance_change(core);
        self.advance_transfer(core);
        self.serve_reads(core);
    }

    /// Tells whether no other replica can lead at `now`.
    pub(crate) fn lease_valid(&self, core: &Core, now: Millis) -> bool {
        self.lease_until(core, now).is_some_and(|until| now < until)
    }

    /// Time before which no other replica can have been elected.
    pub(crate) fn lease_until(&self, core: &Core, now: Millis) -> Option<Millis> {
        let transferring = self.transfer.as_ref().is_some_and(|t| t.sent);
        let acked = self.majority(core, Some(now), |p| p.acked_sent)?;
        (self.ready && !transferring).then_some(acked + core.cfg.leader_lease)
    }

    pub(crate) fn progress_of(&self, id: MemberId) -> Option<&Progress> {
        self.peers.get(&id)
    }

    fn hears_majority(&self, core: &Core) -> bool {
        let heard = self.majority(core, core.now, |p| p.heard);
        core.now.since(heard) < core.cfg.election_max
    }

    fn majority_index(&self, core: &Core) -> LogIndex {
        self.majority(core, core.log.synced(), |p| p.matched)
    }

    /// Greatest value that a majority of the voters has reached.
    fn majority<T, F>(&self, core: &Core, own: T, value: F) -> T
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

    fn serve_reads(&mut self, core: &mut Core) {
        if self.reads.is_empty() || !self.lease_valid(core, core.now) {
            return;
        }
        let index = core.commit;
        let done = self.reads.drain(..);
        core.out
            .extend(done.map(|token| Action::Done { token, index }));
    }

    fn advance_change(&mut self, core: &mut Core) {
        let Some(change) = &mut self.change else {
            return;
        };
        if change.in_flight.is_some_and(|index| core.commit < index) {
            return;
        }
        if let Some((learner, barrier)) = change.promote {
            let matched = self.peers.get(&learner).map(|p| p.matched);
            if matched.is_none_or(|matched| matched < barrier) {
                return;
            }
        }
        if let Some(members) = change.steps.pop_front() {
            change.in_flight = Some(core.log.last_index().next());
            self.append_members(core, members);
        } else {
            let token = change.token;
            let index = core.commit;
            self.change = None;
            core.out.push(Action::Done { token, index });
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
        let entry = core.create(Payload::Members(members));
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
        let matched = self.peers.get(&transfer.target).map(|p| p.matched);
        if !transfer.sent && matched == Some(core.log.last_index()) {
            transfer.sent = true;
            let term = core.term();
            core.send(transfer.target, PeerMsg::TimeoutNow { term });
        }
    }

    /// Sends new entries, then has them written to the own disk.
    fn replicate(&mut self, core: &mut Core, entries: Vec<Entry>) {
        let ids: Vec<_> = self.peers.keys().copied().collect();
        for id in ids {
            self.send_entries(core, id);
        }
        core.out.push(Action::Append {
            truncate_from: None,
            entries,
        });
    }

    fn heartbeat(&mut self, core: &mut Core) {
        self.heartbeat_due = core.now + core.cfg.heartbeat;
        self.rounds.begin(core.now);
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
        if !matches!(peer.mode, Mode::Snapshot(_)) && peer.next <= base {
            send_snapshot(core, to, peer);
        }
        let prev = LogIndex(peer.next.0 - 1).max(base);
        send_append(core, to, prev, Vec::new(), self.rounds.current());
    }

    fn send_entries(&mut self, core: &mut Core, to: MemberId) {
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        while peer.mode == Mode::Replicate
            && peer.in_flight.len() < core.cfg.window
            && peer.next <= core.log.last_index()
        {
            if peer.next <= core.log.base_index() {
                send_snapshot(core, to, peer);
                return;
            }
            let (count, bytes) = (core.cfg.batch_entries, core.cfg.batch_bytes);
            let entries = core.log.batch(peer.next, count, bytes);
            let prev = LogIndex(peer.next.0 - 1);
            peer.next = LogIndex(peer.next.0 + entries.len() as u64);
            peer.in_flight.push_back(LogIndex(peer.next.0 - 1));
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
    core.out.push(Action::SendSnapshot { to, host, term });
}
