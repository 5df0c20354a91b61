//! Cost of a durable append: disk sync time, records for each synced batch, and recovery.
//!
//! Usage: `cargo run --release -p tarragon-storage --example commit_cost [FOLDER]`. The folder
//! decides which disk is measured; the default is `target`. Raw writes of the same size to the same
//! disk are the baseline.

use std::{
    env,
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tarragon_agreement::{Entry, Payload, SnapshotMeta};
use tarragon_codes::{Failure, Outcome};
use tarragon_names::{LogIndex, MemberId, Term};
use tarragon_storage::{FileStore, LogStore};

/// Size of a record, about that of a start of a task.
const RECORD_BYTES: usize = 200;

const RECOVERED_RECORDS: u64 = 100_000;

/// Bounds of each measurement, whichever is reached first.
const MAX_BATCHES: usize = 200;
const MAX_TIME: Duration = Duration::from_secs(2);

/// Times of repeated operations, ascending.
struct Times(Vec<Duration>);

impl Times {
    fn measure<F, E>(mut operation: F) -> Result<Self, E>
    where
        F: FnMut() -> Result<(), E>,
    {
        let start = Instant::now();
        let mut times = Vec::new();
        while times.len() < MAX_BATCHES && start.elapsed() < MAX_TIME {
            let before = Instant::now();
            operation()?;
            times.push(before.elapsed());
        }
        times.sort_unstable();
        Ok(Self(times))
    }

    fn percentile(&self, percent: usize) -> Duration {
        self.0[(self.0.len() - 1) * percent / 100]
    }

    fn mean(&self) -> Duration {
        self.0.iter().sum::<Duration>() / self.0.len() as u32
    }
}

fn main() -> Outcome<()> {
    let base = env::args().nth(1).unwrap_or_else(|| "target".to_owned());
    let dir = PathBuf::from(base).join("commit-cost");
    discard(&dir);
    println!("folder {}, records of {RECORD_BYTES} bytes", dir.display());
    println!("batch  raw p50/p99 us     store p50/p99 us   records/s  sync share");
    for shift in 0..=10 {
        compare(&dir, 1 << shift)?;
    }
    recovery(&dir)?;
    snapshot(&dir)?;
    discard(&dir);
    Ok(())
}

/// One line: raw writes and the store with the same number of records for each sync.
fn compare(dir: &Path, batch: u64) -> Outcome<()> {
    discard(dir);
    let mut store = FileStore::create(dir, MemberId(1))?;
    store.recover()?;
    let raw = raw_writes(&dir.with_extension("raw"), batch).map_err(|e| {
        let code = tarragon_codes::Code::DiskFull;
        Failure::new(code, e.to_string())
    })?;
    let mut next = 1;
    let mut syncing = Duration::ZERO;
    let times = Times::measure(|| {
        store.append(&entries(next, batch))?;
        next += batch;
        let before = Instant::now();
        store.sync()?;
        syncing += before.elapsed();
        Outcome::Ok(())
    })?;
    let total: Duration = times.0.iter().sum();
    println!(
        "{batch:>5}  {:>8} {:>8}  {:>8} {:>8}  {:>10.0}  {:>4.0}%",
        raw.percentile(50).as_micros(),
        raw.percentile(99).as_micros(),
        times.percentile(50).as_micros(),
        times.percentile(99).as_micros(),
        batch as f64 / times.mean().as_secs_f64(),
        100.0 * syncing.as_secs_f64() / total.as_secs_f64(),
    );
    Ok(())
}

fn raw_writes(path: &Path, batch: u64) -> io::Result<Times> {
    let block = vec![7; RECORD_BYTES * batch as usize];
    let mut file = File::create(path)?;
    let times = Times::measure(|| {
        file.write_all(&block)?;
        file.sync_data()
    })?;
    fs::remove_file(path)?;
    Ok(times)
}

fn recovery(dir: &Path) -> Outcome<()> {
    discard(dir);
    let mut store = FileStore::create(dir, MemberId(1))?;
    store.recover()?;
    for first in (1..=RECOVERED_RECORDS).step_by(1_000) {
        store.append(&entries(first, 1_000))?;
    }
    store.sync()?;
    drop(store);
    let start = Instant::now();
    let recovered = FileStore::open(dir)?.recover()?;
    let took = start.elapsed();
    println!(
        "recovery of {} records: {took:.1?}",
        recovered.entries.len()
    );
    Ok(())
}

/// A snapshot in the middle of a log; the replica's thread is busy meanwhile.
fn snapshot(dir: &Path) -> Outcome<()> {
    for mb in [1, 8, 32] {
        discard(dir);
        let mut store = FileStore::create(dir, MemberId(1))?;
        store.recover()?;
        store.append(&entries(1, 20_000))?;
        store.sync()?;
        let state = Bytes::from(vec![7; mb << 20]);
        let meta = SnapshotMeta {
            index: LogIndex(19_000),
            term: Term(1),
            ..SnapshotMeta::default()
        };
        let start = Instant::now();
        store.save_snapshot(&meta, &state)?;
        let took = start.elapsed();
        println!("snapshot of {mb} MB with 20,000 entries in the log: {took:.1?}");
    }
    Ok(())
}

fn entries(first: u64, count: u64) -> Vec<Entry> {
    let record = Bytes::from(vec![7; RECORD_BYTES]);
    let entry = |index| Entry {
        term: Term(1),
        index: LogIndex(index),
        payload: Payload::Record(record.clone()),
    };
    (first..first + count).map(entry).collect()
}

fn discard(dir: &Path) {
    if dir.exists() && fs::remove_dir_all(dir).is_err() {
        eprintln!("{} cannot be removed", dir.display());
    }
}
