use std::{
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

use tarragon_names::Name;

use crate::{ExecutorConfig, ExecutorFault, RequestRecord};

/// Maximum number of requests that are recorded; later ones are only counted.
const MAX_RECORDS: usize = 200_000;

/// State that the HTTP server and the announcer of a stand-in executor share.
#[derive(Debug)]
pub(crate) struct ExecutorState {
    pub(crate) cfg: ExecutorConfig,
    pub(crate) busy: AtomicU32,
    pub(crate) open_connections: AtomicU32,
    pub(crate) peak: AtomicU32,
    pub(crate) violations: AtomicU64,
    pub(crate) started_requests: AtomicU64,
    pub(crate) leaving: AtomicBool,
    start: Instant,
    /// Time of the home host's first answer to an announcement of the leave.
    left_at: Mutex<Option<Instant>>,
    /// Current fault, and the number of connections that were accepted before it was set.
    fault: Mutex<(ExecutorFault, u64)>,
    records: Mutex<Vec<RequestRecord>>,
    running: Mutex<Vec<Name>>,
    rng: Mutex<ChaCha8Rng>,
}

/// Slot that a request occupies; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct OccupiedSlot<'a> {
    state: &'a ExecutorState,
    request: Name,
}

impl Drop for OccupiedSlot<'_> {
    fn drop(&mut self) {
        let mut running = self.state.running.lock();
        if let Some(at) = running.iter().position(|id| *id == self.request) {
            running.swap_remove(at);
        }
        self.state.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ExecutorState {
    pub(crate) fn new(cfg: ExecutorConfig) -> Self {
        let seed = cfg.seed;
        Self {
            cfg,
            busy: AtomicU32::new(0),
            open_connections: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            violations: AtomicU64::new(0),
            started_requests: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            start: Instant::now(),
            left_at: Mutex::default(),
            fault: Mutex::default(),
            records: Mutex::default(),
            running: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Acquires a slot. Returns `None` if all are occupied, which counts as a violation by the host
    /// that sent the request.
    pub(crate) fn acquire_slot(&self, request: &str) -> Option<OccupiedSlot<'_>> {
        let slot = OccupiedSlot {
            state: self,
            request: request.into(),
        };
        self.running.lock().push(slot.request.clone());
        let busy = self.busy.fetch_add(1, Ordering::Relaxed) + 1;
        if busy > self.cfg.slots {
            self.violations.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.peak.fetch_max(busy, Ordering::Relaxed);
        Some(slot)
    }

    /// Adds the record of a request, with its times filled in, and returns the number of the request,
    /// counted from 1.
    pub(crate) fn add_record(&self, mut record: RequestRecord) -> u64 {
        let number = self.started_requests.fetch_add(1, Ordering::Relaxed) + 1;
        record.at_ms = self.start.elapsed().as_millis() as u64;
        record.after_leave_ms = self
            .left_at
            .lock()
            .map(|at| at.elapsed().as_millis() as u64);
        let mut records = self.records.lock();
        if records.len() < MAX_RECORDS {
            records.push(record);
        }
        number
    }

    /// Ids of the requests that run now.
    pub(crate) fn running(&self) -> Vec<Name> {
        self.running.lock().clone()
    }

    pub(crate) fn records(&self) -> Vec<RequestRecord> {
        self.records.lock().clone()
    }

    /// Records that the home host has answered an announcement of the leave.
    pub(crate) fn record_leave(&self) {
        self.left_at.lock().get_or_insert_with(Instant::now);
    }

    pub(crate) fn has_left(&self) -> bool {
        self.left_at.lock().is_some()
    }

    /// Sets the fault. `SilentConnections` affects only the connections numbered up to
    /// `last_connection`.
    pub(crate) fn set_fault(&self, fault: ExecutorFault, last_connection: u64) {
        *self.fault.lock() = (fault, last_connection);
    }

    /// Fault that applies to the connection with this number.
    pub(crate) fn fault(&self, connection: u64) -> ExecutorFault {
        match *self.fault.lock() {
            (ExecutorFault::SilentConnections, last) if connection > last => ExecutorFault::None,
            (fault, _) => fault,
        }
    }

    pub(crate) fn random_service_time(&self) -> Duration {
        let mean = self.cfg.service_time.as_micros() as u64;
        let spread = mean * u64::from(self.cfg.spread_percent.min(100)) / 100;
        Duration::from_micros(mean - spread + self.random_up_to(2 * spread))
    }

    pub(crate) fn rejoin_delay(&self) -> Duration {
        Duration::from_millis(self.random_up_to(self.cfg.max_rejoin_delay.as_millis() as u64))
    }

    /// Random number from 0 to `max`.
    fn random_up_to(&self, max: u64) -> u64 {
        self.rng.lock().next_u64() % (max + 1)
    }
}
