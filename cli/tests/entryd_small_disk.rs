//! Guards against entry daemons whose log outgrows the disk of their settings, so that none of them
//! starts again.

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

/// Daemons on loopback addresses, which end with the test.
struct Cell {
    folder: TempDir,
    daemons: Vec<Child>,
}

impl Cell {
    fn new() -> Self {
        Self {
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
            let ip = format!("127.97.2.{host}");
            let settings = format!(
                "node=h{host}\nip={ip}\nzone=z{host}\nbind_addrs.control={ip}:8166\n\
                 port_range=7720,7735\nseeds=127.97.2.1:8166,127.97.2.2:8166,127.97.2.3:8166\n\
                 bootstrap={is_first_start}\nfault_tolerance.machines=1\nbounds.contact_ms=3000\n\
                 bounds.grace_s=2\nheartbeat_ms=500\nlimits.disk_mb={DISK_MIB}\n\
                 limits.memory_mb=260\ndata_dir={}\n",
                data_dir.display()
            );
            fs::write(&own, "metrics_port = 9465\n").expect("the settings are writable");
            fs::write(&platform, settings).expect("the settings are writable");
            let child = Command::new(env!("CARGO_BIN_EXE_tarragon-entryd"))
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

/// Sends a request to the control address of a host; `None` without a whole answer.
fn call(host: u64, method: &str, body: &str) -> Option<(u16, String)> {
    let address = format!("127.97.2.{}:8166", host % u64::from(HOSTS) + 1);
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
fn call_until_done(method: &str, body: &str) -> String {
    let started_at = Instant::now();
    for host in 0.. {
        if let Some((200, answer)) = call(host, method, body) {
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

#[test]
fn daemons_stay_within_their_disks_and_start_again() {
    let mut cell = Cell::new();
    cell.start(true);
    for version in 1..=CONFIGURATIONS {
        call_until_done("PUT", &configuration(version));
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
            let answer = call_until_done("GET", "");
            assert_eq!(answer, configuration(version));
        }
    }
}
