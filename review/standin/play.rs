//! What all cases share: the system, its executors, and the calls of clients and the operator.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    executor::{Executor, Gangs, Ledger, Network, Setup},
    hosts::{Hosts, free_net},
    http,
    json::Json,
    record::Recorder,
};

/// `Deadline-Ms` of the clients, and the time that an operator waits.
const CLIENT_LIMIT: Duration = Duration::from_millis(3_000);
const OPERATOR_LIMIT: Duration = Duration::from_millis(1_000);

const FORMATION: Duration = Duration::from_secs(30);

/// Why a case could not run.
pub type Failed = String;

pub struct Play {
    pub hosts: Hosts,
    pub net: [u8; 2],
    pub record: Recorder,
    pub ledger: Ledger,
    pub gangs: Gangs,
    pub executors: Vec<Arc<Executor>>,
    folder: PathBuf,
}

impl Drop for Play {
    fn drop(&mut self) {
        for executor in &self.executors {
            executor.crash();
        }
        for host in &mut self.hosts.all {
            host.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Number of the last part of the address of the platform.
pub const CLOUD: u8 = 200;
pub const CLOUD_PORT: u16 = 8_169;

impl Play {
    /// Starts the machines; `has_cloud` tells whether their settings name the platform.
    pub fn start(record: Recorder, has_cloud: bool) -> Result<Self, Failed> {
        let net = free_net().ok_or("no free loopback addresses")?;
        let folder = std::env::temp_dir().join(format!("tarragon-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let cloud = SocketAddr::from(([127, net[0], net[1], CLOUD], CLOUD_PORT));
        let hosts = Hosts::start(net, &folder, has_cloud.then_some(cloud)).map_err(|e| e.to_string())?;
        Ok(Self { hosts, net, record, ledger: Ledger::default(), gangs: Gangs::default(), executors: Vec::new(), folder })
    }

    /// Starts executors with the labels "a" and "r1-N", four to a rack of their own number.
    pub fn add_executors(&mut self, count: u8, rack: impl Fn(u8) -> String, network: &Network) -> Result<(), Failed> {
        for number in 1..=count {
            let setup = Setup {
                id: format!("i-{number}"),
                address: self.hosts.other(100 + number, 8_080),
                zone: "lukang-a".to_owned(),
                labels: vec!["a".to_owned(), rack(number)],
                cpu: 32_000,
                hosts: self.hosts.controls(),
            };
            let executor = Executor::new(setup, Arc::clone(network), Arc::clone(&self.gangs), Arc::clone(&self.ledger), self.record.clone());
            executor.start().map_err(|e| e.to_string())?;
            self.executors.push(executor);
        }
        Ok(())
    }

    /// Puts the first configuration, again until it is acknowledged.
    pub fn configure(&self) -> Result<(), Failed> {
        let body = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\",\"path_prefix\":\"/plan/\",\
                    \"type\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":3000,\"priority\":1,\
                    \"service\":\"order-desk\",\"max_attempts\":4,\"stretch\":4.0}],\
                    \"services\":[{\"name\":\"order-desk\",\"health_path\":\"/health\",\"max_conns\":64,\
                    \"protocol\":\"h1\",\"tls\":false,\"admission_check\":false,\"spare\":false}],\
                    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
                    \"idle_timeout_ms\":15000}}";
        let (status, _) = self.operator("PUT", "/v1/config", body, FORMATION)?;
        (status == 200).then_some(()).ok_or(format!("configuration: {status}"))
    }

    /// Sends an order of the operator to one machine after the other until it is acknowledged.
    pub fn operator(&self, method: &str, path: &str, body: &str, patience: Duration) -> Result<(u16, String), Failed> {
        let begun = Instant::now();
        let controls = self.hosts.controls();
        for round in 0.. {
            let address = controls[round % controls.len()];
            let answer = http::call(address, method, path, &[], body, OPERATOR_LIMIT);
            match answer {
                Ok((status, answer)) if status < 500 => {
                    self.record.line(&format!("operator: {method} {path} {} -> {status} {answer}", short(body)));
                    return Ok((status, answer));
                }
                _ if begun.elapsed() > patience => return Err(format!("no answer to {method} {path}")),
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        Err(String::new())
    }

    /// Sends a request of a client to machines in turn until it is answered clearly.
    pub fn client(&self, method: &str, job: &str, body: &str, patience: Duration) -> Result<(u16, String), Failed> {
        let begun = Instant::now();
        let path = format!("/plan/{job}");
        // The balancer spreads clients; a retry reaches another machine.
        let count = self.hosts.all.len();
        for round in 0.. {
            let address = self.hosts.all[(count - 1 + round) % count].front();
            let headers = [("Host", "desk.example"), ("Deadline-Ms", "3000")];
            let answer = http::call(address, method, &path, &headers, body, CLIENT_LIMIT);
            if let Ok((status, text)) = &answer {
                self.record.line(&format!("client: {method} {path} {} at {address} -> {status} {text}", short(body)));
            } else {
                self.record.line(&format!("client: {method} {path} {} at {address} -> no answer", short(body)));
            }
            match answer {
                Ok((status, text)) if !matches!(status, 429 | 502 | 503 | 504) => return Ok((status, text)),
                _ if begun.elapsed() > patience => return Err(format!("no answer to {method} {path}")),
                _ => thread::sleep(Duration::from_millis(150)),
            }
        }
        Err(String::new())
    }

    pub fn submit(&self, job: &str, spec: &str, steps: &str) -> Result<(), Failed> {
        let body = format!("{{\"spec\":\"{spec}\",\"steps\":[{steps}]}}");
        let (status, _) = self.client("POST", job, &body, Duration::from_secs(15))?;
        (status == 200).then_some(()).ok_or(format!("job {job}: {status}"))
    }

    pub fn state(&self, job: &str) -> Result<String, Failed> {
        let (status, text) = self.client("GET", job, "", Duration::from_secs(15))?;
        let state = Json::parse(&text).and_then(|body| body.get("state").text().map(str::to_owned));
        state.ok_or(format!("state of {job}: {status} {text}"))
    }

    /// Waits until `is_so` holds.
    pub fn wait(&self, what: &str, patience: Duration, is_so: impl Fn() -> bool) -> Result<(), Failed> {
        let begun = Instant::now();
        while !is_so() {
            if begun.elapsed() > patience {
                return Err(format!("not in time: {what}"));
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// The machine that leads, once there is one.
    pub fn leader(&self) -> Result<usize, Failed> {
        let begun = Instant::now();
        loop {
            if let Some(leader) = self.hosts.leader() {
                return Ok(leader);
            }
            if begun.elapsed() > FORMATION {
                return Err("no machine leads".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// The executor on which a run of the job is.
    pub fn executor_of(&self, job: &str) -> Option<Arc<Executor>> {
        self.executors.iter().find(|executor| !executor.runs(job).is_empty()).cloned()
    }
}

fn short(body: &str) -> &str {
    &body[..body.len().min(400)]
}

pub fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}
