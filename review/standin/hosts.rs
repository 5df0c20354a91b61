//! The entry hosts: the program of the deploy file as one process for each machine.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// `grace_s`.
const GRACE: Duration = Duration::from_secs(6);

const FRONT: u16 = 8_161;
const CONTROL: u16 = 8_166;
const READINESS: u16 = 8_167;
const METRICS: u16 = 9_464;

/// Machines with a disk, and all machines, as in the deployment `lukang-twine`.
const DISKS: u8 = 4;
const MACHINES: u8 = 9;
const SEEDS: u8 = 3;
const ZONES: [&str; 4] = ["lukang-a", "lukang-b", "hemei", "changhua-city"];

/// One machine and its process.
pub struct Host {
    pub address: Ipv4Addr,
    number: u8,
    folder: PathBuf,
    child: Option<Child>,
}

/// Processes that were started, so that all are ended whatever happens.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Takes out a process that has ended, since its number may be given to another one.
fn forget(pid: u32) {
    STARTED.lock().expect("no panics").retain(|started| *started != pid);
}

/// Ends all processes that are left.
pub fn end_all() {
    for pid in STARTED.lock().expect("no panics").drain(..) {
        send_signal(pid, SIGKILL);
    }
}

/// Sends a signal to a child that was not waited for.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: the call has no memory effects.
    unsafe { kill(pid as i32, signal) };
}

/// All machines. Their processes end when this is dropped.
pub struct Hosts {
    pub all: Vec<Host>,
    net: [u8; 2],
    cloud: Option<SocketAddr>,
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &mut self.all {
            host.kill();
        }
    }
}

impl Host {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.address, FRONT))
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::from((self.address, CONTROL))
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            send_signal(pid, signal);
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = (child.kill(), child.wait());
            forget(child.id());
        }
    }

    /// Waits for the end of the process, and kills it if it takes longer than `grace_s`.
    pub fn wait(&mut self) {
        let begun = Instant::now();
        while let Some(child) = &mut self.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                forget(child.id());
                self.child = None;
            } else if begun.elapsed() > GRACE {
                self.kill();
            } else {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Empties the disk of a machine whose process has ended.
    pub fn wipe(&self) {
        let _removed = fs::remove_dir_all(self.folder.join("disk"));
    }

    fn metric(&self, name: &str) -> Option<f64> {
        let address = SocketAddr::from((self.address, METRICS));
        let limit = Duration::from_millis(300);
        let (_, page) = http::call(address, "GET", "/metrics", &[], "", limit).ok()?;
        let line = page.lines().find(|line| line.split(' ').next() == Some(name))?;
        line.split(' ').nth(1)?.parse().ok()
    }
}

impl Hosts {
    /// Starts all machines for the first time; `net` are the middle numbers of their addresses.
    pub fn start(net: [u8; 2], folder: &Path, cloud: Option<SocketAddr>) -> std::io::Result<Self> {
        let mut hosts = Self {
            all: Vec::new(),
            net,
            cloud,
        };
        for number in 1..=MACHINES {
            let folder = folder.join(format!("host-{number}"));
            fs::create_dir_all(&folder)?;
            hosts.all.push(Host {
                address: Ipv4Addr::new(127, net[0], net[1], number),
                number,
                folder,
                child: None,
            });
        }
        for number in 0..hosts.all.len() {
            hosts.start_one(number, true)?;
        }
        Ok(hosts)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start_one(&mut self, at: usize, is_first: bool) -> std::io::Result<()> {
        let settings = self.settings(&self.all[at], is_first)?;
        let host = &mut self.all[at];
        let file = host.folder.join("settings.conf");
        fs::write(&file, settings)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(host.folder.join("log"))?;
        let child = Command::new("target/release/tarragon-entryd")
            .args(["--config", "deploy/entry.toml"])
            .env("TARRAGONSTALL_NODE_FILE", file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().expect("no panics").push(child.id());
        host.child = Some(child);
        Ok(())
    }

    fn settings(&self, host: &Host, is_first: bool) -> std::io::Result<String> {
        let ip = host.address;
        let zone = ZONES[usize::from(host.number - 1) % ZONES.len()];
        let seeds = self.all[..usize::from(SEEDS)].iter();
        let seeds = seeds.map(|seed| seed.control().to_string());
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let mut text = format!(
            "node=front-{number}\nrole=entry\nmachine_class=front\nserves=front,control\nip={ip}\n\
             zone={zone}\nregion=changhua\nzones.lukang-a=changhua\nzones.lukang-b=changhua\n\
             zones.hemei=changhua\nzones.changhua-city=changhua\nbind_addrs.front={ip}:{FRONT}\n\
             bind_addrs.readiness={ip}:{READINESS}\nbind_addrs.control={ip}:{CONTROL}\n\
             port_range=7720,7735\nseeds={seeds}\nbootstrap={is_first}\n\
             limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             discovery=registry\nentry=vip\nheartbeat_ms=1500\n\
             contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\n\
             bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.recovery_s=12\n\
             bounds.max_hold_ms=10000\nbounds.stop_ms=900\nbounds.gang_timeout_ms=3000\n\
             bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\n\
             bounds.finish_s=14\nbounds.status_s=120\nbounds.far_factor=1.5\n\
             bounds.checkpoint_interval_s=1\nbounds.restore_ms=250\nbounds.notice_ms=4500\n\
             bounds.migrate_s=1.5\nbounds.maintenance_s=2\nbounds.require_fencing=true\n\
             bounds.lease_ms=3000\nbounds.thaw_slack_ms=300\nbounds.pace_ms=100\n\
             bounds.harm_ms=4000\nconfig_mode=highest\norders=request\n",
            number = host.number,
        );
        let has_disk = host.number <= DISKS;
        text += &format!("in_failure_budget={has_disk}\n");
        if has_disk {
            let disk = host.folder.join("disk");
            fs::create_dir_all(&disk)?;
            text += &format!("data_dir={}\nlimits.disk_mb=128\n", disk.display());
        }
        if let Some(cloud) = self.cloud {
            text += &format!(
                "cloud.address={cloud}\ncloud.rate_per_s=60.0\ncloud.duties=\ncloud.duty_per_s=60.0\n"
            );
        }
        Ok(text)
    }

    /// Address on the same network for a stand-in.
    pub fn other(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.net[0], self.net[1], number), port))
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.all.iter().map(Host::control).collect()
    }

    /// Index of the machine that says that it leads; for the choice of where to strike only.
    pub fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| host.child.is_some() && host.metric("tarragon_leading") == Some(1.0);
        self.all.iter().position(leads)
    }
}

/// Finds middle numbers of loopback addresses whose ports are free.
pub fn free_net() -> Option<[u8; 2]> {
    let seed = std::process::id();
    (0..200_u32).map(|i| seed.wrapping_mul(7_919).wrapping_add(i * 65_537)).find_map(|mix| {
        let net = [1 + (mix >> 8) as u8 % 250, 1 + mix as u8 % 250];
        let is_free = |port: u16| {
            (1..=MACHINES).all(|number| {
                TcpListener::bind((Ipv4Addr::new(127, net[0], net[1], number), port)).is_ok()
            })
        };
        let ports = [FRONT, CONTROL, READINESS, METRICS, 7_720];
        ports.into_iter().all(is_free).then_some(net)
    })
}
