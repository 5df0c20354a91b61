use std::collections::BTreeMap;

use bytes::Bytes;
use tarragon_names::{HostName, LogIndex, MemberId, Millis, Term};

use crate::{
    Action, Config, Entry, Event, MemberStatus, Members, PeerMsg, Recovered, ReplicaRole,
    SnapshotMeta, ballot::Ballot, campaign::Campaign, core::Core, jitter::Jitter, leader::Leader,
    log::Log,
};

/// What a replica does at the moment.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Standing {
    Follower,
    Candidate(Campaign),
    Leader(Box<Leader>),
}

/// One member of the replica group as a pure state machine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Replica {
    core: Core,
    standing: Standing,
    /// Leader of the current term, if known.
    leader: Option<MemberId>,
    /// Last time at which a leader was heard or this process started; unknown before the first
    /// step.
    heard: Option<Millis>,
    election_due: Millis,
    /// Last index known to match the log of the current term's leader.
    verified: LogIndex,
    /// Last heartbeat round received from that leader.
    round: u64,
}

impl Replica {
    /// A replica that starts from what its disk held. `seed` chooses its election timeouts.
    ///
    /// The founders of a group all start from a snapshot at index 0 that holds the first member
    /// list and no state.
    pub fn new(cfg: Config, recovered: Recovered, seed: u64) -> Self {
        let base = recovered.snapshot.map(|(meta, _)| meta).unwrap_or_default();
        let commit = base.index;
        let log = Log::new(base, recovered.entries);
        // Entries may reach the disk before the term in which they were received.
        let ballot = if log.last_term() > recovered.term {
            Ballot::new(log.last_term(), None)
        } else {
            Ballot::new(recovered.term, recovered.voted_for)
        };
        Self {
            core: Core {
                cfg,
                id: recovered.id,
                now: Millis(0),
                log,
                ballot,
                commit,
                contacts: BTreeMap::new(),
                jitter: Jitter::new(seed),
                out: Vec::new(),
            },
            standing: Standing::Follower,
            leader: None,
            heard: None,
            election_due: Millis(0),
            verified: LogIndex(0),
            round: 0,
        }
    }

    /// Takes in one event at the time `now` and returns what is to be done, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.core.now = self.core.now.max(now);
        if self.heard.is_none() {
            self.follow_from_now();
        }
        let before = self.leader_host();
        self.dispatch(event);
        let leader = self.leader_host();
        if leader != before {
            let term = self.term();
            self.core.out.push(Action::LeaderChanged { term, leader });
        }
        let mut actions = std::mem::take(&mut self.core.out);
        if let Some((term, voted_for)) = self.core.ballot.take_unsent() {
            actions.insert(0, Action::SaveVote { term, voted_for });
        }
        actions
    }

    /// Identity of this replica.
    pub fn id(&self) -> MemberId {
        self.core.id
    }

    /// What this replica does at the moment.
    pub fn role(&self) -> ReplicaRole {
        match self.standing {
            Standing::Follower => ReplicaRole::Follower,
            Standing::Candidate(_) => ReplicaRole::Candidate,
            Standing::Leader(_) => ReplicaRole::Leader,
        }
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.core.term()
    }

    /// Identity of the current leader, if known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Host of the current leader, if known.
    pub fn leader_host(&self) -> Option<HostName> {
        let host = self.core.host_of(self.leader?);
        (!host.as_str().is_empty()).then_some(host)
    }

    /// Last index known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.core.commit
    }

    /// Last index of the own log.
    pub fn last_index(&self) -> LogIndex {
        self.core.log.last_index()
    }

    /// Last index synced on the own disk.
    pub fn synced_index(&self) -> LogIndex {
        self.core.log.synced()
    }

    /// The member list in force.
    pub fn members(&self) -> &Members {
        self.core.log.members()
    }

    /// What a snapshot of the application's state at the applied index `index` covers.
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<SnapshotMeta> {
        self.core.log.meta_at(index)
    }

    /// Time before which no other replica can have been elected; `None` if this one does not lead.
    pub fn lease_until(&self, now: Millis) -> Option<Millis> {
        match &self.standing {
            Standing::Leader(leader) => leader.lease_until(&self.core, now),
            _ => None,
        }
    }

    /// Tells whether this replica leads and no other can lead at `now`, so that a read of its
    /// applied state is not stale.
    pub fn lease_valid(&self, now: Millis) -> bool {
        match &self.standing {
            Standing::Leader(leader) => leader.lease_valid(&self.core, now),
            _ => false,
        }
    }

    /// State of each member for operators.
    pub fn member_status(&self, now: Millis) -> Vec<MemberStatus> {
        let members = self.core.log.members().by_id.iter();
        members
            .map(|(id, member)| {
                let peer = match &self.standing {
                    Standing::Leader(leader) => leader.progress_of(*id),
                    _ => None,
                };
                let own = (*id == self.core.id).then(|| self.core.log.synced());
                MemberStatus {
                    id: *id,
                    host: member.host.clone(),
                    role: member.role,
                    matched: peer.map(|p| p.matched).or(own),
                    silent: peer.map(|p| now.since(p.heard)),
                }
            })
            .collect()
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.on_tick(),
            Event::Receive { from, msg } => self.on_msg(from, msg),
            Event::Contact { id, host } => {
                self.core.contacts.insert(id, host);
            }
            Event::Synced { index, term } => self.on_synced(index, term),
            Event::VoteSynced { term, voted_for } => self.on_vote_synced(term, voted_for),
            Event::SnapshotSaved { meta } => self.on_snapshot_saved(&meta),
            Event::Propose { token, records } => match &mut self.standing {
                Standing::Leader(leader) => leader.propose(&mut self.core, token, records),
                _ => self.core.refuse(token, self.leader),
            },
            Event::Read { token } => match &mut self.standing {
                Standing::Leader(leader) => leader.read(&mut self.core, token),
                _ => self.core.refuse(token, self.leader),
            },
            Event::ChangeMembers { token, members } => match &mut self.standing {
                Standing::Leader(leader) => leader.change_members(&mut self.core, token, members),
                _ => self.core.refuse(token, self.leader),
            },
            Event::AddLearner { token, id, host } => match &mut self.standing {
                Standing::Leader(leader) => leader.add_learner(&mut self.core, token, id, host),
                _ => self.core.refuse(token, self.leader),
            },
            Event::TransferLeadership => {
                if let Standing::Leader(leader) = &mut self.standing {
                    leader.transfer(&mut self.core);
                }
            }
        }
    }

    fn on_tick(&mut self) {
        if let Standing::Leader(leader) = &mut self.standing {
            if !leader.tick(&mut self.core) {
                self.follow(None);
            }
        } else if self.core.now >= self.election_due && self.core.is_voter() {
            self.campaign(true, false);
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
                pre,
                transfer,
            } => self.on_vote(from, term, (last_term, last_index), pre, transfer),
            PeerMsg::VoteReply { term, granted, pre } => {
                self.on_vote_reply(from, term, granted, pre);
            }
            PeerMsg::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                if self.heed_leader(from, term, round) {
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
                    self.enter(term);
                } else if term == self.term()
                    && let Standing::Leader(leader) = &mut self.standing
                {
                    leader.on_reply(&mut self.core, from, matched, index, round);
                }
            }
            PeerMsg::Snapshot { term, meta, state } => {
                if self.heed_leader(from, term, 0) {
                    self.on_snapshot(from, meta, state);
                }
            }
            PeerMsg::TimeoutNow { term } => {
                if term == self.term() && self.leader == Some(from) && self.core.is_voter() {
                    self.campaign(false, true);
                }
            }
        }
    }

    fn on_vote(
        &mut self,
        from: MemberId,
        term: Term,
        last: (Term, LogIndex),
        pre: bool,
        transfer: bool,
    ) {
        let complete = last >= (self.core.log.last_term(), self.core.log.last_index());
        // A leader's lease relies on the voters that answered it to vote for no one else for
        // `election_min`. The term must not change either, or the leader would be deposed.
        let bound = !transfer && self.is_bound_to_leader();
        if bound || term < self.term() || (pre && term == self.term()) {
            self.reply_vote(from, self.term(), false, pre);
            return;
        }
        if pre {
            let shown = if complete { term } else { self.term() };
            self.reply_vote(from, shown, complete, pre);
            return;
        }
        if term > self.term() {
            self.enter(term);
        }
        let voted_for = self.core.ballot.voted_for;
        let granted = complete && voted_for.is_none_or(|id| id == from);
        if granted {
            self.core.ballot.vote(from);
            self.election_due = self.core.now + self.core.election_timeout();
        }
        self.reply_vote(from, term, granted, pre);
    }

    fn reply_vote(&mut self, to: MemberId, term: Term, granted: bool, pre: bool) {
        self.core
            .send(to, PeerMsg::VoteReply { term, granted, pre });
    }

    fn on_vote_reply(&mut self, from: MemberId, term: Term, granted: bool, pre: bool) {
        if !granted {
            if term > self.term() {
                self.enter(term);
            }
            return;
        }
        if let Standing::Candidate(campaign) = &mut self.standing
            && campaign.pre == pre
            && campaign.term == term
        {
            campaign.grant(from);
            self.count_votes();
        }
    }

    fn campaign(&mut self, pre: bool, transfer: bool) {
        let term = self.term().next();
        self.leader = None;
        self.election_due = self.core.now + self.core.election_timeout();
        let mut campaign = Campaign::new(pre, term);
        if pre {
            campaign.grant(self.core.id);
        } else {
            self.core.ballot.enter(term, Some(self.core.id));
        }
        self.standing = Standing::Candidate(campaign);
        for id in self.core.other_voters() {
            let msg = PeerMsg::Vote {
                term,
                last_index: self.core.log.last_index(),
                last_term: self.core.log.last_term(),
                pre,
                transfer,
            };
            self.core.send(id, msg);
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let Standing::Candidate(campaign) = &self.standing else {
            return;
        };
        if !campaign.is_won(self.core.log.members()) {
            return;
        }
        if campaign.pre {
            self.campaign(false, false);
        } else {
            self.leader = Some(self.core.id);
            let leader = Leader::start(&mut self.core);
            self.standing = Standing::Leader(Box::new(leader));
        }
    }

    /// Takes note of a message of a leader; returns false if its term has passed.
    fn heed_leader(&mut self, from: MemberId, term: Term, round: u64) -> bool {
        if term < self.term() {
            let msg = PeerMsg::AppendReply {
                term: self.term(),
                matched: false,
                index: LogIndex(0),
                round: 0,
            };
            self.core.send(from, msg);
            return false;
        }
        if term > self.term() {
            self.enter(term);
        }
        if matches!(self.standing, Standing::Leader(_)) {
            return false;
        }
        if self.leader != Some(from) {
            self.follow(Some(from));
            self.round = 0;
            // Committed entries are in the log of every later leader.
            self.verified = self.core.commit;
        }
        self.follow_from_now();
        self.round = self.round.max(round);
        true
    }

    fn on_append(
        &mut self,
        from: MemberId,
        prev: LogIndex,
        prev_term: Term,
        mut entries: Vec<Entry>,
        commit: LogIndex,
    ) {
        let log = &self.core.log;
        let base = log.base_index();
        if (prev.0 + 1..).zip(&entries).any(|(at, e)| e.index.0 != at) {
            return;
        }
        if prev >= base && log.term_at(prev) != Some(prev_term) {
            let hint = self.match_hint(prev, prev_term);
            self.reply_append(from, false, hint);
            return;
        }
        let end = LogIndex(prev.0 + entries.len() as u64);
        entries.retain(|e| e.index > base && log.term_at(e.index) != Some(e.term));
        self.verified = self.verified.max(end);
        if entries.is_empty() {
            self.acknowledge();
        } else {
            self.append(entries);
        }
        self.core.commit_to(commit.min(self.verified));
    }

    fn append(&mut self, entries: Vec<Entry>) {
        let first = entries[0].index;
        // Going on would lose a committed entry without a trace.
        assert!(
            first > self.core.commit,
            "a leader replaces {first}, which is committed"
        );
        let conflict = first <= self.core.log.last_index();
        if conflict {
            self.core.log.truncate_from(first);
        }
        for entry in &entries {
            self.core.log.push(entry.clone());
        }
        self.core.out.push(Action::Append {
            truncate_from: conflict.then_some(first),
            entries,
        });
    }

    /// Last index at which the leader's log may match, skipping entries of later terms.
    fn match_hint(&self, prev: LogIndex, prev_term: Term) -> LogIndex {
        let log = &self.core.log;
        let mut hint = LogIndex(prev.0.saturating_sub(1)).min(log.last_index());
        while hint > self.core.commit && log.term_at(hint).is_some_and(|t| t > prev_term) {
            hint = LogIndex(hint.0 - 1);
        }
        hint
    }

    fn on_snapshot(&mut self, from: MemberId, meta: SnapshotMeta, state: Bytes) {
        if meta.index <= self.core.commit {
            self.reply_append(from, true, self.synced_match());
            return;
        }
        if self.core.log.term_at(meta.index) == Some(meta.term) {
            self.verified = self.verified.max(meta.index);
            self.core.commit_to(meta.index);
            self.acknowledge();
            return;
        }
        self.core.log.install(meta.clone(), self.core.commit);
        self.core.commit = meta.index;
        self.verified = self.verified.max(meta.index);
        self.core.out.push(Action::InstallSnapshot { meta, state });
    }

    fn on_snapshot_saved(&mut self, meta: &SnapshotMeta) {
        if meta.index > self.core.commit {
            return;
        }
        let keep = self.core.cfg.keep_entries;
        self.core.log.compact(meta.index, keep);
        self.on_progress();
    }

    fn on_synced(&mut self, index: LogIndex, term: Term) {
        if self.core.log.mark_synced(index, term) {
            self.on_progress();
        }
    }

    fn on_progress(&mut self) {
        if let Standing::Leader(leader) = &mut self.standing {
            leader.advance(&mut self.core);
        } else {
            self.acknowledge();
        }
    }

    fn on_vote_synced(&mut self, term: Term, voted_for: Option<MemberId>) {
        for (to, msg) in self.core.ballot.synced(term, voted_for) {
            self.core.send_now(to, msg);
        }
        let id = self.core.id;
        if let Standing::Candidate(campaign) = &mut self.standing
            && !campaign.pre
            && campaign.term == term
            && voted_for == Some(id)
        {
            campaign.grant(id);
            self.count_votes();
        }
    }

    fn acknowledge(&mut self) {
        if let Some(leader) = self.leader {
            self.reply_append(leader, true, self.synced_match());
        }
    }

    /// Last own synced index that is known to match the leader's log.
    fn synced_match(&self) -> LogIndex {
        self.core.log.synced().min(self.verified)
    }

    fn reply_append(&mut self, to: MemberId, matched: bool, index: LogIndex) {
        let msg = PeerMsg::AppendReply {
            term: self.term(),
            matched,
            index,
            round: self.round,
        };
        self.core.send(to, msg);
    }

    /// Tells whether a leader was heard, or this process started, less than `election_min` ago.
    fn is_bound_to_leader(&self) -> bool {
        let heard = |at| self.core.now.since(at) < self.core.cfg.election_min;
        matches!(self.standing, Standing::Leader(_)) || self.heard.is_some_and(heard)
    }

    /// Moves to a higher term, in which no leader is known yet.
    fn enter(&mut self, term: Term) {
        self.core.ballot.enter(term, None);
        self.follow(None);
    }

    fn follow(&mut self, leader: Option<MemberId>) {
        let standing = std::mem::replace(&mut self.standing, Standing::Follower);
        if let Standing::Leader(lost) = standing {
            lost.stop(&mut self.core, leader);
            self.election_due = self.core.now + self.core.election_timeout();
        }
        self.leader = leader;
    }

    fn follow_from_now(&mut self) {
        self.heard = Some(self.core.now);
        self.election_due = self.core.now + self.core.election_timeout();
    }
}
