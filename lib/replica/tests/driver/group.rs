use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::{JoinHandle, sleep},
    time::{Duration, Instant},
};

use bytes::Bytes;
use parking_lot::Mutex;
use tarragon_agreement::{Config, Member, Members, PeerMsg, Replica, Role, SnapshotMeta};
use tarragon_codes::Outcome;
use tarragon_discovery::LeaderHint;
use tarragon_names::{HostName, LogIndex, MemberId, Millis, Term};
use tarragon_replica::{
    ApplySink, Clock, Growth, LeaderLease, LinkObserver, LinkTiming, Links, ReplicaDriver,
    ReplicaHandle, ReplicaParts, ReplicaStatus, StateLimits, StateMachine, SystemClock,
};
use tarragon_storage::LogStore;
use tarragon_telemetry::{Event, EventId, EventSink, Metrics};
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;

use crate::disk_store::{DiskState, DiskStore};

/// Time after which a wait fails, far above the time that a passing test needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time in which the thread answers a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

const HOST: &str = "a";

const LEARNER_HOST: &str = "b";

/// Waits until a condition holds, and panics after [`WAIT_TIMEOUT`].
pub fn wait_until<F>(condition: &str, holds: F)
where
    F: Fn() -> bool,
{
    let started_at = Instant::now();
    while !holds() {
        let is_late = started_at.elapsed() > WAIT_TIMEOUT;
        assert!(!is_late, "expected within {WAIT_TIMEOUT:?}: {condition}");
        sleep(Duration::from_millis(10));
    }
}

/// State that adds up the numbers of its commands.
#[derive(Debug, Default)]
pub struct Sum(AtomicU64);

impl StateMachine for Sum {
    type Command = u64;
    type Answer = u64;

    fn growth(_: &u64) -> Growth {
        Growth::Work
    }

    fn apply(&self, _: LogIndex, _: u64, command: &u64) -> u64 {
        self.0.fetch_add(*command, Ordering::SeqCst) + command
    }

    fn snapshot(&self) -> Outcome<Bytes> {
        let sum = self.0.load(Ordering::SeqCst);
        Ok(Bytes::copy_from_slice(&sum.to_le_bytes()))
    }

    fn restore(&self, _: &[u8]) -> Outcome<()> {
        Ok(())
    }
}

#[derive(Debug)]
struct Sink {
    disk: DiskState,
    /// Unsynced entries when the replica announced its leadership.
    unsynced: Mutex<Option<usize>>,
}

impl ApplySink<Sum> for Sink {
    fn applied(&self, _: LogIndex, _: &u64, _: &u64) {}

    fn followed(&self, _: &u64) {}

    fn became_leader(&self, _: Term) {
        let unsynced = self.disk.unsynced_entries();
        self.unsynced.lock().get_or_insert(unsynced);
    }

    fn lost_leadership(&self, _: Term) {}

    fn not_proposed(&self, _: Vec<u64>) {}

    fn lease_updated(&self, _: Option<LeaderLease>) {}
}

#[derive(Debug)]
struct NoLinks;

impl LinkObserver for NoLinks {
    fn sent(&self, _: &HostName, _: usize) {}

    fn received(&self, _: &HostName, _: usize) {}

    fn inbound_frame(&self, _: usize) {}

    fn down(&self, _: &HostName) {}

    fn closed_after_silence(&self) {}

    fn dropped(&self, _: &HostName) {}
}

/// Counts events by name.
#[derive(Debug, Default)]
struct Events(Mutex<BTreeMap<&'static str, usize>>);

impl EventSink for Events {
    fn emit(&self, event: &Event) -> EventId {
        *self.0.lock().entry(event.name).or_default() += 1;
        EventId::default()
    }
}

/// Clock that only the test moves.
#[derive(Debug)]
pub struct TestClock(AtomicU64);

impl Clock for TestClock {
    fn now(&self) -> Millis {
        Millis(self.0.load(Ordering::SeqCst))
    }

    fn wall_ms(&self) -> u64 {
        self.now().0
    }
}

impl TestClock {
    pub fn start() -> Arc<Self> {
        Arc::new(Self(AtomicU64::new(1)))
    }

    pub fn advance(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::SeqCst);
    }
}

/// A group of one voter, and of a learner whose part the test plays.
pub struct Group {
    handle: ReplicaHandle<Sum>,
    thread: Option<JoinHandle<()>>,
    sink: Arc<Sink>,
    events: Arc<Events>,
    runtime: Runtime,
    pub metrics: Arc<Metrics>,
}

impl Group {
    pub fn start(disk: &DiskState) -> Self {
        let voters = Self::members(&[(HOST, Role::Voter)]);
        Self::start_members(disk, voters, Arc::new(SystemClock::start()))
    }

    /// Starts the group with a learner, on a clock that the test moves.
    pub fn start_with_learner(disk: &DiskState, clock: Arc<TestClock>) -> Self {
        let members = Self::members(&[(HOST, Role::Voter), (LEARNER_HOST, Role::Learner)]);
        Self::start_members(disk, members, clock)
    }

    fn members(hosts: &[(&str, Role)]) -> Members {
        let ids = (1..).map(MemberId);
        let members = hosts.iter().map(|(host, role)| Member {
            host: HostName::from(*host),
            role: *role,
        });
        Members {
            by_id: ids.zip(members).collect(),
        }
    }

    fn start_members(disk: &DiskState, members: Members, clock: Arc<dyn Clock>) -> Self {
        let mut store = DiskStore(disk.clone());
        let meta = SnapshotMeta {
            members,
            ..SnapshotMeta::default()
        };
        store.save_snapshot(&meta, &Bytes::new()).expect("room");
        let recovered = store.recover().expect("the store never fails");
        let timing = LinkTiming {
            heartbeat_interval: Duration::from_millis(100),
            silence_timeout: Duration::from_secs(20),
        };
        let host = HostName::from(HOST);
        let links = Links::new(host, timing, Arc::new(NoLinks), CancellationToken::new());
        let sink = Arc::new(Sink {
            disk: disk.clone(),
            unsynced: Mutex::default(),
        });
        let events = Arc::new(Events::default());
        let metrics = Arc::new(Metrics::new());
        let parts = ReplicaParts {
            saved_snapshot: recovered.snapshot.clone(),
            replica: Replica::new(Config::default(), recovered, 1),
            limits: StateLimits::new(1 << 30, 1 << 30),
            state: Arc::new(Sum::default()),
            clock,
            links: Arc::new(links),
            sink: Arc::clone(&sink) as _,
            leader_hint: Arc::new(LeaderHint::default()),
            events: Arc::clone(&events) as _,
            metrics: Arc::clone(&metrics),
        };
        let (handle, thread) = ReplicaDriver::start(parts, Box::new(store), LogIndex(0));
        Self {
            handle,
            thread: Some(thread),
            sink,
            events,
            runtime: Builder::new_current_thread()
                .enable_time()
                .build()
                .expect("a runtime"),
            metrics,
        }
    }

    pub fn wait_for_leadership(&self) {
        wait_until("the replica leads", || self.sink.unsynced.lock().is_some());
    }

    /// Number of entries that were not synced when the first entry of the first term committed.
    pub fn entries_unsynced_at_first_commit(&self) -> usize {
        self.sink.unsynced.lock().expect("the replica leads")
    }

    /// Number of events with this name.
    pub fn count(&self, name: &str) -> usize {
        self.events.0.lock().get(name).copied().unwrap_or_default()
    }

    /// Proposes a number and returns the sum after it.
    pub fn add(&self, number: u64) -> Outcome<u64> {
        let proposal = self.handle.propose(0, number, CALL_TIMEOUT);
        self.runtime.block_on(proposal)
    }

    /// Proposes a number without waiting for its result.
    pub fn send(&self, number: u64) {
        let sent = self.handle.propose_for_scheduler(0, number);
        sent.expect("the queue has room");
    }

    /// Answers the leader as the learner, which holds the entries up to `index`, and waits until the
    /// answer is handled.
    pub fn answer_as_learner(&self, index: LogIndex) {
        let term = self.status().term;
        let msg = PeerMsg::AppendReply {
            term,
            matched: true,
            index,
            round: 0,
        };
        let host = HostName::from(LEARNER_HOST);
        self.handle.receive(host, MemberId(2), msg);
        self.status();
    }

    pub fn status(&self) -> ReplicaStatus {
        let status = self.runtime.block_on(self.handle.status(CALL_TIMEOUT));
        status.expect("the thread answers")
    }

    /// Reads as the leader.
    pub fn read(&self) -> Outcome<()> {
        self.runtime.block_on(self.handle.read(CALL_TIMEOUT))
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.handle.stop();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the thread ends");
        }
    }
}
