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
use tarragon_agreement::{Config, Member, Members, Replica, Role, SnapshotMeta};
use tarragon_codes::Outcome;
use tarragon_discovery::LeaderHint;
use tarragon_names::{HostName, LogIndex, MemberId, Term};
use tarragon_replica::{
    ApplySink, Growth, LeaderLease, LinkObserver, LinkTiming, Links, ReplicaDriver, ReplicaHandle,
    ReplicaParts, StateLimits, StateMachine, SystemClock,
};
use tarragon_storage::LogStore;
use tarragon_telemetry::{Event, EventId, EventSink, Metrics};
use tokio_util::sync::CancellationToken;

use crate::disk_store::{DiskState, DiskStore};

/// Time after which a wait fails, far above the time that a passing test needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const HOST: &str = "a";

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

#[derive(Debug)]
struct NoEvents;

impl EventSink for NoEvents {
    fn emit(&self, _: &Event) -> EventId {
        EventId::default()
    }
}

/// A group of one voter.
pub struct Group {
    handle: ReplicaHandle<Sum>,
    thread: Option<JoinHandle<()>>,
    sink: Arc<Sink>,
}

impl Group {
    pub fn start(disk: &DiskState) -> Self {
        let mut store = DiskStore(disk.clone());
        let member = Member {
            host: HostName::from(HOST),
            role: Role::Voter,
        };
        let meta = SnapshotMeta {
            members: Members {
                by_id: BTreeMap::from([(MemberId(1), member)]),
            },
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
        let parts = ReplicaParts {
            saved_snapshot: recovered.snapshot.clone(),
            replica: Replica::new(Config::default(), recovered, 1),
            store: Box::new(store),
            limits: StateLimits::new(1 << 30, 1 << 30),
            state: Arc::new(Sum::default()),
            clock: Arc::new(SystemClock::start()),
            links: Arc::new(links),
            sink: Arc::clone(&sink) as _,
            leader_hint: Arc::new(LeaderHint::default()),
            events: Arc::new(NoEvents),
            metrics: Arc::new(Metrics::new()),
        };
        let (handle, thread) = ReplicaDriver::start(parts, LogIndex(0));
        Self {
            handle,
            thread: Some(thread),
            sink,
        }
    }

    pub fn wait_for_leadership(&self) {
        wait_until("the replica leads", || self.sink.unsynced.lock().is_some());
    }

    /// Number of entries that were not synced when the first entry of the first term committed.
    pub fn entries_unsynced_at_first_commit(&self) -> usize {
        self.sink.unsynced.lock().expect("the replica leads")
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
