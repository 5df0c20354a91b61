//! Runs entry hosts in one process, each on a loopback address of its own.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod caller;
mod disk_faults;
mod host_events;
mod platform;
mod small_disk;
mod test_clock;
mod workers;

use std::{
    collections::BTreeMap,
    env, fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use futures::{FutureExt, future::BoxFuture, future::ready};
use parking_lot::Mutex;
use tarragon_codes::Outcome;
use tarragon_dispatch::AdviceAnswer;
use tarragon_entry::{
    AdviceCalls, Bounds, EntryConfig, EntryHost, EntryMetrics, EntryParts, EntryTiming,
    ExternalServices, Reply, Request, WorkerReport,
};
use tarragon_names::{
    DomainName, HostCapacity, HostName, Millis, Name, PoolName, Resources, WorkerName,
};
use tarragon_replica::StateLimits;
use tarragon_storage::{Disk, DiskUsage, LocalDisk};
use tarragon_telemetry::Metrics;
use tarragon_workflow::{
    Configuration, JobSpec, MachinePhase, Queue, StepKey, StepSpec, Wave, WaveKey,
    WorkerIncarnation, WorkerPool, WorkerRecord,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

pub use caller::Caller;
pub use disk_faults::{DISK_FAULT_KINDS, DISKLESS, DiskFaults, FAULT_KINDS};
pub use host_events::HostEvents;
pub use platform::{Platform, ReceivedOrder};
pub use small_disk::SmallDisk;
pub use test_clock::TestClock;
pub use workers::{Cause, Workers};

/// Disk and memory of hosts without a limit.
const UNLIMITED_BYTES: u64 = 1 << 30;

/// First of the ports of which each test process uses one, below the range that the system hands out.
const FIRST_PORT: u16 = 10_000;

/// Number of these ports.
const PORTS: u16 = 20_000;

/// Port of all hosts of this process, which differ in their addresses. Another test process, which may
/// run at the same time, has another one.
fn port() -> u16 {
    FIRST_PORT + (process::id() % u32::from(PORTS)) as u16
}

/// Size of a log without entries, in bytes.
const EMPTY_LOG_BYTES: u64 = 20;

/// Time after which a wait fails; far longer than expected, so that a busy machine fails no test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a condition holds, and panics after [`WAIT_TIMEOUT`].
pub async fn wait_until<F>(condition: &str, holds: F)
where
    F: Fn() -> bool,
{
    let started_at = Instant::now();
    while !holds() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "expected within {WAIT_TIMEOUT:?}: {condition}"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Time for which a machine is down for upkeep. Short, because a leader waits for it first.
pub const MACHINE_DOWN_TIME: Millis = Millis(300);

/// Pool of all workers.
const POOL: &str = "pool";

/// Host name in the requests of callers.
const QUEUE_HOST: &str = "h";

/// Timeout of a request to a host.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Seeds of a random search: those in `TARRAGON_SEEDS=FROM..TO`, or else `default`.
pub fn seeds_or(default: &[u64]) -> Vec<u64> {
    let Ok(seeds) = env::var("TARRAGON_SEEDS") else {
        return default.to_vec();
    };
    let (from, to) = seeds.split_once("..").expect("FROM..TO");
    let (from, to) = (from.parse::<u64>(), to.parse::<u64>());
    (from.expect("a number")..to.expect("a number")).collect()
}

/// Running hosts by their number in the cell.
type RunningHosts = Arc<Mutex<BTreeMap<u8, Arc<EntryHost>>>>;

/// Hosts of one cell, which tests refer to by their number in the cell.
pub struct Cell {
    /// Third part of the hosts' addresses, which differs between concurrent tests.
    number: u8,
    /// Folder with one data folder per host.
    disks: tempfile::TempDir,
    hosts: RunningHosts,
    clocks: BTreeMap<u8, Arc<TestClock>>,
    /// Events of each host since its first start.
    events: BTreeMap<u8, Arc<HostEvents>>,
    pub platform: Arc<Platform>,
    /// Recovery time in the settings of hosts that are started from now on.
    pub recovery_time: Millis,
    /// Size of the disks of hosts that are started from now on, in bytes; `None` if it is not limited.
    pub disk_bytes: Option<u64>,
    /// Sizes of the disks that are limited, by host.
    capacities: BTreeMap<u8, Arc<AtomicU64>>,
}

impl Cell {
    /// Starts the hosts 1 to 3 with disks and 4 without, and waits until all know the leader.
    pub async fn ready(number: u8) -> Self {
        let mut cell = Self::new(number);
        for host in 1..=4 {
            cell.start(host, host <= 3, true, &[1, 2, 3]).await;
        }
        wait_until("all hosts find the leader", || {
            cell.all_ready() && cell.leader().is_some()
        })
        .await;
        cell
    }

    pub fn new(number: u8) -> Self {
        Self {
            number,
            disks: tempfile::tempdir().expect("creates a folder for the disks"),
            hosts: RunningHosts::default(),
            clocks: BTreeMap::new(),
            events: BTreeMap::new(),
            platform: Arc::default(),
            recovery_time: Bounds::default().recovery_time,
            disk_bytes: None,
            capacities: BTreeMap::new(),
        }
    }

    fn address(&self, host: u8) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 88, self.number, host), port()))
    }

    fn disk(&self, host: u8) -> PathBuf {
        self.disks.path().join(host.to_string())
    }

    /// Starts a host; `seeds` holds the numbers of the seeds in its settings.
    pub async fn start(&mut self, host: u8, has_disk: bool, is_first_start: bool, seeds: &[u8]) {
        let (cfg, parts) = self.prepare(host, has_disk, is_first_start, seeds);
        let started = EntryHost::start(cfg, parts).await;
        self.hosts
            .lock()
            .insert(host, started.expect("the host starts"));
    }

    /// Starts a host whose disk takes no bytes until [`Self::free_disk`] is called.
    pub fn start_on_full_disk(&mut self, host: u8, seeds: &[u8]) -> JoinHandle<Arc<EntryHost>> {
        // A folder in the place of the temporary file fails each replacement of a file.
        let blocker = self.blocker(host);
        fs::create_dir_all(&blocker).expect("creates a folder");
        let (cfg, parts) = self.prepare(host, true, false, seeds);
        tokio::spawn(async move {
            let started = EntryHost::start(cfg, parts).await;
            started.expect("the host starts once its disk has room")
        })
    }

    /// Gives the disk of a host room again, and waits until the host has started.
    pub async fn free_disk(&mut self, host: u8, starting: JoinHandle<Arc<EntryHost>>) {
        fs::remove_dir(self.blocker(host)).expect("removes the folder");
        let started = starting.await.expect("the host starts");
        self.hosts.lock().insert(host, started);
    }

    fn blocker(&self, host: u8) -> PathBuf {
        self.disk(host).join("replica").join("replacement.tmp")
    }

    fn prepare(
        &mut self,
        host: u8,
        has_disk: bool,
        is_first_start: bool,
        seeds: &[u8],
    ) -> (EntryConfig, EntryParts) {
        let data_dir = has_disk.then(|| self.disk(host));
        if let Some(dir) = &data_dir {
            fs::create_dir_all(dir).expect("creates the data folder");
        }
        let cfg = self.config(host, data_dir, is_first_start, seeds);
        let clock = Arc::new(TestClock::default());
        let events = self.events.entry(host);
        let events = events.or_insert_with(|| Arc::new(HostEvents::new(host)));
        let events = Arc::clone(events);
        let parts = EntryParts {
            clock: Arc::clone(&clock) as _,
            events,
            metrics: EntryMetrics::new().expect("metrics"),
            replica_metrics: Arc::new(Metrics::new()),
            external: ExternalServices {
                workers: Arc::clone(&self.platform.workers) as _,
                advice: Arc::new(UnreachableAdvice),
                machines: Arc::clone(&self.platform) as _,
            },
            disk: self.limited_disk(host),
        };
        self.clocks.insert(host, clock);
        (cfg, parts)
    }

    fn limited_disk(&mut self, host: u8) -> Arc<dyn Disk> {
        let Some(bytes) = self.disk_bytes else {
            return Arc::new(LocalDisk);
        };
        let capacity = self.capacities.entry(host);
        let capacity = capacity.or_insert_with(|| Arc::new(AtomicU64::new(bytes)));
        Arc::new(SmallDisk {
            capacity: Arc::clone(capacity),
        })
    }

    /// Lets the limited disk of a host refuse each write that needs room.
    pub fn fill_disk(&self, host: u8) {
        self.capacities[&host].store(0, Ordering::SeqCst);
    }

    /// Gives the limited disk of a host its room again.
    pub fn make_room(&self, host: u8) {
        let bytes = self.disk_bytes.expect("limited disks");
        self.capacities[&host].store(bytes, Ordering::SeqCst);
    }

    fn state_limits(&self) -> StateLimits {
        let disk_bytes = self.disk_bytes.unwrap_or(UNLIMITED_BYTES);
        StateLimits::new(disk_bytes, UNLIMITED_BYTES)
    }

    /// Settings of a host.
    pub fn config(
        &self,
        host: u8,
        data_dir: Option<PathBuf>,
        is_first_start: bool,
        seeds: &[u8],
    ) -> EntryConfig {
        let peer = self.address(host);
        EntryConfig {
            host: HostName::from(peer.to_string()),
            peer_address: peer,
            heartbeat_address: Name::from(peer.to_string()),
            domain: DomainName::from(format!("d{}", host % 3)),
            seeds: seeds.iter().map(|seed| self.address(*seed)).collect(),
            data_dir,
            is_first_start,
            tolerated_failures: 1,
            max_descriptors: 1_024,
            capacity: HostCapacity {
                processor_milli: 1_000,
                link_kbps: 1_000_000,
            },
            state_limits: self.state_limits(),
            avoids_interference: false,
            timing: EntryTiming {
                bounds: Bounds {
                    machine_down_time: MACHINE_DOWN_TIME,
                    recovery_time: self.recovery_time,
                    ..Bounds::default()
                },
            },
        }
    }

    /// Returns a caller that sends its requests to `host`, also while hosts are stopped and started.
    pub fn caller(&self, host: u8) -> Caller {
        Caller::new(host, Arc::clone(&self.hosts))
    }

    /// Returns a running host.
    fn host(&self, host: u8) -> Arc<EntryHost> {
        Arc::clone(&self.hosts.lock()[&host])
    }

    /// Numbers of the hosts that have been started, with their events since then.
    pub fn events(&self) -> &BTreeMap<u8, Arc<HostEvents>> {
        &self.events
    }

    /// Files on the disk of a host.
    pub fn disk_usage(&self, host: u8) -> DiskUsage {
        DiskUsage::of(&self.disk(host))
    }

    pub fn is_ready(&self, host: u8) -> bool {
        self.hosts
            .lock()
            .get(&host)
            .is_some_and(|host| host.is_ready())
    }

    pub fn all_ready(&self) -> bool {
        self.hosts.lock().values().all(|host| host.is_ready())
    }

    /// Returns whether the group has `count` voters, all of them on running hosts.
    pub fn has_voters(&self, count: usize) -> bool {
        let hosts = self.hosts.lock();
        let voters = hosts.values().find_map(|host| host.voters_if_leading());
        voters.is_some_and(|voters| {
            let running = hosts.values().filter_map(|host| host.member());
            let running = running.collect::<Vec<_>>();
            voters.len() == count && voters.iter().all(|voter| running.contains(voter))
        })
    }

    /// Returns the number of the host that leads; `None` if no host holds the lease.
    pub fn leader(&self) -> Option<u8> {
        let hosts = self.hosts.lock();
        let leading = hosts
            .iter()
            .find(|(_, host)| host.voters_if_leading().is_some());
        leading.map(|(number, _)| *number)
    }

    pub fn clock(&self, host: u8) -> &TestClock {
        &self.clocks[&host]
    }

    /// Sends a request to a host, which may pass it on to the leader.
    pub async fn call(&self, host: u8, request: Request) -> Reply {
        let answer = self.host(host).call(request, CALL_TIMEOUT).await;
        answer.expect("the request is answered")
    }

    /// Starts a worker on a machine and announces it to a host.
    pub async fn start_worker(&self, host: u8, machine: &str, name: &str, label: &str) {
        let report = self.place_worker(machine, name, label);
        self.call(host, Request::Announce(report)).await;
    }

    /// Starts a worker on a machine and returns its heartbeat.
    pub fn place_worker(&self, machine: &str, name: &str, label: &str) -> WorkerReport {
        let incarnation = WorkerIncarnation {
            worker: WorkerName::from(name),
            started_ms: unix_ms(),
        };
        self.platform.workers.start(&incarnation);
        self.platform.add_machine(machine, Some(name));
        let record = WorkerRecord {
            incarnation,
            address: Name::from(format!("{name}:80")),
            domain: DomainName::from("d0"),
            pool: PoolName::from(POOL),
            capacity: Resources::new(8_000, 8_000, 0),
            labels: vec![Name::from(label)],
            rack: None,
            is_draining: false,
            acknowledged: 0,
        };
        WorkerReport {
            record,
            sequence: 1,
            leaves_in: None,
        }
    }

    /// Sends a request to a host; `None` if no leader answers in time.
    pub async fn try_call(&self, host: u8, request: Request) -> Option<Reply> {
        let answer = self.host(host).call(request, CALL_TIMEOUT).await;
        answer.ok()
    }

    /// Puts a configuration into force with one queue, whose jobs have the path `/q/KEY`.
    pub async fn configure(&self, host: u8) {
        self.put_configuration(host, 1, "{}").await;
    }

    /// Puts a version of the configuration of [`Self::configure`] with another text into force.
    pub async fn put_configuration(&self, host: u8, version: u64, text: &str) {
        let reply = self.call(host, Self::configuration(version, text));
        assert_eq!(reply.await, Reply::Done);
    }

    /// Request that puts a version of the configuration of [`Self::configure`] into force.
    pub fn configuration(version: u64, text: &str) -> Request {
        let queue = Queue {
            name: Name::from("q"),
            host: Name::from(QUEUE_HOST),
            prefix: Name::from("/q/"),
            pool: PoolName::from(POOL),
            priority: 0,
            max_attempts: 3,
            stretch_permille: 2_000,
            target_latency: Millis(500),
            advice: None,
        };
        let pool = WorkerPool {
            pool: PoolName::from(POOL),
            enforces_capacity: false,
            is_powered_off: false,
        };
        Request::PutConfiguration(Configuration {
            version,
            text: Name::from(text),
            queues: vec![queue],
            pools: vec![pool],
            max_body_bytes: 1_000_000,
            ..Configuration::default()
        })
    }

    /// Submits a job of one step.
    pub async fn submit(&self, host: u8, job: &str, step: StepSpec) {
        let request = submission(job, "work", step);
        assert_eq!(self.call(host, request).await, Reply::Done);
    }

    /// Request that submits a job of one task.
    pub fn submission(job: &str, payload: &str) -> Request {
        let step = StepSpec {
            count: 1,
            ..StepSpec::default()
        };
        submission(job, payload, step)
    }

    /// Request that reads the state of a job.
    pub fn status(job: &str) -> Request {
        Request::ReadStatus {
            host: Name::from(QUEUE_HOST),
            path: job_path(job),
        }
    }

    /// Request that cancels a job.
    pub fn cancellation(job: &str) -> Request {
        Request::Cancel {
            host: Name::from(QUEUE_HOST),
            path: job_path(job),
        }
    }

    /// Sends a request to a host and returns its answer or its refusal.
    pub async fn call_once(&self, host: u8, request: Request) -> Outcome<Reply> {
        self.host(host).call(request, CALL_TIMEOUT).await
    }

    /// Sends a request to a host, which has to be answered within `timeout`.
    pub async fn call_within(
        &self,
        host: u8,
        request: Request,
        timeout: Duration,
    ) -> Outcome<Reply> {
        self.host(host).call(request, timeout).await
    }

    /// Starts a wave of machines that is due at once.
    pub async fn start_wave(&self, host: u8, key: WaveKey, machines: &[&str], cap: u32) {
        let machines = machines.iter();
        let machines = machines.map(|name| (Name::from(*name), MachinePhase::Waiting));
        let wave = Wave {
            machines: machines.collect(),
            due_ms: unix_ms(),
            requested_ms: unix_ms(),
            max_machines_down: cap,
        };
        let reply = self.call(host, Request::StartWave { key, wave }).await;
        assert_eq!(reply, Reply::Done);
    }

    /// Returns whether a wave is completed; false while no leader answers.
    pub async fn is_wave_completed(&self, host: u8, key: WaveKey) -> bool {
        let host = self.host(host);
        let call = host.call(Request::CheckWave(key), CALL_TIMEOUT);
        matches!(call.await, Ok(Reply::Wave { is_completed: true }))
    }

    pub fn stop_host(&mut self, host: u8) {
        let host = self.hosts.lock().remove(&host);
        if let Some(host) = host {
            host.stop();
        }
    }

    /// Stops all hosts and keeps their disks.
    pub fn stop(&mut self) {
        let hosts = std::mem::take(&mut *self.hosts.lock());
        for host in hosts.into_values() {
            host.stop();
        }
    }

    /// Deletes the data folder of a stopped host.
    pub fn wipe(&self, host: u8) {
        fs::remove_dir_all(self.disk(host)).expect("the data folder exists");
    }

    /// Returns whether the log of a host holds a record beside the empty one of its creation.
    pub fn has_log_record(&self, host: u8) -> bool {
        let path = self.disk(host).join("replica").join("log");
        fs::metadata(path).is_ok_and(|metadata| metadata.len() > EMPTY_LOG_BYTES)
    }

    /// Changes a byte in the first record of the log of a stopped host.
    pub fn damage_log(&self, host: u8) {
        let path = self.disk(host).join("replica").join("log");
        let mut log = fs::read(&path).expect("the log exists");
        log[EMPTY_LOG_BYTES as usize] ^= 0x10;
        fs::write(&path, log).expect("the log is writable");
    }
}

fn job_path(job: &str) -> Name {
    Name::from(format!("/q/{job}"))
}

fn submission(job: &str, payload: &str, step: StepSpec) -> Request {
    let spec = JobSpec {
        payload: Name::from(payload),
        steps: vec![step],
        ..JobSpec::default()
    };
    Request::Submit {
        host: Name::from(QUEUE_HOST),
        path: job_path(job),
        spec,
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("the clock is set").as_millis() as u64
}

/// Advice service that never answers.
#[derive(Debug)]
struct UnreachableAdvice;

impl AdviceCalls for UnreachableAdvice {
    fn request_advice(
        &self,
        _: StepKey,
        _: Vec<WorkerName>,
        _: Duration,
    ) -> BoxFuture<'static, Option<AdviceAnswer>> {
        ready(None).boxed()
    }
}
