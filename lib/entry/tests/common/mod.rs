//! Runs entry hosts in one process, each on a loopback address of its own.

use std::{
    collections::BTreeMap,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use futures::{FutureExt, future::BoxFuture, future::ready};
use tarragon_dispatch::{
    AdviceAnswer, OrderOutcome, PollCall, PollOutcome, StartOrder, StopOrder, ThrottleOrder,
};
use tarragon_entry::{
    AdviceCalls, Bounds, EntryConfig, EntryHost, EntryMetrics, EntryParts, EntryTiming,
    ExternalServices, MachineCalls, MachineOutcome, WorkerCalls,
};
use tarragon_names::{DomainName, HostName, Name, WorkerName};
use tarragon_telemetry::{Metrics, NullSink};
use tarragon_upkeep::Machine;
use tarragon_workflow::{StepKey, WaveKey};
use tokio::time::{Instant, sleep};

/// Port of all hosts, which differ in their addresses.
const PORT: u16 = 7_411;

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

/// Hosts of one cell, which tests refer to by their number in the cell.
pub struct Cell {
    /// Third part of the hosts' addresses, which differs between concurrent tests.
    number: u8,
    /// Folder with one data folder per host.
    disks: tempfile::TempDir,
    hosts: BTreeMap<u8, Arc<EntryHost>>,
}

impl Cell {
    pub fn new(number: u8) -> Self {
        Self {
            number,
            disks: tempfile::tempdir().expect("creates a folder for the disks"),
            hosts: BTreeMap::new(),
        }
    }

    fn address(&self, host: u8) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 88, self.number, host), PORT))
    }

    fn disk(&self, host: u8) -> PathBuf {
        self.disks.path().join(host.to_string())
    }

    /// Starts a host; `seeds` holds the numbers of the seeds in its settings.
    pub async fn start(&mut self, host: u8, has_disk: bool, is_first_start: bool, seeds: &[u8]) {
        let peer = self.address(host);
        let data_dir = has_disk.then(|| self.disk(host));
        if let Some(dir) = &data_dir {
            fs::create_dir_all(dir).expect("creates the data folder");
        }
        let cfg = EntryConfig {
            host: HostName::from(peer.to_string()),
            peer_address: peer,
            heartbeat_address: Name::from(peer.to_string()),
            domain: DomainName::from(format!("d{}", host % 3)),
            seeds: seeds.iter().map(|seed| self.address(*seed)).collect(),
            data_dir,
            is_first_start,
            tolerated_failures: 1,
            max_descriptors: 1_024,
            timing: EntryTiming {
                bounds: Bounds::default(),
            },
        };
        let parts = EntryParts {
            events: Arc::new(NullSink),
            metrics: EntryMetrics::new().expect("metrics"),
            replica_metrics: Arc::new(Metrics::new()),
            external: ExternalServices {
                workers: Arc::new(UnreachableServices),
                advice: Arc::new(UnreachableServices),
                machines: Arc::new(UnreachableServices),
            },
        };
        let started = EntryHost::start(cfg, parts).await;
        self.hosts.insert(host, started.expect("the host starts"));
    }

    pub fn is_ready(&self, host: u8) -> bool {
        self.hosts.get(&host).is_some_and(|host| host.is_ready())
    }

    pub fn all_ready(&self) -> bool {
        self.hosts.values().all(|host| host.is_ready())
    }

    /// Returns whether the group has `count` voters, all of them on running hosts.
    pub fn has_voters(&self, count: usize) -> bool {
        let voters = self
            .hosts
            .values()
            .find_map(|host| host.voters_if_leading());
        voters.is_some_and(|voters| {
            let running = self.hosts.values().filter_map(|host| host.member());
            let running = running.collect::<Vec<_>>();
            voters.len() == count && voters.iter().all(|voter| running.contains(voter))
        })
    }

    pub fn stop_host(&mut self, host: u8) {
        if let Some(host) = self.hosts.remove(&host) {
            host.stop();
        }
    }

    /// Stops all hosts and keeps their disks.
    pub fn stop(&mut self) {
        for host in std::mem::take(&mut self.hosts).into_values() {
            host.stop();
        }
    }

    /// Deletes the data folder of a stopped host.
    pub fn wipe(&self, host: u8) {
        fs::remove_dir_all(self.disk(host)).expect("the data folder exists");
    }

    /// Changes a byte in the first record of the log of a stopped host.
    pub fn damage_log(&self, host: u8) {
        let path = self.disk(host).join("replica").join("log");
        let mut log = fs::read(&path).expect("the log exists");
        log[20] ^= 0x10;
        fs::write(&path, log).expect("the log is writable");
    }
}

/// Workers, advice service and platform that never answer.
#[derive(Debug)]
struct UnreachableServices;

impl WorkerCalls for UnreachableServices {
    fn start(&self, _: StartOrder, _: Duration) -> BoxFuture<'static, OrderOutcome> {
        ready(OrderOutcome::Unanswered).boxed()
    }

    fn stop(&self, _: StopOrder, _: Duration) -> BoxFuture<'static, OrderOutcome> {
        ready(OrderOutcome::Unanswered).boxed()
    }

    fn throttle(&self, _: ThrottleOrder, _: Duration) -> BoxFuture<'static, OrderOutcome> {
        ready(OrderOutcome::Unanswered).boxed()
    }

    fn poll(&self, _: PollCall, _: Duration) -> BoxFuture<'static, PollOutcome> {
        ready(PollOutcome::Unanswered).boxed()
    }
}

impl AdviceCalls for UnreachableServices {
    fn request_advice(
        &self,
        _: StepKey,
        _: Vec<WorkerName>,
        _: Duration,
    ) -> BoxFuture<'static, Option<AdviceAnswer>> {
        ready(None).boxed()
    }
}

impl MachineCalls for UnreachableServices {
    fn list(&self, _: Duration) -> BoxFuture<'static, Option<Vec<Machine>>> {
        ready(None).boxed()
    }

    fn begin_upkeep(
        &self,
        _: Name,
        _: WaveKey,
        _: Name,
        _: u64,
        _: Duration,
    ) -> BoxFuture<'static, MachineOutcome> {
        ready(MachineOutcome::Unanswered).boxed()
    }
}
