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

use crate::{ExecutorConfig, ExecutorFault, ExecutorRecord};

/// Most requests that the record holds; later ones are only counted.
const RECORDS: usize = 200_000;

/// What server and announcer of a stand-in executor share.
#[derive(Debug)]
pub(crate) struct ExecutorState {
    pub(crate) cfg: ExecutorConfig,
    pub(crate) busy: AtomicU32,
    pub(crate) open: AtomicU32,
    pub(crate) peak: AtomicU32,
    pub(crate) violations: AtomicU64,
    pub(crate) ran: AtomicU64,
    pub(crate) leaving: AtomicBool,
    start: Instant,
    left_at: Mutex<Option<Instant>>,
    fault: Mutex<(ExecutorFault, u64)>,
    records: Mutex<Vec<ExecutorRecord>>,
    running: Mutex<Vec<Name>>,
    rng: Mutex<ChaCha8Rng>,
}

/// A slot of the executor while a request runs in it.
#[derive(Debug)]
pub(crate) struct Busy<'a> {
    state: &'a ExecutorState,
    request: Name,
}

impl Drop for Busy<'_> {
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
            open: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            violations: AtomicU64::new(0),
            ran: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            start: Instant::now(),
            left_at: Mutex::default(),
            fault: Mutex::default(),
            records: Mutex::default(),
            running: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Takes a slot; a request beyond the slots is a violation by the host that sent it.
    pub(crate) fn enter(&self, request: &str) -> Option<Busy<'_>> {
        let slot = Busy {
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

    /// Keeps the record of a request and gives the request's number.
    pub(crate) fn record(&self, mut record: ExecutorRecord) -> u64 {
        let number = self.ran.fetch_add(1, Ordering::Relaxed) + 1;
        record.at_ms = self.start.elapsed().as_millis() as u64;
        record.after_leave_ms = self
            .left_at
            .lock()
            .map(|at| at.elapsed().as_millis() as u64);
        let mut records = self.records.lock();
        if records.len() < RECORDS {
            records.push(record);
        }
        number
    }

    /// Ids of the requests that run now.
    pub(crate) fn running(&self) -> Vec<Name> {
        self.running.lock().clone()
    }

    pub(crate) fn records(&self) -> Vec<ExecutorRecord> {
        self.records.lock().clone()
    }

    /// Notes that the home was told of the leave.
    pub(crate) fn left(&self) {
        self.left_at.lock().get_or_insert_with(Instant::now);
    }

    pub(crate) fn has_left(&self) -> bool {
        self.left_at.lock().is_some()
    }

    /// Begins a fault on all connections, or only on those numbered up to `connections`.
    pub(crate) fn set_fault(&self, fault: ExecutorFault, connections: u64) {
        *self.fault.lock() = (fault, connections);
    }

    pub(crate) fn fault(&self, connection: u64) -> ExecutorFault {
        match *self.fault.lock() {
            (ExecutorFault::SilentConnections, last) if connection > last => ExecutorFault::None,
            (fault, _) => fault,
        }
    }

    pub(crate) fn service_time(&self) -> Duration {
        let mean = self.cfg.service_time.as_micros() as u64;
        let spread = mean * u64::from(self.cfg.spread_percent.min(100)) / 100;
        Duration::from_micros(mean - spread + self.draw(2 * spread))
    }

    pub(crate) fn rejoin_delay(&self) -> Duration {
        Duration::from_millis(self.draw(self.cfg.max_rejoin_delay.as_millis() as u64))
    }

    fn draw(&self, most: u64) -> u64 {
        self.rng.lock().next_u64() % (most + 1)
    }
}
