//! The entry hosts of a small deployment: one process of the deploy file each, on loopback.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use crate::{http, record::Random};

/// The command of `deploy/system.toml`, run in the root of the repository.
const PROGRAM: &str = "target/release/tarragon-entryd";
const ARGUMENTS: [&str; 2] = ["--config", "deploy/entry.toml"];

pub const ZONES: [&str; 3] = ["zilina", "banska", "martin"];

/// Ports of all hosts of a run.
#[derive(Clone, Copy, Debug)]
struct Ports {
    peer: u16,
    front: u16,
    control: u16,
    ready: u16,
}

/// One entry host and its process.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub has_disk: bool,
    settings: PathBuf,
    log: PathBuf,
    pub process: Option<Child>,
}

/// All entry hosts of a run; they end with it.
#[derive(Debug)]
pub struct Hosts {
    pub all: Vec<Host>,
    pub folder: PathBuf,
}

impl Hosts {
    /// Starts `disks` hosts with a disk and `others` without.
    pub fn start(disks: usize, others: usize) -> io::Result<Self> {
        let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let seed = seed.map_or(0, |since| since.as_nanos() as u64);
        let mut random = Random(seed ^ u64::from(std::process::id()).rotate_left(40));
        let folder = std::env::temp_dir().join(format!("review-2-{:016x}", random.next()));
        fs::create_dir_all(&folder)?;
        let (net, ports) = free_net(&mut random, disks + others)?;
        let ips = (1..=disks + others).map(|i| Ipv4Addr::new(127, net.0, net.1, i as u8));
        let ips = ips.collect::<Vec<_>>();
        let seeds = ips.iter().take(disks.min(3));
        let seeds = seeds.map(|ip| format!("{ip}:{}", ports.control));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let mut all = Vec::new();
        for (i, ip) in ips.iter().enumerate() {
            let has_disk = i < disks;
            let name = format!("front-{}", i + 1);
            let text = settings(&name, *ip, i, has_disk, &seeds, ports, &folder);
            let path = folder.join(format!("{name}.conf"));
            fs::write(&path, text)?;
            let address = |port| SocketAddr::new(IpAddr::V4(*ip), port);
            all.push(Host {
                front: address(ports.front),
                control: address(ports.control),
                ready: address(ports.ready),
                has_disk,
                settings: path,
                log: folder.join(format!("{name}.log")),
                process: None,
                name,
            });
        }
        let mut hosts = Self { all, folder };
        for host in &mut hosts.all {
            host.spawn()?;
        }
        Ok(hosts)
    }

    /// Waits until all hosts report themselves ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let begun = std::time::Instant::now();
        while begun.elapsed() < limit {
            let is_ready = |host: &Host| {
                let answer = http::call(host.ready, "GET", "/v1/ready", "h", "", QUICK);
                answer.is_ok_and(|(status, _)| status == 200)
            };
            if self.all.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Hosts whose process has ended by itself, with how it ended and the end of what it wrote.
    pub fn ended(&mut self) -> Vec<(String, ExitStatus, String)> {
        let mut ended = Vec::new();
        for host in &mut self.all {
            let Some(child) = &mut host.process else {
                continue;
            };
            if let Ok(Some(status)) = child.try_wait() {
                host.process = None;
                ended.push((host.name.clone(), status, host.last_words()));
            }
        }
        ended
    }
}

const QUICK: Duration = Duration::from_millis(800);

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &mut self.all {
            if let Some(mut child) = host.process.take() {
                let _killed = child.kill();
                let _ended = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Host {
    pub fn spawn(&mut self) -> io::Result<()> {
        let out = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("TARRAGONSTALL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(out.try_clone()?))
            .stderr(Stdio::from(out))
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _killed = child.kill();
            let _ended = child.wait();
        }
    }

    /// What the process wrote on a panic, or its last line.
    pub fn last_words(&self) -> String {
        let text = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        let lines = text.lines().collect::<Vec<_>>();
        let panic = lines.iter().position(|line| line.contains("panicked at"));
        match panic {
            Some(at) => lines[at..lines.len().min(at + 2)].join(" "),
            None => lines.last().copied().unwrap_or_default().to_owned(),
        }
    }
}

/// A part of the loopback net and ports on which nothing listens.
fn free_net(random: &mut Random, hosts: usize) -> io::Result<((u8, u8), Ports)> {
    for _ in 0..200 {
        let net = (20 + random.below(200) as u8, 1 + random.below(250) as u8);
        let first = 20_000 + random.below(10_000) as u16;
        let ports = Ports {
            peer: first,
            front: first + 1,
            control: first + 2,
            ready: first + 3,
        };
        let is_free = (1..=hosts).all(|i| {
            let ip = Ipv4Addr::new(127, net.0, net.1, i as u8);
            let mut all = [ports.peer, ports.front, ports.control, ports.ready].into_iter();
            all.all(|port| TcpListener::bind((ip, port)).is_ok())
        });
        if is_free {
            return Ok((net, ports));
        }
    }
    Err(io::Error::other("no free ports on loopback"))
}

#[expect(clippy::too_many_arguments)]
fn settings(
    name: &str,
    ip: Ipv4Addr,
    index: usize,
    has_disk: bool,
    seeds: &str,
    ports: Ports,
    folder: &Path,
) -> String {
    let zone = ZONES[index % ZONES.len()];
    let data_dir = folder.join(format!("data-{name}"));
    let data_dir = if has_disk {
        let _made = fs::create_dir_all(&data_dir);
        format!("data_dir={}\nlimits.disk_mb=128\n", data_dir.display())
    } else {
        String::new()
    };
    let Ports {
        peer,
        front,
        control,
        ready,
    } = ports;
    let cpu_share = if has_disk { "0.5" } else { "0.25" };
    format!(
        "node={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip={ip}\nzone={zone}\n\
         region=sk-central\nzones.zilina=sk-central\nzones.banska=sk-central\n\
         zones.martin=sk-central\nbind_addrs.front={ip}:{front}\n\
         bind_addrs.readiness={ip}:{ready}\nbind_addrs.control={ip}:{control}\n\
         port_range={peer},{peer}\nseeds={seeds}\nbootstrap=true\n\
         in_failure_budget={has_disk}\nlimits.cpu_share={cpu_share}\nlimits.cores=1\n\
         limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n{data_dir}\
         discovery=registry\nentry=vip\nheartbeat_ms=1500\n\
         contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing\n\
         fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
         bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n\
         bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n\
         bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\n\
         bounds.recovery_s=12\nbounds.max_hold_ms=10000\nbounds.stop_ms=900\n\
         bounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n\
         bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.far_factor=1.5\n\
         bounds.checkpoint_interval_s=2\nbounds.restore_ms=600\nbounds.notice_ms=4500\n\
         bounds.migrate_s=1.5\nbounds.maintenance_s=2\nbounds.require_fencing=true\n\
         bounds.lease_ms=3000\nbounds.thaw_slack_ms=300\nbounds.pace_ms=100\nbounds.harm_ms=4000\n\
         config_mode=highest\norders=request\nadvice=\ncloud.address=\ncloud.rate_per_s=60.0\n\
         cloud.duties=\ncloud.duty_per_s=60.0\n"
    )
}
