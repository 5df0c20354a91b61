//! Seeded random faults on small disks while large configurations and jobs are written.
//!
//! `TARRAGON_SEEDS=FROM..TO` chooses the seeds, `TARRAGON_FAULTS` the number of faults of each.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{Caller, Cell, DISKLESS, DiskFaults, FAULT_KINDS, seeds_or};
use parking_lot::Mutex;
use rand_chacha::{
    ChaCha12Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_entry::{Reply, Request};
use tokio::time::{Instant, sleep};

/// Size of each disk in bytes.
const DISK_BYTES: u64 = 4 << 20;

/// Smallest and largest size of a configuration in bytes.
const CONFIGURATION_BYTES: (usize, usize) = (1_000, 150_000);

/// Smallest and largest size of the payload of a job in bytes.
const JOB_BYTES: (usize, usize) = (100, 60_000);

/// Number of jobs above which the oldest is cancelled; they take up half of the state at most.
const MAX_JOBS: usize = 12;

/// Number of faults in one run unless `TARRAGON_FAULTS` is set.
const FAULTS: usize = 5;

/// Time within which a read or a configuration is answered once the cell has recovered.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(20);

/// What the writer sent and what was acknowledged.
#[derive(Debug, Default)]
struct Written {
    /// Size of each version that was sent; its outcome may be unknown.
    sent: BTreeMap<u64, usize>,
    /// Newest version that was acknowledged.
    newest: u64,
    /// Jobs that were accepted and that no cancellation was sent for.
    jobs: BTreeSet<String>,
    /// Jobs whose submission or cancellation has an unknown outcome; they may take up room.
    doubtful: BTreeSet<String>,
    accepted: usize,
    cancelled: usize,
    /// Number of refusals by code.
    refusals: BTreeMap<String, usize>,
}

impl Written {
    /// Takes out the next job to be cancelled, so that the jobs leave room in the state.
    fn pop_surplus(&mut self) -> Option<String> {
        let is_crowded = self.jobs.len() > MAX_JOBS;
        let doubtful = self.doubtful.pop_first();
        doubtful.or_else(|| is_crowded.then(|| self.jobs.pop_first()).flatten())
    }

    fn refuse(&mut self, code: Code) {
        *self.refusals.entry(format!("{code:?}")).or_default() += 1;
    }
}

fn text(version: u64, len: usize) -> String {
    format!("{version} {}", "x".repeat(len))
}

/// Returns whether a request failed because no leader answered it; its outcome may be unknown.
fn is_unanswered(outcome: &Outcome<Reply>) -> bool {
    outcome.as_ref().is_err_and(|failure| {
        matches!(
            failure.code,
            Code::NoLeader | Code::NotLeader | Code::HostUnreachable | Code::NotConfirmed
        )
    })
}

/// Sends configurations and jobs through the host without a disk, which is never restarted.
struct Writer {
    caller: Caller,
    written: Arc<Mutex<Written>>,
    is_stopped: Arc<AtomicBool>,
    rng: ChaCha12Rng,
}

impl Writer {
    fn between(&mut self, (min, max): (usize, usize)) -> usize {
        min + (self.rng.next_u32() as usize) % (max - min)
    }

    async fn call(&self, request: Request) -> Outcome<Reply> {
        let outcome = self.caller.call(request).await;
        if let Err(failure) = &outcome {
            self.written.lock().refuse(failure.code);
        }
        outcome
    }

    async fn run(mut self) {
        let mut number = 0_u64;
        while !self.is_stopped.load(Ordering::Relaxed) {
            number += 1;
            let surplus = self.written.lock().pop_surplus();
            match (surplus, self.between((0, 3))) {
                (Some(job), _) => self.cancel(job).await,
                (None, 0) => self.submit(number).await,
                (None, _) => self.put(number).await,
            }
        }
    }

    async fn put(&mut self, version: u64) {
        let len = self.between(CONFIGURATION_BYTES);
        self.written.lock().sent.insert(version, len);
        let request = Cell::configuration(version, &text(version, len));
        if self.call(request).await == Ok(Reply::Done) {
            self.written.lock().newest = version;
        }
    }

    async fn submit(&mut self, number: u64) {
        let job = format!("{number:016x}");
        let payload = "x".repeat(self.between(JOB_BYTES));
        let outcome = self.call(Cell::submission(&job, &payload)).await;
        let mut written = self.written.lock();
        if outcome == Ok(Reply::Done) {
            written.jobs.insert(job);
            written.accepted += 1;
        } else if is_unanswered(&outcome) {
            written.doubtful.insert(job);
        }
    }

    async fn cancel(&mut self, job: String) {
        let outcome = self.call(Cell::cancellation(&job)).await;
        let mut written = self.written.lock();
        // A leader whose disk is full refuses cancellations, which have no effect then.
        let is_refused = |e: &Failure| e.code == Code::QueueFull;
        if is_unanswered(&outcome) || outcome.as_ref().is_err_and(is_refused) {
            written.doubtful.insert(job);
        } else if outcome.is_ok() {
            written.cancelled += 1;
        }
    }
}

/// Compares what a host answers with what was acknowledged.
struct Checks {
    caller: Caller,
    written: Arc<Mutex<Written>>,
}

impl Checks {
    /// Reads until an answer comes that does not depend on the leader.
    async fn read(&self, request: Request) -> Outcome<Reply> {
        let started_at = Instant::now();
        loop {
            let outcome = self.caller.call(request.clone()).await;
            if !is_unanswered(&outcome) || started_at.elapsed() > MAX_ANSWER_TIME {
                return outcome;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn check_configuration(&self) {
        let newest = self.written.lock().newest;
        if newest == 0 {
            return;
        }
        let reply = self.read(Request::ReadConfiguration).await;
        let Ok(Reply::Configuration(read)) = reply else {
            panic!("version {newest} was acknowledged, but the answer is {reply:?}");
        };
        let version = read.as_str().split(' ').next().unwrap_or_default();
        let version = version.parse::<u64>().expect("a version");
        assert!(version >= newest, "read {version}, acknowledged {newest}");
        let sent = self.written.lock().sent.get(&version).copied();
        assert!(
            sent.is_some_and(|len| read.as_str() == text(version, len)),
            "version {version} differs from what was sent"
        );
    }

    async fn check_jobs(&self) {
        let jobs = self.written.lock().jobs.clone();
        for job in jobs {
            let reply = self.read(Cell::status(&job)).await;
            // The writer may have cancelled the job meanwhile.
            let is_expected = self.written.lock().jobs.contains(&job);
            assert!(
                !is_expected || matches!(reply, Ok(Reply::Phase(_))),
                "job {job} was accepted, but the answer is {reply:?}"
            );
        }
    }

    /// Checks that a calm cell has room, since the configuration and the jobs take up half of it.
    async fn check_room(&self) {
        let newest = self
            .written
            .lock()
            .sent
            .last_key_value()
            .map(|sent| *sent.0);
        let version = newest.unwrap_or_default() + 1;
        let len = CONFIGURATION_BYTES.1;
        self.written.lock().sent.insert(version, len);
        let request = Cell::configuration(version, &text(version, len));
        let started_at = Instant::now();
        loop {
            let outcome = self.caller.call(request.clone()).await;
            if outcome == Ok(Reply::Done) {
                break;
            }
            assert!(
                started_at.elapsed() < MAX_ANSWER_TIME,
                "no room after {MAX_ANSWER_TIME:?}: {outcome:?}"
            );
            sleep(Duration::from_millis(50)).await;
        }
        self.written.lock().newest = version;
    }

    async fn check(&self) {
        self.check_configuration().await;
        self.check_jobs().await;
    }
}

fn check_disks(cell: &Cell) {
    for host in cell.events().keys().filter(|host| **host != DISKLESS) {
        let usage = cell.disk_usage(*host);
        assert!(
            usage.total_bytes() <= DISK_BYTES,
            "the disk of host {host} holds {usage}"
        );
    }
}

fn print_summary(seed: u64, cell: &Cell, written: &Written) {
    let count = |name: &str| {
        let hosts = cell.events().iter();
        let hosts = hosts.map(|(host, events)| format!("{host}:{}", events.count(name)));
        hosts.collect::<Vec<_>>().join(" ")
    };
    println!(
        "seed {seed}: {} versions sent, {} acknowledged last, {} jobs accepted, {} cancelled",
        written.sent.len(),
        written.newest,
        written.accepted,
        written.cancelled
    );
    println!("seed {seed}: cuts {}", count("snapshot_saved"));
    println!("seed {seed}: cuts that failed {}", count("snapshot_failed"));
    println!("seed {seed}: full disks {}", count("disk_full"));
    println!("seed {seed}: refusals {:?}", written.refusals);
}

/// Runs one seed: faults beside the writer, with checks whenever the cell has recovered.
async fn run_seed(seed: u64, faults: usize) {
    let mut cell = Cell::new(200 + (seed % 50) as u8);
    cell.disk_bytes = Some(DISK_BYTES);
    let mut run = DiskFaults::start(cell, seed).await;
    let written = Arc::<Mutex<Written>>::default();
    let is_stopped = Arc::<AtomicBool>::default();
    let writer = Writer {
        caller: run.cell.caller(DISKLESS),
        written: Arc::clone(&written),
        is_stopped: Arc::clone(&is_stopped),
        rng: ChaCha12Rng::seed_from_u64(!seed),
    };
    let checks = Checks {
        caller: run.cell.caller(DISKLESS),
        written: Arc::clone(&written),
    };
    let writing = tokio::spawn(writer.run());
    for _ in 0..faults {
        run.fault(FAULT_KINDS).await;
        let pause = run.below(700) as u64;
        sleep(Duration::from_millis(pause)).await;
        check_disks(&run.cell);
        if run.below(3) == 0 {
            run.recover(false).await;
            checks.check().await;
        }
    }
    run.recover(false).await;
    run.free().await;
    run.recover(true).await;
    is_stopped.store(true, Ordering::Relaxed);
    writing.await.expect("the writer ends");
    run.recover(true).await;
    checks.check_room().await;
    checks.check().await;
    check_disks(&run.cell);
    print_summary(seed, &run.cell, &written.lock());
    run.cell.stop();
}

/// Guards against logs that outgrow their disks, and against snapshots that lose a configuration or
/// a job, in a cell whose hosts fail while it is written to.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn small_disks_bear_faults_while_large_states_are_written() {
    let faults = env::var("TARRAGON_FAULTS").map_or(FAULTS, |count| {
        count.parse::<usize>().expect("a number of faults")
    });
    for seed in seeds_or(&[1, 2]) {
        run_seed(seed, faults).await;
    }
}
