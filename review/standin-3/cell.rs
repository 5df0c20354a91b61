//! A small deployment: the project's programs as processes, executors, the platform's interface for
//! machines, an operator and clients.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{Json, quote},
    world::World,
    worker::Worker,
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub const SERVICE: &str = "order-desk";
pub const HOST: &str = "orders.example";
const ZONES: [&str; 4] = ["lukang-a", "lukang-b", "hemei", "changhua-city"];

/// Processes that were started and not waited for, and the folder of the case.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends the script, and the processes that it started, because the case could not run.
pub fn broke_down(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    for id in STARTED.lock().unwrap().iter() {
        // SAFETY: a call without memory; the process is a child that was not waited for.
        unsafe { kill(*id as i32, SIGKILL) };
    }
    if let Some(folder) = FOLDER.lock().unwrap().as_ref() {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(2);
}

/// One entry host.
pub struct Host {
    pub ip: Ipv4Addr,
    pub settings: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Ends the process however the script ends.
impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

impl Host {
    pub fn start(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.settings.with_extension("log"));
        let Ok(log) = log else { broke_down("no log file") };
        let command = Command::new("target/release/tarragon-entryd")
            .args(["--config", "deploy/entry.toml"])
            .env("TARRAGONSTALL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match command {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                *self.child.lock().unwrap() = Some(child);
            }
            Err(e) => broke_down(&format!("target/release/tarragon-entryd: {e}")),
        }
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            // SAFETY: a call without memory; the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits until it is gone.
    pub fn end(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }
}

pub struct Cell {
    pub world: Arc<World>,
    pub dir: PathBuf,
    pub hosts: Vec<Host>,
    pub workers: Vec<Arc<Worker>>,
    pub ports: Ports,
    pub net: u8,
}

#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub peer: u16,
    pub worker: u16,
    pub cloud: u16,
}

pub struct Plan {
    /// Hosts with a disk, the first ones.
    pub with_disk: usize,
    pub without_disk: usize,
    pub workers: usize,
    pub worker_cpu: u64,
    pub worker_mem_mb: u64,
    /// Address of the platform's interface for machines, if the case has one.
    pub has_cloud: bool,
    /// Hosts that the settings name as seeds.
    pub seeds: [usize; 3],
}

impl Cell {
    pub fn host_ip(net: u8, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, net, 1 + (index % 4) as u8, 1 + (index / 4) as u8)
    }

    pub fn worker_ip(net: u8, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, net, 100 + (index / 200) as u8, 1 + (index % 200) as u8)
    }

    /// Writes the settings and starts nothing yet.
    pub fn new(world: &Arc<World>, plan: &Plan) -> Cell {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("tarragonstall-review-{pid}"));
        let _ = fs::remove_dir_all(&dir);
        if let Err(e) = fs::create_dir_all(&dir) {
            broke_down(&format!("{}: {e}", dir.display()));
        }
        *FOLDER.lock().unwrap() = Some(dir.clone());
        let (net, ports) = free_ports(plan);
        let count = plan.with_disk + plan.without_disk;
        let seeds = plan.seeds.iter().map(|i| format!("{}:{}", Self::host_ip(net, *i), ports.control));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let mut hosts = Vec::new();
        for index in 0..count {
            let ip = Self::host_ip(net, index);
            let settings = dir.join(format!("host-{index}.conf"));
            let has_disk = index < plan.with_disk;
            let data = dir.join(format!("data-{index}"));
            let mut text = format!(
                "node=front-{zone}-{n}\nrole=entry\nmachine_class=front\nserves=front,control\nip={ip}\nzone={zone}\nregion=changhua\n\
                 zones.lukang-a=changhua\nzones.lukang-b=changhua\nzones.hemei=changhua\nzones.changhua-city=changhua\n\
                 bind_addrs.front={ip}:{front}\nbind_addrs.readiness={ip}:{ready}\nbind_addrs.control={ip}:{control}\n\
                 port_range={peer},{last}\nseeds={seeds}\nbootstrap=true\nin_failure_budget={has_disk}\n\
                 limits.cpu_share=0.5\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
                 discovery=registry\nentry=vip\nheartbeat_ms=1500\n\
                 contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing\n\
                 fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n{BOUNDS}\
                 config_mode=highest\norders=request\ncloud.rate_per_s=60.0\ncloud.duties=\ncloud.duty_per_s=60.0\n",
                zone = ZONES[index % 4],
                n = 1 + index / 4,
                front = ports.front,
                ready = ports.ready,
                control = ports.control,
                peer = ports.peer,
                last = ports.peer + 15,
            );
            if has_disk {
                text.push_str(&format!("limits.disk_mb=128\ndata_dir={}\n", data.display()));
                let _ = fs::create_dir_all(&data);
            }
            if plan.has_cloud {
                text.push_str(&format!("cloud.address={}\n", Self::cloud_addr(net, ports)));
            }
            if let Err(e) = fs::write(&settings, text) {
                broke_down(&e.to_string());
            }
            hosts.push(Host { ip, settings, child: Mutex::default() });
        }
        let control: Vec<_> = hosts.iter().map(|h| format!("{}:{}", h.ip, ports.control)).collect();
        let workers = (0..plan.workers)
            .map(|index| {
                let addr = SocketAddr::new(IpAddr::V4(Self::worker_ip(net, index)), ports.worker);
                let rack = format!("r{}-{}", 1 + index % 4, 1 + index / 6);
                let room = (plan.worker_cpu, plan.worker_mem_mb);
                Worker::new(Arc::clone(world), index, addr, ZONES[index % 4], &rack, SERVICE, room, control.clone())
            })
            .collect();
        Cell { world: Arc::clone(world), dir, hosts, workers, ports, net }
    }

    pub fn cloud_addr(net: u8, ports: Ports) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net, 200, 1)), ports.cloud)
    }

    /// Starts hosts and executors, and sends the first configuration until it is accepted.
    pub fn begin(&self, config: &str) {
        for host in &self.hosts {
            host.start();
        }
        for worker in &self.workers {
            worker.start(true);
        }
        let begun = Instant::now();
        while !self.put_config(0, config, Duration::from_secs(1)).is_some_and(|a| a.status() == 200) {
            if begun.elapsed() > Duration::from_secs(20) {
                broke_down("the first configuration was not accepted within 20 s");
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.world.note("the first configuration is accepted");
        let all_ready = || {
            self.hosts.iter().all(|h| {
                let addr = format!("{}:{}", h.ip, self.ports.ready);
                http::call(&addr, "GET", "/v1/ready", &[], "", Duration::from_millis(500)).is_some_and(|a| a.status() == 200)
            })
        };
        while !all_ready() {
            if begun.elapsed() > Duration::from_secs(20) {
                broke_down("the hosts are not ready after 20 s");
            }
            thread::sleep(Duration::from_millis(100));
        }
        // As on a day: traffic starts some seconds after the machines do.
        thread::sleep(Duration::from_secs(4));
        self.world.note("all hosts are ready");
    }

    pub fn control(&self, host: usize) -> String {
        format!("{}:{}", self.hosts[host % self.hosts.len()].ip, self.ports.control)
    }

    pub fn front(&self, host: usize) -> String {
        format!("{}:{}", self.hosts[host % self.hosts.len()].ip, self.ports.front)
    }

    pub fn put_config(&self, host: usize, config: &str, limit: Duration) -> Option<Message> {
        http::call(&self.control(host), "PUT", "/v1/config", &[], config, limit)
    }

    /// A call of a client; it waits 3 s as on the sites.
    pub fn client(&self, host: usize, method: &str, path: &str, body: &str) -> Option<Message> {
        let headers = [("Host", HOST), ("Deadline-Ms", "3000")];
        http::call(&self.front(host), method, path, &headers, body, Duration::from_secs(3))
    }

    /// Hands a job in, at other hosts after no response, and returns whether it was accepted.
    pub fn submit(&self, host: usize, path: &str, job: &str) -> bool {
        self.submit_told(host, path, job).0
    }

    /// Like `submit`; tells also whether every attempt was rejected.
    pub fn submit_told(&self, host: usize, path: &str, job: &str) -> (bool, bool) {
        let mut is_rejected = true;
        for attempt in 0..5 {
            let answer = self.client(host + attempt, "POST", path, job);
            let status = answer.map(|a| a.status());
            self.world.note(&format!("POST {path} at host {}: {status:?}", (host + attempt) % self.hosts.len()));
            if status.is_some_and(|s| (200..300).contains(&s)) {
                return (true, false);
            }
            is_rejected &= status.is_some_and(|s| s == 503 || (400..500).contains(&s));
            thread::sleep(Duration::from_millis(100));
        }
        (false, is_rejected)
    }

    /// The host that leads, by its own metrics page; used only to choose whom a disruption strikes.
    pub fn leader(&self) -> Option<usize> {
        self.hosts.iter().position(|h| {
            let page = http::call(&format!("{}:9464", h.ip), "GET", "/metrics", &[], "", Duration::from_millis(300));
            page.is_some_and(|p| p.body.lines().any(|l| l.contains("leading") && !l.starts_with('#') && l.ends_with(" 1")))
        })
    }

    pub fn finish(&self) {
        for worker in &self.workers {
            worker.finish();
        }
        for host in &self.hosts {
            host.end();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// A part of the loopback range and ports that are free there, as far as a look tells.
fn free_ports(plan: &Plan) -> (u8, Ports) {
    let pid = std::process::id();
    let hosts = plan.with_disk + plan.without_disk;
    'next: for attempt in 0..200u32 {
        let net = 16 + ((pid + attempt * 7) % 200) as u8;
        let base = 20_000 + ((pid + attempt * 13) % 97 * 100) as u16;
        let ports = Ports {
            front: base,
            ready: base + 1,
            control: base + 2,
            worker: base + 3,
            cloud: base + 4,
            peer: base + 10,
        };
        for index in 0..hosts {
            let ip = Cell::host_ip(net, index);
            for port in [ports.front, ports.ready, ports.control, ports.peer, 9_464] {
                if TcpListener::bind((ip, port)).is_err() {
                    continue 'next;
                }
            }
        }
        for index in 0..plan.workers {
            if TcpListener::bind((Cell::worker_ip(net, index), ports.worker)).is_err() {
                continue 'next;
            }
        }
        return (net, ports);
    }
    broke_down("no free ports")
}

/// A queue of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub priority: u32,
    pub max_attempts: u32,
}

pub fn config(version: u64, routes: &[Route]) -> String {
    let routes = routes.iter().map(|r| {
        format!(
            "{{\"name\":{},\"host\":\"{HOST}\",\"path_prefix\":{},\"type\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":{},\"service\":\"{SERVICE}\",\"max_attempts\":{},\"stretch\":2.0}}",
            quote(&format!("r{}", r.prefix.trim_matches('/'))),
            quote(r.prefix),
            r.priority,
            r.max_attempts
        )
    });
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":false,\"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.collect::<Vec<_>>().join(",")
    )
}

/// The bounds of the site, as its settings files hold them.
const BOUNDS: &str = "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.recovery_s=12\nbounds.max_hold_ms=10000\nbounds.stop_ms=900\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.far_factor=1.5\nbounds.checkpoint_interval_s=1\nbounds.restore_ms=250\nbounds.notice_ms=4500\nbounds.migrate_s=1.5\nbounds.maintenance_s=2\nbounds.require_fencing=true\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300\nbounds.pace_ms=100\nbounds.harm_ms=4000\n";

pub fn pending_count(answer: &Message) -> Option<u64> {
    if answer.status() != 200 {
        return None;
    }
    Json::parse(&answer.body)?.num("pending_count").map(|n| n as u64)
}
