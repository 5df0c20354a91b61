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
use tarragon_discovery::LeaderHint;
use tarragon_names::{HostName, LogIndex, MemberId, Millis, Term};
use tarragon_storage::LogStore;
use tarragon_telemetry::{Event as LogEvent, EventSink, Metrics};
use tarragon_wire::{peer::PeerEvent, record::Record};

use crate::{
    AbortOnPanic, ApplySink, Clock, Growth, GrowthRoom, LeaderLease, Links, ReplicaHandle,
    StateLimits, StateMachine, input::Input, lag_monitor::LagMonitor,
    proposal_batch::ProposalBatch, store_writer::StoreWriter, waiters::Waiters,
};

/// Inputs that may be queued for the replica's thread. Bounds memory use under overload.
const MAX_QUEUED_INPUTS: usize = 16_384;

/// Maximum time between two ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of queued inputs handled together with the first one before the next sync. Bounds
/// the delay of a heartbeat.
const MAX_BATCH_INPUTS: usize = 2_048;

/// Applied entries after which a snapshot is saved and the log is truncated, even if the log is
/// small. Bounds the time that a start needs to apply the log.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 20_000;

/// Time between two snapshots that are made for want of room, and from a snapshot that found the disk
/// full to the next attempt. Each holds up the replica.
const SNAPSHOT_PAUSE: Millis = Millis(1_000);

/// Components that the replica's thread uses.
#[derive(Debug)]
pub struct ReplicaParts<S>
where
    S: StateMachine,
{
    /// Consensus state machine, restored from the store.
    pub replica: Replica,
    /// Limits of the log and the snapshot in the store.
    pub limits: StateLimits,
    /// Latest saved snapshot, sent to members that need entries already deleted from the log.
    pub saved_snapshot: Option<(SnapshotMeta, Bytes)>,
    /// State to which committed commands are applied.
    pub state: Arc<S>,
    /// Clock whose readings drive the timers and the lease of the replica.
    pub clock: Arc<dyn Clock>,
    /// Links on which messages to other members are sent.
    pub links: Arc<Links>,
    /// Observer of applied commands and of leadership.
    pub sink: Arc<dyn ApplySink<S>>,
    /// Last known leader; the thread keeps it up to date.
    pub leader_hint: Arc<LeaderHint>,
    /// Sink for log events.
    pub events: Arc<dyn EventSink>,
    /// Metrics of the host.
    pub metrics: Arc<Metrics>,
}

/// Thread that owns the replica and its store and executes the replica's actions.
#[derive(Debug)]
pub struct ReplicaDriver<S>
where
    S: StateMachine,
{
    parts: ReplicaParts<S>,
    writer: StoreWriter,
    waiters: Waiters<S>,
    rx: Receiver<Input<S>>,
    id: MemberId,
    hosts: HashMap<MemberId, HostName>,
    is_leader: bool,
    applied_index: LogIndex,
    snapshot_index: LogIndex,
    /// Size that the latest snapshot left in the log, in bytes.
    kept_log_bytes: u64,
    /// Time before which no snapshot is made, because the last attempt found the disk full.
    snapshot_retry_at: Millis,
    /// Time before which no snapshot is made for want of room alone.
    room_snapshot_at: Millis,
    /// Whether a proposal was refused for want of room since the latest snapshot, which may free some.
    is_room_wanted: bool,
    lag_monitor: LagMonitor,
    /// Whether the replica was told that the disk refuses writes.
    is_disk_full: bool,
}

impl<S> ReplicaDriver<S>
where
    S: StateMachine,
{
    /// Starts the thread. `store` holds the durable log, vote and snapshot of the replica;
    /// `applied_index` is the last log index already applied to the state.
    pub fn start(
        parts: ReplicaParts<S>,
        store: Box<dyn LogStore>,
        applied_index: LogIndex,
    ) -> (ReplicaHandle<S>, JoinHandle<()>) {
        let (tx, rx) = sync_channel(MAX_QUEUED_INPUTS);
        let id = parts.replica.id();
        let lag_monitor = LagMonitor::new(Arc::clone(&parts.events), Arc::clone(&parts.metrics));
        let driver = Self {
            parts,
            writer: StoreWriter::new(store),
            waiters: Waiters::default(),
            rx,
            id,
            hosts: HashMap::new(),
            is_leader: false,
            applied_index,
            snapshot_index: applied_index,
            kept_log_bytes: 0,
            snapshot_retry_at: Millis(0),
            room_snapshot_at: Millis(0),
            is_room_wanted: false,
            lag_monitor,
            is_disk_full: false,
        };
        let spawned = thread::Builder::new()
            .name("replica".to_owned())
            .spawn(|| driver.run());
        let thread = spawned.expect("failed to spawn the replica thread");
        (ReplicaHandle::new(tx), thread)
    }

    fn run(mut self) {
        let _guard = AbortOnPanic;
        // The first event must be a tick, which sets the start time of the replica.
        if let Err(failure) = self.step(Event::Tick) {
            self.exit_on_failure(&failure);
        }
        loop {
            match self.handle_batch() {
                Ok(true) => {}
                Ok(false) => return,
                Err(failure) => self.exit_on_failure(&failure),
            }
        }
    }

    /// Ends the process. After a failed write or sync the page cache may differ from the disk, so
    /// the host has to restart and recover from the disk.
    fn exit_on_failure(&self, failure: &Failure) -> ! {
        let event = LogEvent::error("storage_failed").code(failure.code.number());
        self.parts.events.emit(&event.detail(failure.cause.clone()));
        // Leaves the event thread time to write the line.
        thread::sleep(Duration::from_millis(100));
        process::exit(3)
    }

    /// Handles one batch of inputs. Returns false once the thread has to end.
    fn handle_batch(&mut self) -> Outcome<bool> {
        let mut inputs = Vec::new();
        self.writer.retry(self.parts.clock.now())?;
        match self.rx.recv_timeout(TICK_INTERVAL) {
            Ok(input) => inputs.push(input),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return Ok(false),
        }
        inputs.extend(self.rx.try_iter().take(MAX_BATCH_INPUTS));

        let mut batch = ProposalBatch::default();
        let mut growing_batch = ProposalBatch::default();
        let mut room = self.growth_room();
        for input in inputs {
            match input {
                Input::Propose {
                    record,
                    growth,
                    waiter,
                } => {
                    // Another host refuses all proposals, as one that does not lead.
                    if !self.is_leader || growth == Growth::None {
                        batch.push(record, waiter);
                    } else if let Err(failure) = room.take(growth, record.len() as u64) {
                        self.parts.metrics.count_refusal(failure.code.number());
                        self.is_room_wanted |= failure.code == Code::StateFull;
                        waiter.refuse(failure);
                    } else {
                        growing_batch.push(record, waiter);
                    }
                }
                Input::Stop => return Ok(false),
                other => self.handle_input(other)?,
            }
        }
        // In a batch of their own, so that they are not refused together with those that grow.
        self.propose(batch)?;
        self.propose(growing_batch)?;
        self.step(Event::Tick)?;
        self.sync()?;
        self.save_snapshot_if_due()?;
        self.update_size_metrics();
        let now = self.parts.clock.now();
        self.lag_monitor.observe(&self.parts.replica, now);
        self.parts.sink.lease_updated(self.leader_lease());
        Ok(true)
    }

    fn propose(&mut self, batch: ProposalBatch<S>) -> Outcome<()> {
        if batch.records.is_empty() {
            return Ok(());
        }
        let token = self.waiters.add_batch(batch.waiters);
        let records = batch.records;
        self.step(Event::Propose { token, records })
    }

    fn growth_room(&self) -> GrowthRoom {
        let uncommitted = self.parts.replica.uncommitted_bytes() as u64;
        if self.is_disk_full {
            return GrowthRoom::closed(self.parts.limits);
        }
        GrowthRoom::new(self.parts.limits, self.writer.sizes(), uncommitted)
    }

    fn leader_lease(&self) -> Option<LeaderLease> {
        let replica = &self.parts.replica;
        let until = replica.lease_until(self.parts.clock.now())?;
        Some(LeaderLease::new(replica.term(), until))
    }

    fn handle_input(&mut self, input: Input<S>) -> Outcome<()> {
        match input {
            Input::Event(event) => self.step(event),
            Input::Message { host, from, msg } => {
                self.learn_host(from, host)?;
                self.step(Event::Receive { from, msg })
            }
            Input::Read(waiter) => {
                let token = self.waiters.add_request(waiter);
                self.step(Event::Read { token })
            }
            Input::Change { members, waiter } => {
                let token = self.waiters.add_request(waiter);
                self.step(Event::ChangeMembers { token, members })
            }
            Input::Join { id, host, waiter } => {
                let token = self.waiters.add_request(waiter);
                self.step(Event::AddLearner { token, id, host })
            }
            Input::Inspect(inspection) => {
                inspection(&self.parts.replica, self.parts.clock.now());
                Ok(())
            }
            Input::Propose { .. } | Input::Stop => Ok(()),
        }
    }

    fn step(&mut self, event: Event) -> Outcome<()> {
        let now = self.parts.clock.now();
        let actions = self.parts.replica.step(now, event);
        actions
            .into_iter()
            .try_for_each(|action| self.execute(action))
    }

    /// Syncs the writes of the current batch and reports them to the replica. Repeats while the
    /// reports cause further writes.
    fn sync(&mut self) -> Outcome<()> {
        loop {
            self.report_disk_state()?;
            let needs_sync = self.writer.needs_sync();
            let timer = needs_sync.then(|| self.parts.metrics.sync_time.start_timer());
            let reports = self.writer.sync()?;
            drop(timer);
            if reports.is_empty() {
                return Ok(());
            }
            for report in reports {
                self.step(report)?;
            }
        }
    }

    /// Tells the replica and the operator when the disk becomes full and when it has room again.
    fn report_disk_state(&mut self) -> Outcome<()> {
        let is_full = self.writer.refusal().is_some();
        if is_full == self.is_disk_full {
            return Ok(());
        }
        self.is_disk_full = is_full;
        // A log that grows for a second before the next attempt may leave no room for a snapshot.
        self.snapshot_retry_at = Millis(0);
        self.parts.metrics.disk_full.set(i64::from(is_full));
        let event = match self.writer.refusal() {
            Some(refusal) => LogEvent::error("disk_full")
                .code(refusal.code.number())
                .detail(refusal.cause.clone()),
            None => LogEvent::info("disk_writable"),
        };
        self.emit(&event.index(self.applied_index));
        self.step(Event::DiskState { is_full })
    }

    fn execute(&mut self, action: Action) -> Outcome<()> {
        match action {
            Action::Send { to, host, msg } => self.send(to, &host, msg),
            Action::SaveVote { term, voted_for } => {
                self.writer.save_vote(term, voted_for)?;
            }
            Action::Append {
                truncate_from,
                entries,
            } => self.writer.append(truncate_from, entries)?,
            Action::Apply { entries } => entries.iter().try_for_each(|e| self.apply(e))?,
            Action::InstallSnapshot { meta, state } => self.install_snapshot(meta, state)?,
            Action::SendSnapshot { to, host, term } => self.send_snapshot(to, &host, term),
            Action::Proposed { token, first, term } => self.waiters.appended(token, first, term),
            Action::Done { token, index } => self.waiters.done(token, index, self.applied_index),
            Action::Refused { token, leader } => {
                let is_busy = leader.as_ref() == Some(self.parts.links.own_host());
                let commands = self.waiters.refused(token, is_busy);
                if !commands.is_empty() {
                    self.parts.sink.not_proposed(commands);
                }
            }
            Action::BecameLeader { term } => {
                self.is_leader = true;
                self.parts.metrics.elections.inc();
                self.parts.metrics.leading.set(1);
                self.parts.metrics.term.set(term.0 as i64);
                self.emit(
                    &LogEvent::info("became_leader")
                        .term(term)
                        .index(self.applied_index),
                );
                self.parts.sink.became_leader(term);
            }
            Action::LostLeadership { term } => {
                self.is_leader = false;
                self.parts.metrics.leading.set(0);
                self.emit(&LogEvent::info("lost_leadership").term(term));
                self.parts.sink.lost_leadership(term);
            }
            // The rest of the batch may take long: it syncs the log and may save a snapshot.
            Action::LeaseEnded => self.parts.sink.lease_updated(None),
            Action::LeaderChanged {
                term,
                leader: Some(leader),
            } => {
                self.emit(
                    &LogEvent::info("leader_changed")
                        .term(term)
                        .peer(leader.clone()),
                );
                self.parts.leader_hint.follow(term, &leader);
            }
            Action::LeaderChanged { leader: None, .. } => self.parts.leader_hint.unfollow(),
        }
        Ok(())
    }

    /// Reports the host of a member to the replica. A joining replica needs it to reply to members,
    /// because it has no member list yet.
    fn learn_host(&mut self, id: MemberId, host: HostName) -> Outcome<()> {
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

    fn apply(&mut self, entry: &Entry) -> Outcome<()> {
        let mut result = None;
        if let Payload::Record(buf) = &entry.payload {
            let record = Record::<S::Command>::decode(buf)
                .map_err(|e| Failure::new(Code::CorruptRecord, format!("{}: {e}", entry.index)))?;
            let answer = self
                .parts
                .state
                .apply(entry.index, record.at_ms, &record.command);
            if self.is_leader {
                self.parts
                    .sink
                    .applied(entry.index, &record.command, &answer);
            } else {
                self.parts.sink.followed(&record.command);
            }
            result = Some(answer);
        }
        self.applied_index = entry.index;
        self.parts.metrics.commits.inc();
        self.waiters.applied(entry.index, entry.term, result);
        Ok(())
    }

    fn install_snapshot(&mut self, meta: SnapshotMeta, state: Bytes) -> Outcome<()> {
        self.writer.install_snapshot(meta.clone(), state.clone())?;
        self.parts.state.restore(&state)?;
        self.applied_index = meta.index;
        self.snapshot_index = meta.index;
        self.kept_log_bytes = self.writer.sizes().log_bytes;
        self.waiters.fail_unapplied();
        self.emit(&LogEvent::info("snapshot_installed").index(meta.index));
        self.parts.saved_snapshot = Some((meta, state));
        Ok(())
    }

    fn send_snapshot(&self, to: MemberId, host: &HostName, term: Term) {
        if let Some((meta, state)) = self.parts.saved_snapshot.clone() {
            self.send(to, host, PeerMsg::Snapshot { term, meta, state });
        }
    }

    fn save_snapshot_if_due(&mut self) -> Outcome<()> {
        let now = self.parts.clock.now();
        let entries = self.applied_index.0 - self.snapshot_index.0;
        let (limits, sizes) = (self.parts.limits, self.writer.sizes());
        let is_due = entries >= SNAPSHOT_INTERVAL_ENTRIES
            || limits.is_snapshot_due(sizes, self.kept_log_bytes)
            || ((self.is_room_wanted || self.is_disk_full) && now >= self.room_snapshot_at);
        if entries == 0 || !is_due || now < self.snapshot_retry_at {
            return Ok(());
        }
        let Some(meta) = self.parts.replica.snapshot_meta(self.applied_index) else {
            return Ok(());
        };
        match self.save_snapshot(&meta) {
            // The log stays as it is. It is cut once there is room, and until then it takes no more
            // than the limit.
            Err(failure) if failure.code.is_refused_write() => {
                self.snapshot_retry_at = self.parts.clock.now() + SNAPSHOT_PAUSE;
                let event = LogEvent::error("snapshot_failed").code(failure.code.number());
                self.emit(&event.index(meta.index).detail(failure.cause));
                Ok(())
            }
            Err(failure) => Err(failure),
            Ok(()) => {
                self.snapshot_index = meta.index;
                self.kept_log_bytes = self.writer.sizes().log_bytes;
                // Counted from the end, since a snapshot on a slow disk takes longer than the pause.
                self.room_snapshot_at = self.parts.clock.now() + SNAPSHOT_PAUSE;
                self.is_room_wanted = false;
                self.step(Event::SnapshotSaved { meta })
            }
        }
    }

    fn save_snapshot(&mut self, meta: &SnapshotMeta) -> Outcome<()> {
        let timer = self.parts.metrics.snapshot_time.start_timer();
        let state = self.parts.state.snapshot()?;
        self.writer.save_snapshot(meta, &state)?;
        let seconds = timer.stop_and_record();
        self.parts.saved_snapshot = Some((meta.clone(), state));
        let sizes = self.writer.sizes();
        let event = LogEvent::info("snapshot_saved").index(meta.index);
        self.emit(&event.detail(format!(
            "log {} bytes, snapshot {} bytes, {seconds:.3} s",
            sizes.log_bytes, sizes.snapshot_bytes
        )));
        Ok(())
    }

    fn update_size_metrics(&self) {
        let sizes = self.writer.sizes();
        let metrics = &self.parts.metrics;
        metrics.log_bytes.set(sizes.log_bytes as i64);
        metrics.snapshot_bytes.set(sizes.snapshot_bytes as i64);
        let limit = self.parts.limits.max_bytes();
        metrics.state_limit_bytes.set(limit as i64);
    }

    fn emit(&self, event: &LogEvent) {
        self.parts.events.emit(event);
    }
}
