//! A small deployment: entry hosts, executors of one service, and a configuration with two routes.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    hosts::{Hosts, ZONES},
    http,
    record::Record,
    worker::{Ledger, SharedLedger, Worker, WorkerPlace},
};

/// A client's limit for one call (`deadline_ms` of the site).
pub const CALL: Duration = Duration::from_millis(3_000);

/// Hosts with a disk, one in each zone.
const CORE: usize = 3;

pub const SERVICE: &str = "reel-service";

/// Host and prefix of a route.
#[derive(Clone, Debug)]
pub struct Route {
    pub host: String,
    pub prefix: String,
}

#[derive(Debug)]
pub struct Deployment {
    pub hosts: Hosts,
    pub workers: Vec<Worker>,
    pub ledger: SharedLedger,
    pub record: Record,
    /// The queue of most jobs.
    pub route: Route,
    /// A queue that is more urgent.
    pub urgent_route: Route,
}

pub fn env_number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok());
    value.unwrap_or(default)
}

impl Deployment {
    /// Starts it and waits until it serves; `None` if it could not be started.
    pub fn start(record_path: &Path, hosts: usize, workers: usize, cpu: u64) -> Option<Self> {
        let record = match Record::create(record_path) {
            Ok(record) => record,
            Err(e) => {
                eprintln!("{}: {e}", record_path.display());
                return None;
            }
        };
        let hosts = match Hosts::start(CORE, hosts - CORE) {
            Ok(hosts) => hosts,
            Err(e) => {
                record.tell(&format!("could not run: the hosts did not start: {e}"));
                return None;
            }
        };
        let mut deployment = Self {
            hosts,
            workers: Vec::new(),
            ledger: Arc::new(Mutex::new(Ledger::default())),
            record,
            route: Route {
                host: "nony24.example".to_owned(),
                prefix: "/pule252/".to_owned(),
            },
            urgent_route: Route {
                host: "ficu95.example".to_owned(),
                prefix: "/lohu930/".to_owned(),
            },
        };
        if !deployment.hosts.wait_ready(Duration::from_secs(20)) {
            deployment
                .record
                .tell("could not run: the hosts are not ready");
            return None;
        }
        if !deployment.configure() {
            deployment
                .record
                .tell("could not run: the configuration was not acknowledged");
            return None;
        }
        for i in 0..workers {
            let place = WorkerPlace {
                id: format!("i-{:08x}", 0x7f3a_0000 + i * 0x1357),
                service: SERVICE.to_owned(),
                zone: ZONES[i % ZONES.len()].to_owned(),
                rack: format!("r1-{}", i / 8),
                cpu,
                mem_mb: 262_144,
            };
            let controls = deployment.controls();
            let ledger = Arc::clone(&deployment.ledger);
            let worker = Worker::start(place, controls, ledger, deployment.record.clone());
            deployment.workers.push(worker.ok()?);
        }
        thread::sleep(Duration::from_secs(2));
        for (host, status, words) in deployment.hosts.ended() {
            let text = format!("could not run: {host} ended at its start: {status}; {words}");
            deployment.record.tell(&text);
            return None;
        }
        deployment.record.note("the deployment runs");
        Some(deployment)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.hosts.all.iter().map(|host| host.control).collect()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.hosts.all.iter().map(|host| host.front).collect()
    }

    fn configure(&self) -> bool {
        let Route { host, prefix } = &self.route;
        let Route {
            host: urgent_host,
            prefix: urgent_prefix,
        } = &self.urgent_route;
        let body = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-73hh2b9\",\"host\":\"{host}\",\
             \"path_prefix\":\"{prefix}\",\"type\":\"unsafe\",\"timeout_ms\":3000,\
             \"target_latency_ms\":3000,\"priority\":2,\"service\":\"{SERVICE}\",\
             \"max_attempts\":3,\"stretch\":4.0}},{{\"name\":\"r-wrr6x73\",\
             \"host\":\"{urgent_host}\",\"path_prefix\":\"{urgent_prefix}\",\
             \"type\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\
             \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":4,\
             \"stretch\":2.2}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"admission_check\":false,\"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        );
        for attempt in 0..40 {
            let controls = self.controls();
            let control = controls[attempt % controls.len()];
            let limit = Duration::from_secs(1);
            let answer = http::call(control, "PUT", "/v1/config", "control", &body, limit);
            if answer.is_ok_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(250));
        }
        false
    }
}
