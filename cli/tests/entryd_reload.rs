//! Guards against settings that take effect only at the next start of the daemon.

use std::{
    fs,
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use yare::parameterized;

/// Settings of the platform for a host that stays alone.
const PLATFORM: &str = "node=a\nip=127.97.1.1\nzone=z\nbind_addrs.front=127.97.1.1:8161\n\
    bind_addrs.readiness=127.97.1.1:8167\nbind_addrs.control=127.97.1.1:8166\n\
    port_range=7720,7735\nseeds=127.97.1.1:8166\nbootstrap=true\n\
    fault_tolerance.machines=0\nbounds.contact_ms=3000\nbounds.grace_s=2\nheartbeat_ms=500\n";

/// The daemon, which ends with the test.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ended = self.0.kill();
        let _status = self.0.wait();
    }
}

/// Reads lines until one holds `part`.
fn wait_for(lines: &mut impl Iterator<Item = std::io::Result<String>>, part: &str) -> String {
    let line = lines.find(|line| line.as_ref().is_ok_and(|line| line.contains(part)));
    line.expect("the log goes on").expect("a line is text")
}

#[test]
fn log_settings_are_taken_in_at_a_signal_and_bad_ones_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let (own, platform) = (folder.path().join("own"), folder.path().join("platform"));
    fs::write(&own, "").expect("the settings are writable");
    fs::write(&platform, PLATFORM).expect("the settings are writable");
    let child = Command::new(env!("CARGO_BIN_EXE_tarragon-entryd"))
        .arg("--config")
        .arg(&own)
        .env("TARRAGONSTALL_NODE_FILE", &platform)
        .stdout(Stdio::piped())
        .spawn();
    let mut daemon = Daemon(child.expect("the daemon starts"));
    let out = daemon.0.stdout.take().expect("its output is a pipe");
    let mut lines = BufReader::new(out).lines();
    wait_for(&mut lines, "\"started\"");
    for (text, expected) in [
        ("[log]\nlevel = \"debug\"\n", "log level Debug"),
        ("[log]\nlevel = \"loud\"\n", "the old settings stay"),
    ] {
        fs::write(&own, text).expect("the settings are writable");
        let pid = Pid::from_raw(daemon.0.id().cast_signed());
        kill(pid, Signal::SIGHUP).expect("the daemon runs");
        wait_for(&mut lines, expected);
    }
}

#[parameterized(
    unknown_key = { "[log]\nvolume = 3\n" },
    impossible_value = { "[log]\nlines_per_s = 0\n" },
)]
fn bad_settings_keep_the_daemon_from_starting(text: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let own = folder.path().join("own");
    fs::write(&own, text).expect("the settings are writable");
    let output = Command::new(env!("CARGO_BIN_EXE_tarragon-entryd"))
        .arg("--config")
        .arg(&own)
        .output()
        .expect("the daemon starts");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}
