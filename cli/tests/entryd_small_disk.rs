//! Entry daemons whose disks become full, by their own log or by a limit of the system.

use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use tempfile::TempDir;
use yare::parameterized;

/// Number of daemons, all of which vote.
const HOSTS: u8 = 3;

/// Size of each disk in MiB.
const DISK_MIB: u64 = 4;

/// Routes of each configuration; it has about 45 KB.
const ROUTES: u64 = 300;

/// Number of configurations; together they are several times as large as a disk.
const CONFIGURATIONS: u64 = 300;

/// Time after which a wait fails; far longer than expected, so that a busy machine fails no test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Limit of one exchange.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a cell without room is watched; no daemon may end by itself.
const FULL_TIME: Duration = Duration::from_secs(3);

/// Time within which a daemon that met a refused write would have ended.
const EXIT_TIME: Duration = Duration::from_secs(1);

/// Daemons on loopback addresses, which end with the test.
struct Cell {
    /// Third part of the addresses, which differs between concurrent tests.
    subnet: u8,
    folder: TempDir,
    daemons: Vec<Child>,
}

impl Cell {
    fn new(subnet: u8) -> Self {
        Self {
            subnet,
            folder: tempfile::tempdir().expect("a folder"),
            daemons: Vec::new(),
        }
    }

    fn data_dir(&self, host: u8) -> PathBuf {
        self.folder.path().join(format!("data-{host}"))
    }

    fn start(&mut self, is_first_start: bool) {
        for host in 1..=HOSTS {
            let own = self.folder.path().join("own");
            let platform = self.folder.path().join(format!("platform-{host}"));
            let data_dir = self.data_dir(host);
            fs::create_dir_all(&data_dir).expect("creates the data folder");
            let subnet = format!("127.97.{}", self.subnet);
            let ip = format!("{subnet}.{host}");
            let settings = format!(
                "node=h{host}\nip={ip}\nzone=z{host}\nbind_addrs.control={ip}:8166\n\
                 port_range=7720,7735\nseeds={subnet}.1:8166,{subnet}.2:8166,{subnet}.3:8166\n\
                 bootstrap={is_first_start}\nfault_tolerance.machines=1\nbounds.contact_ms=3000\n\
                 bounds.grace_s=2\nheartbeat_ms=500\nlimits.disk_mb={DISK_MIB}\n\
                 limits.memory_mb=260\ndata_dir={}\n",
                data_dir.display()
            );
            fs::write(&own, "metrics_port = 9465\n").expect("the settings are writable");
            fs::write(&platform, settings).expect("the settings are writable");
            // The signal of the limit of `Self::limit_files` would end the daemon.
            let child = Command::new("sh")
                .args(["-c", "trap '' XFSZ; exec \"$@\"", "sh"])
                .arg(env!("CARGO_BIN_EXE_tarragon-entryd"))
                .arg("--config")
                .arg(&own)
                .env("TARRAGONSTALL_NODE_FILE", &platform)
                .stdout(Stdio::null())
                .spawn();
            self.daemons.push(child.expect("the daemon starts"));
        }
    }

    /// Ends all daemons as a loss of power would, without a planned stop.
    fn kill(&mut self) {
        for mut daemon in self.daemons.drain(..) {
            daemon.kill().expect("the daemon runs");
            daemon.wait().expect("the daemon ends");
        }
    }

    /// Sends a request to the control address of a host; `None` without a whole answer.
    fn call(&self, host: u64, method: &str, body: &str) -> Option<(u16, String)> {
        let address = format!(
            "127.97.{}.{}:8166",
            self.subnet,
            host % u64::from(HOSTS) + 1
        );
        let mut stream = TcpStream::connect(&address).ok()?;
        stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
        let head = format!(
            "{method} /v1/config HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(body.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        let (_, body) = answer.split_once("\r\n\r\n")?;
        Some((status, body.to_owned()))
    }

    /// Repeats a request, to one host after another, until it is answered with 200.
    fn call_until_done(&self, method: &str, body: &str) -> String {
        let started_at = Instant::now();
        for host in 0.. {
            if let Some((200, answer)) = self.call(host, method, body) {
                return answer;
            }
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "no answer to {method} within {WAIT_TIMEOUT:?}"
            );
            sleep(Duration::from_millis(50));
        }
        unreachable!("the loop ends with an answer or a panic")
    }

    /// Lets the system refuse to extend files of these daemons, or allows it again.
    fn limit_files(&self, hosts: &[usize], bytes: &str) {
        for host in hosts {
            let pid = self.daemons[*host].id().to_string();
            let limited = Command::new("prlimit")
                .args(["--pid", &pid, &format!("--fsize={bytes}:")])
                .status();
            assert!(limited.expect("prlimit runs").success());
        }
    }

    fn has_exited(&mut self) -> bool {
        let mut daemons = self.daemons.iter_mut();
        daemons.any(|daemon| daemon.try_wait().expect("a child").is_some())
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            let _ended = daemon.kill();
            let _status = daemon.wait();
        }
    }
}

fn configuration(version: u64) -> String {
    let route = |n| {
        format!(
            "{{\"name\":\"r{n}\",\"host\":\"h{n}.example\",\"path_prefix\":\"/p{n}/\",\
             \"type\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":0,\
             \"service\":\"s\",\"max_attempts\":4}}"
        )
    };
    let routes = (0..ROUTES).map(route).collect::<Vec<_>>().join(",");
    format!("{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"s\"}}]}}")
}

fn size_of(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).expect("the folder exists");
    let size = |entry: fs::DirEntry| {
        let path = entry.path();
        if path.is_dir() {
            size_of(&path)
        } else {
            // A file may be replaced in the meantime.
            fs::metadata(&path).map_or(0, |metadata| metadata.len())
        }
    };
    entries.map(|entry| size(entry.expect("an entry"))).sum()
}

/// Guards against daemons whose log outgrows the disk of their settings, so that none of them starts
/// again.
#[test]
fn daemons_stay_within_their_disks_and_start_again() {
    let mut cell = Cell::new(2);
    cell.start(true);
    for version in 1..=CONFIGURATIONS {
        cell.call_until_done("PUT", &configuration(version));
        for host in 1..=HOSTS {
            let size = size_of(&cell.data_dir(host));
            assert!(
                size < DISK_MIB << 20,
                "{size} bytes on host {host} after {version} configurations"
            );
        }
        if version % 100 == 0 {
            assert!(!cell.has_exited(), "a daemon ended by itself");
            cell.kill();
            cell.start(false);
            let answer = cell.call_until_done("GET", "");
            assert_eq!(answer, configuration(version));
        }
    }
}

/// Guards against daemons that end as soon as the system refuses a write, and against a cell that answers
/// nothing then or does not go on once there is room.
#[parameterized(
    one = { 3, &[0] },
    another = { 4, &[1] },
    the_third = { 5, &[2] },
    two = { 6, &[0, 2] },
    all = { 7, &[0, 1, 2] },
)]
fn running_daemons_bear_full_disks(subnet: u8, full: &[usize]) {
    let mut cell = Cell::new(subnet);
    cell.start(true);
    cell.call_until_done("PUT", &configuration(1));
    cell.limit_files(full, "0");
    if full.len() == 1 {
        cell.call_until_done("PUT", &configuration(2));
        sleep(EXIT_TIME);
    } else {
        let started_at = Instant::now();
        while started_at.elapsed() < FULL_TIME {
            let answer = cell.call(0, "PUT", &configuration(2));
            assert_ne!(answer.map(|(status, _)| status), Some(200));
            let answer = cell.call_until_done("GET", "");
            assert_eq!(answer, configuration(1));
        }
    }
    assert!(!cell.has_exited(), "a daemon ended by itself");
    cell.limit_files(full, "unlimited");
    cell.call_until_done("PUT", &configuration(3));
    assert!(!cell.has_exited(), "a daemon ended by itself");
    cell.kill();
    cell.start(false);
    assert_eq!(cell.call_until_done("GET", ""), configuration(3));
}
