mod follower;

use std::collections::BTreeMap;

use bytes::Bytes;
use tarragon_names::{HostName, LogIndex, MemberId, Millis, Term};

use crate::{
    Action, Config, Event, Member, MemberStatus, Members, PeerMsg, Recovered, ReplicaRole,
    ReplicationStatus, Role, SnapshotMeta, campaign::Campaign, core::Core, jitter::Jitter,
    leader::Leader, log::Log, vote_state::VoteState,
};

/// Current role of a replica, with the state of that role.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum RoleState {
    Follower,
    Candidate(Campaign),
    Leader(Box<Leader>),
}

/// One member of the replica group as a pure state machine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Replica {
    core: Core,
    role_state: RoleState,
    /// Leader of the current term; `None` if not known.
    leader: Option<MemberId>,
    /// Time of the last message from a leader, or of the first step if there was none since;
    /// `None` before the first step.
    last_leader_contact: Option<Millis>,
    election_due: Millis,
    /// Last index known to match the log of the current term's leader.
    verified_index: LogIndex,
    /// Highest heartbeat round received from that leader.
    leader_round: u64,
}

impl Replica {
    /// Creates a replica from the state on its disk. `seed` determines the election timeouts.
    ///
    /// Each bootstrap member of a group starts from a snapshot at index 0 that holds the first
    /// member list and no state.
    pub fn new(cfg: Config, recovered: Recovered, seed: u64) -> Self {
        let base = recovered.snapshot.map(|(meta, _)| meta).unwrap_or_default();
        let commit = base.index;
        let log = Log::new(base, recovered.entries);
        // Entries may reach the disk before the term in which they were received is saved.
        let vote_state = if log.last_term() > recovered.term {
            VoteState::new(log.last_term(), None)
        } else {
            VoteState::new(recovered.term, recovered.voted_for)
        };
        Self {
            core: Core {
                cfg,
                id: recovered.id,
                now: Millis(0),
                log,
                vote_state,
                commit,
                learned_hosts: BTreeMap::new(),
                jitter: Jitter::new(seed),
                is_disk_full: false,
                actions: Vec::new(),
            },
            role_state: RoleState::Follower,
            leader: None,
            last_leader_contact: None,
            election_due: Millis(0),
            verified_index: LogIndex(0),
            leader_round: 0,
        }
    }

    /// Processes one event at the time `now` and returns the actions to execute, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.core.now = self.core.now.max(now);
        if self.last_leader_contact.is_none() {
            self.record_leader_contact();
        }
        let before = self.leader_host();
        self.dispatch(event);
        let leader = self.leader_host();
        if leader != before {
            let term = self.term();
            self.core
                .actions
                .push(Action::LeaderChanged { term, leader });
        }
        let mut actions = std::mem::take(&mut self.core.actions);
        if let Some((term, voted_for)) = self.core.vote_state.take_due_save() {
            actions.insert(0, Action::SaveVote { term, voted_for });
        }
        actions
    }

    /// Identity from the data folder; it never changes.
    pub fn id(&self) -> MemberId {
        self.core.id
    }

    /// Current Raft role; a new leader has this role before `Action::BecameLeader`.
    pub fn role(&self) -> ReplicaRole {
        match self.role_state {
            RoleState::Follower => ReplicaRole::Follower,
            RoleState::Candidate(_) => ReplicaRole::Candidate,
            RoleState::Leader(_) => ReplicaRole::Leader,
        }
    }

    /// Current term, which may not be synced yet.
    pub fn term(&self) -> Term {
        self.core.term()
    }

    /// Identity of the leader of the current term, if known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Host of the leader of the current term, if both are known.
    pub fn leader_host(&self) -> Option<HostName> {
        let host = self.core.host_of(self.leader?);
        (!host.as_str().is_empty()).then_some(host)
    }

    /// Last index known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.core.commit
    }

    /// Last index of the log, which may not be synced yet.
    pub fn last_index(&self) -> LogIndex {
        self.core.log.last_index()
    }

    /// Total size of the records that are not known to be committed, in bytes.
    pub fn uncommitted_bytes(&self) -> usize {
        self.core.log.record_bytes_from(self.core.commit.next())
    }

    /// Last index synced on the local disk.
    pub fn synced_index(&self) -> LogIndex {
        self.core.log.synced()
    }

    /// The member list in force, which is the last one appended, committed or not.
    pub fn members(&self) -> &Members {
        self.core.log.members()
    }

    /// Returns the metadata for a snapshot of the application's state at the applied index `index`;
    /// `None` if the term of that entry is not known.
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<SnapshotMeta> {
        self.core.log.meta_at(index)
    }

    /// Time before which no other replica can have been elected; `None` if this replica is not the
    /// leader or has no lease.
    pub fn lease_until(&self, now: Millis) -> Option<Millis> {
        match &self.role_state {
            RoleState::Leader(leader) => leader.lease_until(&self.core, now),
            _ => None,
        }
    }

    /// Returns whether this replica is the leader and no other can be at `now`, so that a read of
    /// the applied state is not stale.
    pub fn lease_valid(&self, now: Millis) -> bool {
        match &self.role_state {
            RoleState::Leader(leader) => leader.lease_valid(&self.core, now),
            _ => false,
        }
    }

    /// State of each listed member at the time `now`, in ascending order of identity.
    pub fn member_status(&self, now: Millis) -> Vec<MemberStatus> {
        let members = self.core.log.members().by_id.iter();
        members
            .map(|(id, member)| {
                let peer = match &self.role_state {
                    RoleState::Leader(leader) => leader.progress(*id),
                    _ => None,
                };
                let own = (*id == self.core.id).then(|| self.core.log.synced());
                MemberStatus {
                    id: *id,
                    host: member.host.clone(),
                    role: member.role,
                    match_index: peer.map(|p| p.match_index).or(own),
                    silent_for: peer.map(|p| now.since(p.last_contact)),
                }
            })
            .collect()
    }

    /// State of the replication to the other members at the time `now`; `None` if this replica is not
    /// the leader.
    pub fn replication_status(&self, now: Millis) -> Option<ReplicationStatus> {
        let RoleState::Leader(leader) = &self.role_state else {
            return None;
        };
        let members = self.core.log.members().by_id.iter();
        Some(ReplicationStatus {
            term: self.term(),
            at: now,
            last_index: self.core.log.last_index(),
            members: members
                .filter_map(|(id, member)| Some(leader.progress(*id)?.describe(*id, member, now)))
                .collect(),
        })
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.on_tick(),
            Event::Receive { from, msg } => self.on_msg(from, msg),
            Event::HostLearned { id, host } => {
                self.core.learned_hosts.insert(id, host);
            }
            Event::Synced { index, term } => self.on_synced(index, term),
            Event::VoteSynced { term, voted_for } => self.on_vote_synced(term, voted_for),
            Event::SnapshotSaved { meta } => self.on_snapshot_saved(&meta),
            Event::DiskState { is_full } => self.core.is_disk_full = is_full,
            Event::FormAlone { host } => self.form_alone(host),
            Event::Propose { token, records } => match &mut self.role_state {
                RoleState::Leader(leader) => leader.propose(&mut self.core, token, records),
                _ => self.core.refuse(token, self.leader),
            },
            Event::Read { token } => match &mut self.role_state {
                RoleState::Leader(leader) => leader.read(&mut self.core, token),
                _ => self.core.refuse(token, self.leader),
            },
            Event::ChangeMembers { token, members } => match &mut self.role_state {
                RoleState::Leader(leader) => leader.change_members(&mut self.core, token, members),
                _ => self.core.refuse(token, self.leader),
            },
            Event::AddLearner { token, id, host } => match &mut self.role_state {
                RoleState::Leader(leader) => leader.add_learner(&mut self.core, token, id, host),
                _ => self.core.refuse(token, self.leader),
            },
            Event::TransferLeadership => {
                if let RoleState::Leader(leader) = &mut self.role_state {
                    leader.transfer(&mut self.core);
                }
            }
        }
    }

    fn on_tick(&mut self) {
        if let RoleState::Leader(leader) = &mut self.role_state {
            if !leader.tick(&mut self.core) {
                self.become_follower(None);
            }
        } else if self.core.now >= self.election_due {
            if self.can_campaign() {
                self.start_election(true, false);
            } else {
                // Without an election of its own, it would name a lost leader for ever.
                self.leader = None;
            }
        }
    }

    fn on_msg(&mut self, from: MemberId, msg: PeerMsg) {
        if from == self.core.id {
            return;
        }
        match msg {
            PeerMsg::Vote {
                term,
                last_index,
                last_term,
                is_pre_vote,
                is_transfer,
            } => self.on_vote(
                from,
                term,
                (last_term, last_index),
                is_pre_vote,
                is_transfer,
            ),
            PeerMsg::VoteReply {
                term,
                granted,
                is_pre_vote,
            } => {
                self.on_vote_reply(from, term, granted, is_pre_vote);
            }
            PeerMsg::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                if self.accept_leader(from, term, round) {
                    self.on_append(from, prev_index, prev_term, entries, commit);
                }
            }
            PeerMsg::AppendReply {
                term,
                matched,
                index,
                round,
            } => {
                if term > self.term() {
                    self.start_term(term);
                } else if term == self.term()
                    && let RoleState::Leader(leader) = &mut self.role_state
                {
                    leader.on_reply(&mut self.core, from, matched, index, round);
                }
            }
            PeerMsg::Snapshot { term, meta, state } => {
                if self.accept_leader(from, term, 0) {
                    self.on_snapshot(from, meta, state);
                }
            }
            PeerMsg::TimeoutNow { term } => {
                if term == self.term() && self.leader == Some(from) && self.can_campaign() {
                    self.start_election(false, true);
                }
            }
        }
    }

    fn on_vote(
        &mut self,
        from: MemberId,
        term: Term,
        last: (Term, LogIndex),
        is_pre_vote: bool,
        is_transfer: bool,
    ) {
        // A vote cannot be saved, and moving to a term that cannot be saved would end the answers to
        // the leader of the current one. Pre-votes are left out with them, since a candidate that
        // counts on this replica would start terms that it cannot win.
        if self.core.is_disk_full {
            return;
        }
        let is_log_up_to_date = last >= (self.core.log.last_term(), self.core.log.last_index());
        // The lease of a leader relies on voters not to vote for another candidate within
        // `election_min` of answering the leader. The term must not change either, because a
        // higher term in the replies would make the leader step down.
        let ignores_candidate = !is_transfer && self.is_leader_contact_recent();
        if ignores_candidate || term < self.term() || (is_pre_vote && term == self.term()) {
            self.reply_vote(from, self.term(), false, is_pre_vote);
            return;
        }
        if is_pre_vote {
            let reply_term = if is_log_up_to_date { term } else { self.term() };
            self.reply_vote(from, reply_term, is_log_up_to_date, is_pre_vote);
            return;
        }
        if term > self.term() {
            self.start_term(term);
        }
        let voted_for = self.core.vote_state.voted_for;
        let granted = is_log_up_to_date && voted_for.is_none_or(|id| id == from);
        if granted {
            self.core.vote_state.vote(from);
            self.election_due = self.core.now + self.core.election_timeout();
        }
        self.reply_vote(from, term, granted, is_pre_vote);
    }

    fn reply_vote(&mut self, to: MemberId, term: Term, granted: bool, is_pre_vote: bool) {
        self.core.send(
            to,
            PeerMsg::VoteReply {
                term,
                granted,
                is_pre_vote,
            },
        );
    }

    fn on_vote_reply(&mut self, from: MemberId, term: Term, granted: bool, is_pre_vote: bool) {
        if !granted {
            if term > self.term() {
                self.start_term(term);
            }
            return;
        }
        if let RoleState::Candidate(campaign) = &mut self.role_state
            && campaign.is_pre_vote == is_pre_vote
            && campaign.term == term
        {
            campaign.record_grant(from);
            self.count_votes();
        }
    }

    fn start_election(&mut self, is_pre_vote: bool, is_transfer: bool) {
        let term = self.term().next();
        self.leader = None;
        self.election_due = self.core.now + self.core.election_timeout();
        let mut campaign = Campaign::new(is_pre_vote, term);
        if is_pre_vote {
            campaign.record_grant(self.core.id);
        } else {
            self.core.vote_state.start_term(term, Some(self.core.id));
        }
        self.role_state = RoleState::Candidate(campaign);
        for id in self.core.other_voters() {
            let msg = PeerMsg::Vote {
                term,
                last_index: self.core.log.last_index(),
                last_term: self.core.log.last_term(),
                is_pre_vote,
                is_transfer,
            };
            self.core.send(id, msg);
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let RoleState::Candidate(campaign) = &self.role_state else {
            return;
        };
        if !campaign.is_won(self.core.log.members()) {
            return;
        }
        if campaign.is_pre_vote {
            if self.can_campaign() {
                self.start_election(false, false);
            }
        } else {
            self.leader = Some(self.core.id);
            let leader = Leader::start(&mut self.core);
            self.role_state = RoleState::Leader(Box::new(leader));
        }
    }

    /// Makes this replica the only voter of a new group, unless it holds entries or follows a leader.
    fn form_alone(&mut self, host: HostName) {
        let holds_nothing = self.core.log.last_index() == LogIndex(0);
        if !holds_nothing || self.leader.is_some() || self.core.is_disk_full {
            return;
        }
        let role = Role::Voter;
        let by_id = BTreeMap::from([(self.core.id, Member { host, role })]);
        let meta = SnapshotMeta {
            members: Members { by_id },
            ..SnapshotMeta::default()
        };
        self.become_follower(None);
        self.core.log.reset_to_snapshot(meta.clone(), LogIndex(0));
        let state = Bytes::new();
        self.core
            .actions
            .push(Action::InstallSnapshot { meta, state });
    }

    /// Returns whether this replica may start an election: its vote for itself has to be saved.
    fn can_campaign(&self) -> bool {
        self.core.is_voter() && !self.core.is_disk_full
    }

    fn on_snapshot_saved(&mut self, meta: &SnapshotMeta) {
        if meta.index > self.core.commit {
            return;
        }
        let cfg = &self.core.cfg;
        let (count, bytes) = (cfg.keep_entries, cfg.keep_bytes);
        self.core.log.compact(meta.index, count, bytes);
        self.on_sync_progress();
    }

    fn on_synced(&mut self, index: LogIndex, term: Term) {
        if self.core.log.mark_synced(index, term) {
            self.on_sync_progress();
        }
    }

    fn on_sync_progress(&mut self) {
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.advance(&mut self.core);
        } else {
            self.acknowledge();
        }
    }

    fn on_vote_synced(&mut self, term: Term, voted_for: Option<MemberId>) {
        for (to, msg) in self.core.vote_state.mark_synced(term, voted_for) {
            self.core.send_now(to, msg);
        }
        let id = self.core.id;
        if let RoleState::Candidate(campaign) = &mut self.role_state
            && !campaign.is_pre_vote
            && campaign.term == term
            && voted_for == Some(id)
        {
            campaign.record_grant(id);
            self.count_votes();
        }
    }

    /// Returns whether this replica is the leader, or had contact with one or started less than
    /// `election_min` ago.
    fn is_leader_contact_recent(&self) -> bool {
        let is_recent = |at| self.core.now.since(at) < self.core.cfg.election_min;
        matches!(self.role_state, RoleState::Leader(_))
            || self.last_leader_contact.is_some_and(is_recent)
    }

    /// Moves to a higher term as a follower with no known leader.
    fn start_term(&mut self, term: Term) {
        self.core.vote_state.start_term(term, None);
        self.become_follower(None);
    }

    fn become_follower(&mut self, leader: Option<MemberId>) {
        let role_state = std::mem::replace(&mut self.role_state, RoleState::Follower);
        if let RoleState::Leader(lost) = role_state {
            lost.stop(&mut self.core, leader);
            self.election_due = self.core.now + self.core.election_timeout();
        }
        self.leader = leader;
    }

    fn record_leader_contact(&mut self) {
        self.last_leader_contact = Some(self.core.now);
        self.election_due = self.core.now + self.core.election_timeout();
    }
}
