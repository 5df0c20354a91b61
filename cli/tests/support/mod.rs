//! A deployment of real processes on loopback that faults are injected into.

use std::{
    env,
    path::{Path, PathBuf},
    time::Duration,
};

use nix::sys::signal::Signal;
use tarragon_cli::trial::{Deployment, Example, Session, Told, wrong_outcomes};
use tarragon_front::HostView;
use tempfile::TempDir;
use tokio::time::{Instant, sleep};
use toml::{Table, Value};

/// Longest wait for something that has to happen; far above every bound of the design, so that a
/// slow machine does not change the verdict.
const LIMIT: Duration = Duration::from_secs(60);

/// Time between two looks.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// A running deployment.
pub struct Cell {
    pub session: Session,
    pub example: Example,
    /// Removed with its contents at the end, unless the variable `TARRAGON_KEEP` is set.
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

    /// The hosts as a host that answers shows them.
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

    /// Name of the first host with this role.
    pub async fn with_role(&self, role: &str) -> String {
        let end = Instant::now() + LIMIT;
        loop {
            let hosts = self.hosts().await;
            if let Some(host) = hosts
                .iter()
                .find(|host| host.role == role && host.reachable)
            {
                return host.name.to_string();
            }
            assert!(Instant::now() < end, "no host with the role {role}");
            sleep(LOOK_AGAIN).await;
        }
    }

    /// Waits until the hosts satisfy a condition.
    pub async fn wait_until<F>(&self, what: &str, condition: F)
    where
        F: Fn(&[HostView]) -> bool,
    {
        let end = Instant::now() + LIMIT;
        while !condition(&self.hosts().await) {
            assert!(Instant::now() < end, "{what} did not happen");
            sleep(LOOK_AGAIN).await;
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
            .ended(LIMIT)
            .await
            .unwrap();
    }

    /// Stops a host as planned; true if it ended with success.
    pub async fn stop(&mut self, name: &str) -> bool {
        let process = self.session.process(name).unwrap();
        process.terminate();
        process.ended(LIMIT).await.unwrap().success()
    }

    /// Ends all processes and compares what callers were told with what was run.
    pub async fn verdict(mut self, told: &Told) -> Vec<String> {
        let mut wrong = self.session.stop().await;
        let (tasks, requests) = self.session.histories().unwrap();
        wrong.extend(wrong_outcomes(told, &tasks, &requests));
        wrong
    }
}

/// Folder of the programs that were built with this test.
fn programs() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_tarragond"))
        .parent()
        .unwrap()
        .to_owned()
}
