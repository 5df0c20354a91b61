use std::{
    collections::HashMap,
    process,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, sync_channel},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use bytes::Bytes;
use tarragon_agreement::{Action, Entry, Event, Payload, PeerMsg, Replica, SnapshotMeta};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{HostName, LogIndex, MemberId, Millis, Term};
use tarragon_storage::LogStore;
use tarragon_telemetry::{Event as LogEvent, EventSink, Metrics};
use tarragon_wire::{peer::PeerEvent, record::Record};

use crate::{
    AbortOnPanic, ApplySink, Clock, LeaderHint, Links, ReplicaHandle, StateMachine, input::Input,
    waiters::Waiters,
};

/// Inputs that may wait for the replica's thread; it bounds the memory under overload.
const QUEUE: usize = 16_384;

/// Time between two ticks of the replica.
const TICK: Duration = Duration::from_millis(25);

/// Most inputs handled between two syncs; it bounds how long a heartbeat waits.
const BATCH: usize = 2_048;

/// Entries applied after which the state is saved and the log is cut.
const SNAPSHOT_EVERY: u64 = 20_000;

/// What the replica's thread works with.
#[derive(Debug)]
pub struct ReplicaParts<S>
where
    S: StateMachine,
{
    /// The replica.
    pub replica: Replica,
    /// Its disk.
    pub store: Box<dyn LogStore>,
    /// Latest saved snapshot, for members that need entries from before it.
    pub saved_snapshot: Option<(SnapshotMeta, Bytes)>,
    /// The state that the log builds up.
    pub state: Arc<S>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Links to the other hosts.
    pub links: Arc<Links>,
    /// Observer of the state.
    pub sink: Arc<dyn ApplySink<S>>,
    /// Where to note the leader.
    pub leader_hint: Arc<LeaderHint>,
    /// Where events go.
    pub events: Arc<dyn EventSink>,
    /// Metrics of the host.
    pub metrics: Arc<Metrics>,
}

/// Thread that owns the replica and its disk and carries out the replica's actions.
#[derive(Debug)]
pub struct ReplicaDriver<S>
where
    S: StateMachine,
{
    parts: ReplicaParts<S>,
    waiters: Waiters<S>,
    rx: Receiver<Input<S>>,
    id: MemberId,
    hosts: HashMap<MemberId, HostName>,
    leading: bool,
    applied: LogIndex,
    snapshot: LogIndex,
    unsynced: Option<(LogIndex, Term)>,
    saved_vote: Option<(Term, Option<MemberId>)>,
}

impl<S> ReplicaDriver<S>
where
    S: StateMachine,
{
    /// Starts the thread. `applied` is the index that the state of the cell holds already.
    pub fn start(parts: ReplicaParts<S>, applied: LogIndex) -> (ReplicaHandle<S>, JoinHandle<()>) {
        let (tx, rx) = sync_channel(QUEUE);
        let id = parts.replica.id();
        let driver = Self {
            parts,
            waiters: Waiters::default(),
            rx,
            id,
            hosts: HashMap::new(),
            leading: false,
            applied,
            snapshot: applied,
            unsynced: None,
            saved_vote: None,
        };
        let spawned = thread::Builder::new()
            .name("replica".to_owned())
            .spawn(|| driver.run());
        let thread = spawned.expect("the process may start a thread at its start");
        (ReplicaHandle::new(tx), thread)
    }

    fn run(mut self) {
        let _guard = AbortOnPanic;
        // The replica takes its first reading of the clock before any message.
        if let Err(failure) = self.step(Event::Tick) {
            self.fail(&failure);
        }
        loop {
            match self.turn() {
                Ok(true) => {}
                Ok(false) => return,
                Err(failure) => self.fail(&failure),
            }
        }
    }

    /// Ends the process: after a failed write or sync the page cache cannot be trusted, so the
    /// host has to start again from what the disk holds.
    fn fail(&self, failure: &Failure) -> ! {
        let event = LogEvent::error("storage_failed").code(failure.code.number());
        self.parts.events.emit(&event.detail(failure.cause.clone()));
        // The event thread needs a moment to write the line.
        thread::sleep(Duration::from_millis(100));
        process::exit(3)
    }

    /// Handles one batch of inputs; false at the stop.
    fn turn(&mut self) -> Outcome<bool> {
        let mut inputs = Vec::new();
        match self.rx.recv_timeout(TICK) {
            Ok(input) => inputs.push(input),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return Ok(false),
        }
        inputs.extend(self.rx.try_iter().take(BATCH));

        let mut records = Vec::new();
        let mut waiters = Vec::new();
        for input in inputs {
            match input {
                Input::Propose { record, waiter } => {
                    records.push(record);
                    waiters.push(waiter);
                }
                Input::Stop => return Ok(false),
                other => self.input(other)?,
            }
        }
        if !records.is_empty() {
            let token = self.waiters.add_batch(waiters);
            self.step(Event::Propose { token, records })?;
        }
        self.step(Event::Tick)?;
        self.sync()?;
        self.save_snapshot_if_due()?;
        self.parts.sink.leader_until(self.leader_until());
        Ok(true)
    }

    fn leader_until(&self) -> Millis {
        let now = self.parts.clock.now();
        self.parts.replica.lease_until(now).unwrap_or_default()
    }

    fn input(&mut self, input: Input<S>) -> Outcome<()> {
        match input {
            Input::Event(event) => self.step(event),
            Input::Message { host, from, msg } => {
                self.note_contact(from, host)?;
                self.step(Event::Receive { from, msg })
            }
            Input::Read(waiter) => {
                let token = self.waiters.add_done(waiter);
                self.step(Event::Read { token })
            }
            Input::Change { members, waiter } => {
                let token = self.waiters.add_done(waiter);
                self.step(Event::ChangeMembers { token, members })
            }
            Input::Join { id, host, waiter } => {
                let token = self.waiters.add_done(waiter);
                self.step(Event::AddLearner { token, id, host })
            }
            Input::Inspect(look) => {
                look(&self.parts.replica, self.parts.clock.now());
                Ok(())
            }
            Input::Propose { .. } | Input::Stop => Ok(()),
        }
    }

    fn step(&mut self, event: Event) -> Outcome<()> {
        let now = self.parts.clock.now();
        let actions = self.parts.replica.step(now, event);
        actions.into_iter().try_for_each(|action| self.act(action))
    }

    /// Syncs what was written in this turn, once, and tells the replica.
    fn sync(&mut self) -> Outcome<()> {
        while self.unsynced.is_some() || self.saved_vote.is_some() {
            if self.unsynced.is_some() {
                let _timer = self.parts.metrics.sync_time.start_timer();
                self.parts.store.sync()?;
            }
            if let Some((term, voted_for)) = self.saved_vote.take() {
                self.step(Event::VoteSynced { term, voted_for })?;
            }
            if let Some((index, term)) = self.unsynced.take() {
                self.step(Event::Synced { index, term })?;
            }
        }
        Ok(())
    }

    fn act(&mut self, action: Action) -> Outcome<()> {
        match action {
            Action::Send { to, host, msg } => self.send(to, &host, msg),
            Action::SaveVote { term, voted_for } => {
                self.parts.store.save_vote(term, voted_for)?;
                self.saved_vote = Some((term, voted_for));
            }
            Action::Append {
                truncate_from,
                entries,
            } => self.append(truncate_from, &entries)?,
            Action::Apply { entries } => entries.iter().try_for_each(|e| self.apply(e))?,
            Action::InstallSnapshot { meta, state } => self.install(&meta, state)?,
            Action::SendSnapshot { to, host, term } => self.send_snapshot(to, &host, term),
            Action::Proposed { token, first, term } => self.waiters.appended(token, first, term),
            Action::Done { token, index } => self.waiters.done(token, index, self.applied),
            Action::Refused { token, leader } => {
                let is_busy = leader.as_ref() == Some(self.parts.links.own_host());
                let commands = self.waiters.refused(token, is_busy);
                if !commands.is_empty() {
                    self.parts.sink.not_proposed(commands);
                }
            }
            Action::BecameLeader { term } => {
                self.leading = true;
                self.parts.metrics.elections.inc();
                self.parts.metrics.leading.set(1);
                self.parts.metrics.term.set(term.0 as i64);
                self.emit(
                    &LogEvent::info("became_leader")
                        .term(term)
                        .index(self.applied),
                );
                self.parts.sink.became_leader(term);
            }
            Action::LostLeadership { term } => {
                self.leading = false;
                self.parts.metrics.leading.set(0);
                self.emit(&LogEvent::info("lost_leadership").term(term));
                self.parts.sink.lost_leadership(term);
            }
            Action::LeaderChanged {
                term,
                leader: Some(leader),
            } => {
                self.emit(
                    &LogEvent::info("leader_changed")
                        .term(term)
                        .peer(leader.clone()),
                );
                self.parts.leader_hint.set(term, &leader);
            }
            Action::LeaderChanged { leader: None, .. } => self.parts.leader_hint.clear(),
        }
        Ok(())
    }

    /// Tells the replica where a member is; a new one holds no member list yet.
    fn note_contact(&mut self, id: MemberId, host: HostName) -> Outcome<()> {
        if self.hosts.get(&id) == Some(&host) {
            return Ok(());
        }
        self.hosts.insert(id, host.clone());
        self.step(Event::HostLearned { id, host })
    }

    fn send(&self, to: MemberId, host: &HostName, msg: PeerMsg) {
        let event = PeerEvent::Agreement {
            from: self.id,
            to,
            msg,
        };
        self.parts.links.send(host, event);
    }

    fn append(&mut self, truncate_from: Option<LogIndex>, entries: &[Entry]) -> Outcome<()> {
        if let Some(index) = truncate_from {
            self.parts.store.truncate_from(index)?;
        }
        self.parts.store.append(entries)?;
        if let Some(last) = entries.last() {
            self.unsynced = Some((last.index, last.term));
        }
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) -> Outcome<()> {
        let mut result = None;
        if let Payload::Record(buf) = &entry.payload {
            let record = Record::<S::Command>::decode(buf)
                .map_err(|e| Failure::new(Code::CorruptRecord, format!("{}: {e}", entry.index)))?;
            let answer = self
                .parts
                .state
                .apply(entry.index, record.at_ms, &record.command);
            if self.leading {
                self.parts
                    .sink
                    .applied(entry.index, &record.command, &answer);
            }
            result = Some(answer);
        }
        self.applied = entry.index;
        self.parts.metrics.commits.inc();
        self.waiters.applied(entry.index, entry.term, result);
        Ok(())
    }

    fn install(&mut self, meta: &SnapshotMeta, state: Bytes) -> Outcome<()> {
        self.parts.store.save_snapshot(meta, &state)?;
        self.parts.state.restore(&state)?;
        self.parts.saved_snapshot = Some((meta.clone(), state));
        self.applied = meta.index;
        self.snapshot = meta.index;
        self.waiters.forget();
        self.emit(&LogEvent::info("snapshot_installed").index(meta.index));
        self.step(Event::SnapshotSaved { meta: meta.clone() })
    }

    fn send_snapshot(&self, to: MemberId, host: &HostName, term: Term) {
        if let Some((meta, state)) = self.parts.saved_snapshot.clone() {
            self.send(to, host, PeerMsg::Snapshot { term, meta, state });
        }
    }

    fn save_snapshot_if_due(&mut self) -> Outcome<()> {
        if self.applied.0 < self.snapshot.0 + SNAPSHOT_EVERY {
            return Ok(());
        }
        let Some(meta) = self.parts.replica.snapshot_meta(self.applied) else {
            return Ok(());
        };
        let state = self.parts.state.snapshot()?;
        self.parts.store.save_snapshot(&meta, &state)?;
        self.parts.saved_snapshot = Some((meta.clone(), state));
        self.snapshot = self.applied;
        self.emit(&LogEvent::info("snapshot_saved").index(meta.index));
        self.step(Event::SnapshotSaved { meta })
    }

    fn emit(&self, event: &LogEvent) {
        self.parts.events.emit(event);
    }
}
