//! A deployment of real processes on loopback, for tests that inject faults.

use std::{
    env,
    path::{Path, PathBuf},
    time::Duration,
};

use nix::sys::signal::Signal;
use tarragon_cli::trial::{Deployment, Example, ReportedOutcomes, Session, wrong_outcomes};
use tarragon_front::HostView;
use tempfile::TempDir;
use tokio::time::{Instant, sleep};
use toml::{Table, Value};

/// Longest wait for an expected event; far above every bound of the design, so that a slow
/// computer does not make a test fail.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running deployment.
pub struct Cell {
    pub session: Session,
    pub example: Example,
    /// Deleted with its contents on drop, unless the environment variable `TARRAGON_KEEP` is set.
    _folder: TempDir,
}

impl Cell {
    /// Starts the nine hosts of an example and an eighth of its workers and executors, with some
    /// times of the protocols changed.
    pub async fn start(timing: &[(&str, i64)]) -> Self {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/kovacik");
        let mut example = Example::load(&root).unwrap();
        let timing = timing
            .iter()
            .map(|(key, ms)| ((*key).to_owned(), Value::from(*ms)));
        let timing = timing.collect::<Table>();
        for host in &mut example.hosts {
            host.insert("timing".to_owned(), timing.clone().into());
        }
        let mut folder = TempDir::new().unwrap();
        if env::var_os("TARRAGON_KEEP").is_some() {
            folder.disable_cleanup(true);
            println!("files are in {}", folder.path().display());
        }
        let deployment = Deployment::prepare(&example, folder.path(), 8).unwrap();
        let mut session = Session::start(deployment, &programs()).await.unwrap();
        session.configure(&example).await.unwrap();
        session.start_standins().await.unwrap();
        Self {
            session,
            example,
            _folder: folder,
        }
    }

    /// Returns the hosts as reported by the first host that answers.
    pub async fn hosts(&self) -> Vec<HostView> {
        for client in self.session.clients() {
            if let Ok(hosts) = client.host_views().await
                && hosts.iter().any(|host| host.role == "leader")
            {
                return hosts;
            }
        }
        Vec::new()
    }

    /// Returns the name of the first host with this role.
    pub async fn with_role(&self, role: &str) -> String {
        let end = Instant::now() + EVENT_TIMEOUT;
        loop {
            let hosts = self.hosts().await;
            if let Some(host) = hosts
                .iter()
                .find(|host| host.role == role && host.reachable)
            {
                return host.name.to_string();
            }
            assert!(Instant::now() < end, "no host with the role {role}");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the hosts satisfy a condition.
    pub async fn wait_until<F>(&self, what: &str, condition: F)
    where
        F: Fn(&[HostView]) -> bool,
    {
        let end = Instant::now() + EVENT_TIMEOUT;
        while !condition(&self.hosts().await) {
            assert!(Instant::now() < end, "{what} did not happen");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, name: &str, signal: Signal) {
        self.session.process(name).unwrap().signal(signal);
    }

    /// Kills a host and waits for its end.
    pub async fn kill(&mut self, name: &str) {
        self.signal(name, Signal::SIGKILL);
        self.session
            .process(name)
            .unwrap()
            .wait_for_exit(EVENT_TIMEOUT)
            .await
            .unwrap();
    }

    /// Stops a host gracefully; true if the process exited successfully.
    pub async fn stop(&mut self, name: &str) -> bool {
        let process = self.session.process(name).unwrap();
        process.terminate();
        process
            .wait_for_exit(EVENT_TIMEOUT)
            .await
            .unwrap()
            .success()
    }

    /// Ends all processes and compares the reported outcomes with the recorded runs.
    pub async fn stop_and_check(mut self, reported: &ReportedOutcomes) -> Vec<String> {
        let mut wrong = self.session.stop().await;
        let (tasks, requests) = self.session.histories().unwrap();
        wrong.extend(wrong_outcomes(reported, &tasks, &requests));
        wrong
    }
}

/// Returns the folder of the programs that were built with this test.
fn programs() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_tarragond"))
        .parent()
        .unwrap()
        .to_owned()
}
