//! Measures the cost of durable appends by batch size, of recovery and of snapshots.
//!
//! Usage: `cargo run --release -p tarragon-storage --example commit_cost [FOLDER]`. The folder
//! selects the disk to measure; the default is `target`. The baseline is raw writes of the same
//! size to the same disk.

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

/// Size of a record, close to that of the record that starts a task.
const RECORD_BYTES: usize = 200;

const RECOVERED_RECORDS: u64 = 100_000;

/// A measurement ends at the first of these two limits.
const MAX_BATCHES: usize = 200;
const MAX_MEASUREMENT_TIME: Duration = Duration::from_secs(2);

/// Durations of repeated operations, in ascending order.
struct Times(Vec<Duration>);

impl Times {
    fn measure<F, E>(mut operation: F) -> Result<Self, E>
    where
        F: FnMut() -> Result<(), E>,
    {
        let start = Instant::now();
        let mut times = Vec::new();
        while times.len() < MAX_BATCHES && start.elapsed() < MAX_MEASUREMENT_TIME {
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
    remove_dir(&dir);
    println!("folder {}, records of {RECORD_BYTES} bytes", dir.display());
    println!("batch  raw p50/p99 us     store p50/p99 us   records/s  sync share");
    for shift in 0..=10 {
        compare_batch(&dir, 1 << shift)?;
    }
    measure_recovery(&dir)?;
    measure_snapshot(&dir)?;
    remove_dir(&dir);
    Ok(())
}

/// Prints one line that compares raw writes with the store, both with `batch` records per sync.
fn compare_batch(dir: &Path, batch: u64) -> Outcome<()> {
    remove_dir(dir);
    let mut store = FileStore::create(dir, MemberId(1))?;
    store.recover()?;
    let raw = raw_writes(&dir.with_extension("raw"), batch).map_err(|e| {
        let code = tarragon_codes::Code::DiskFull;
        Failure::new(code, e.to_string())
    })?;
    let mut next_index = 1;
    let mut sync_time = Duration::ZERO;
    let times = Times::measure(|| {
        store.append(&entries(next_index, batch))?;
        next_index += batch;
        let before = Instant::now();
        store.sync()?;
        sync_time += before.elapsed();
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
        100.0 * sync_time.as_secs_f64() / total.as_secs_f64(),
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

fn measure_recovery(dir: &Path) -> Outcome<()> {
    remove_dir(dir);
    let mut store = FileStore::create(dir, MemberId(1))?;
    store.recover()?;
    for first in (1..=RECOVERED_RECORDS).step_by(1_000) {
        store.append(&entries(first, 1_000))?;
    }
    store.sync()?;
    drop(store);
    let start = Instant::now();
    let recovered = FileStore::open(dir)?.recover()?;
    let elapsed = start.elapsed();
    println!(
        "recovery of {} records: {elapsed:.1?}",
        recovered.entries.len()
    );
    Ok(())
}

/// Measures saving a snapshot that covers most of a log. The replica's thread is blocked meanwhile.
fn measure_snapshot(dir: &Path) -> Outcome<()> {
    for mb in [1, 8, 32] {
        remove_dir(dir);
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
        let elapsed = start.elapsed();
        println!("snapshot of {mb} MB with 20,000 entries in the log: {elapsed:.1?}");
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

fn remove_dir(dir: &Path) {
    if dir.exists() && fs::remove_dir_all(dir).is_err() {
        eprintln!("cannot remove {}", dir.display());
    }
}
