//! Entry hosts in one process, each on a loopback address of its own.

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

/// Port of all hosts; each has an address of its own.
const PORT: u16 = 7_411;

/// Time after which a test gives up; far beyond what is expected, so that load does not matter.
const PATIENCE: Duration = Duration::from_secs(60);

/// Waits until a condition holds.
pub async fn until<F>(what: &str, holds: F)
where
    F: Fn() -> bool,
{
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "it does not happen that {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Hosts of one cell; `number` keeps the addresses of concurrent tests apart.
pub struct Cell {
    number: u8,
    disks: tempfile::TempDir,
    hosts: BTreeMap<u8, Arc<EntryHost>>,
}

impl Cell {
    pub fn new(number: u8) -> Self {
        Self {
            number,
            disks: tempfile::tempdir().expect("a folder for the disks"),
            hosts: BTreeMap::new(),
        }
    }

    fn address(&self, host: u8) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 88, self.number, host), PORT))
    }

    fn disk(&self, host: u8) -> PathBuf {
        self.disks.path().join(host.to_string())
    }

    pub async fn start(&mut self, host: u8, has_disk: bool, is_first_start: bool, seeds: &[u8]) {
        let peer = self.address(host);
        let data_dir = has_disk.then(|| self.disk(host));
        if let Some(dir) = &data_dir {
            fs::create_dir_all(dir).expect("a folder for the disk");
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
            timing: EntryTiming {
                bounds: Bounds::default(),
            },
        };
        let parts = EntryParts {
            events: Arc::new(NullSink),
            metrics: EntryMetrics::new().expect("metrics"),
            replica_metrics: Arc::new(Metrics::new()),
            external: ExternalServices {
                workers: Arc::new(Nobody),
                advice: Arc::new(Nobody),
                machines: Arc::new(Nobody),
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

    /// Tells whether the group has `count` voters, all of them on running hosts.
    pub fn has_voters(&self, count: usize) -> bool {
        let voters = self
            .hosts
            .values()
            .find_map(|host| host.voters_if_leading());
        voters.is_some_and(|voters| {
            let own = self.hosts.values().filter_map(|host| host.member());
            let own = own.collect::<Vec<_>>();
            voters.len() == count && voters.iter().all(|voter| own.contains(voter))
        })
    }

    pub fn stop_host(&mut self, host: u8) {
        if let Some(host) = self.hosts.remove(&host) {
            host.stop();
        }
    }

    pub fn stop(&mut self) {
        for host in std::mem::take(&mut self.hosts).into_values() {
            host.stop();
        }
    }

    pub fn wipe(&self, host: u8) {
        fs::remove_dir_all(self.disk(host)).expect("the disk is there");
    }

    /// Changes a byte in the first record of the log.
    pub fn damage_log(&self, host: u8) {
        let path = self.disk(host).join("replica").join("log");
        let mut log = fs::read(&path).expect("the log is there");
        log[20] ^= 0x10;
        fs::write(&path, log).expect("the log is writable");
    }
}

/// No worker and no advice service.
#[derive(Debug)]
struct Nobody;

impl WorkerCalls for Nobody {
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

impl AdviceCalls for Nobody {
    fn request_advice(
        &self,
        _: StepKey,
        _: Vec<WorkerName>,
        _: Duration,
    ) -> BoxFuture<'static, Option<AdviceAnswer>> {
        ready(None).boxed()
    }
}

impl MachineCalls for Nobody {
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
