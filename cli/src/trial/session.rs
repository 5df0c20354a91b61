use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use nix::sys::signal::Signal;
use tarragon_client::{Client, ClientConfig};
use tarragon_codes::Outcome;
use tarragon_names::Revision;
use tokio::time::{Instant, sleep};

use super::{
    RequestHistory, TaskHistory, deployment::Deployment, example::Example,
    metrics_sample::MetricsSample, process::Process, trial_host::TrialHost,
};

/// Longest wait for each step of the startup.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest wait for a process to exit after a stop signal.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval between two checks whether a step is done.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running deployment; dropping this value ends its processes.
#[derive(Debug)]
pub struct Session {
    deployment: Deployment,
    programs: PathBuf,
    standins: Vec<Process>,
    daemons: Vec<Process>,
}

impl Session {
    /// Starts all daemons of a deployment.
    pub async fn start(deployment: Deployment, programs: &Path) -> Result<Self, String> {
        let mut session = Self {
            deployment,
            programs: programs.to_owned(),
            standins: Vec::new(),
            daemons: Vec::new(),
        };
        for host in session
            .deployment
            .hosts
            .clone()
            .iter()
            .filter(|host| host.is_initial_voter)
        {
            let settings = host.settings.display().to_string();
            let args = ["--config", &settings, "--init"];
            let mut init = session.spawn(&host.name, "tarragond", &args)?;
            let status = init.wait_for_exit(START_TIMEOUT).await;
            if !status.is_some_and(|status| status.success()) {
                return Err(session.failed(&host.name, "could not create its data folder"));
            }
        }
        for host in &session.deployment.hosts.clone() {
            let settings = host.settings.display().to_string();
            let daemon = session.spawn(&host.name, "tarragond", &["--config", &settings])?;
            session.daemons.push(daemon);
        }
        for host in &session.deployment.hosts.clone() {
            let client = session.client(0).with_host(host.http);
            let ready = poll_until(|| client.is_ready()).await;
            if !ready {
                return Err(session.failed(&host.name, "did not become ready"));
            }
        }
        Ok(session)
    }

    /// Writes catalogue and quotas and waits until they are in force.
    pub async fn configure(&self, example: &Example) -> Outcome<()> {
        let client = self.client(0);
        let mut last = Revision::default();
        for (n, entry) in example.entries.iter().enumerate() {
            let id = format!("trial-entry-{n}");
            last = client.put_entry(entry, Revision(0), &id).await?;
        }
        for (n, quota) in example.quotas.iter().enumerate() {
            let id = format!("trial-quota-{n}");
            client
                .put_quota(&quota.team, &quota.quota, Revision(0), &id)
                .await?;
        }
        let end = Instant::now() + START_TIMEOUT;
        while !client.is_in_force(last).await? && Instant::now() < end {
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Starts workers and executors and waits until the hosts know all of them.
    pub async fn start_standins(&mut self) -> Result<(), String> {
        for name in ["workers", "executors"] {
            let settings = self.deployment.standin(name).display().to_string();
            let standin = self.spawn(name, "tarragon-standin", &["--config", &settings])?;
            self.standins.push(standin);
        }
        let client = &self.client(0);
        let (workers, executors) = (self.deployment.workers, self.deployment.executors);
        let known = poll_until(|| async move {
            let known = client.workers().await.map_or(0, |all| all.len());
            known >= workers
        });
        if !known.await {
            return Err(self.failed("workers", "did not register"));
        }
        let known = poll_until(|| async move {
            // A new home host sends nothing until a lease at an earlier home host would have ended.
            let all = client.executors().await.unwrap_or_default();
            let serving = all.iter().filter(|executor| executor.state == "serving");
            serving.count() >= executors
        });
        if !known.await {
            return Err(self.failed("executors", "did not come into service"));
        }
        Ok(())
    }

    /// Creates one client for each host, which tries that host first.
    pub fn clients(&self) -> Vec<Client> {
        (0..self.deployment.hosts.len())
            .map(|n| self.client(n))
            .collect()
    }

    /// Entry hosts of the deployment.
    pub fn hosts(&self) -> &[TrialHost] {
        &self.deployment.hosts
    }

    /// Running process of a host or of stand-ins.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.daemons
            .iter_mut()
            .chain(&mut self.standins)
            .find(|process| process.name() == name)
    }

    /// Restarts a host whose process has ended.
    pub fn restart(&mut self, name: &str) -> Result<(), String> {
        self.daemons.retain(|daemon| daemon.name() != name);
        let host = self.deployment.hosts.iter().find(|host| host.name == name);
        let host = host.ok_or_else(|| format!("no host {name}"))?;
        let settings = host.settings.display().to_string();
        let daemon = self.spawn(name, "tarragond", &["--config", &settings])?;
        self.daemons.push(daemon);
        Ok(())
    }

    /// Kills and restarts a stand-in process.
    pub async fn replace_standin(&mut self, name: &str) -> Result<(), String> {
        if let Some(process) = self.process(name) {
            process.signal(Signal::SIGKILL);
            process.wait_for_exit(STOP_TIMEOUT).await;
        }
        self.standins.retain(|standin| standin.name() != name);
        let settings = self.deployment.standin(name).display().to_string();
        let standin = self.spawn(name, "tarragon-standin", &["--config", &settings])?;
        self.standins.push(standin);
        Ok(())
    }

    /// Data folder of a host.
    pub fn data(&self, name: &str) -> PathBuf {
        self.deployment.data(name)
    }

    /// Metrics pages of all hosts that answer.
    pub async fn metrics(&self) -> MetricsSample {
        let mut pages = Vec::new();
        for host in &self.deployment.hosts {
            pages.extend(self.client(0).with_host(host.http).metrics().await);
        }
        MetricsSample::new(pages)
    }

    /// Stops all processes, stand-ins first, and returns the errors.
    pub async fn stop(&mut self) -> Vec<String> {
        let mut wrong = Vec::new();
        for processes in [&mut self.standins, &mut self.daemons] {
            for process in processes.iter_mut() {
                if !process.is_running() {
                    wrong.push(format!("{} ended before the trial", process.name()));
                }
                process.terminate();
            }
            for process in processes.iter_mut() {
                match process.wait_for_exit(STOP_TIMEOUT).await {
                    Some(status) if status.success() => {}
                    Some(status) => wrong.push(format!("{} ended with {status}", process.name())),
                    None => wrong.push(format!("{} did not stop", process.name())),
                }
            }
            processes.clear();
        }
        wrong
    }

    /// Reads the records of workers and executors, which are complete once these have stopped.
    pub fn histories(&self) -> Result<(TaskHistory, RequestHistory), String> {
        let read = |path: PathBuf| {
            fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
        };
        let tasks = TaskHistory::parse(&read(self.deployment.task_log())?)?;
        let requests = RequestHistory::parse(&read(self.deployment.request_log())?)?;
        Ok((tasks, requests))
    }

    /// Client that tries the host at `first` before the others.
    pub fn client(&self, first: usize) -> Client {
        let mut hosts: Vec<_> = self.deployment.hosts.iter().map(|host| host.http).collect();
        hosts.rotate_left(first);
        let mut cfg = ClientConfig::new(hosts);
        cfg.token = Some(Deployment::token().into());
        Client::new(cfg)
    }

    fn spawn(&self, name: &str, program: &str, args: &[&str]) -> Result<Process, String> {
        let path = self.programs.join(program);
        Process::start(name, &path, args, &self.deployment.output(name))
            .map_err(|e| format!("cannot start {}: {e}", path.display()))
    }

    /// Builds a message with the last lines that a process printed.
    fn failed(&self, name: &str, cause: &str) -> String {
        let output = fs::read_to_string(self.deployment.output(name)).unwrap_or_default();
        let lines: Vec<_> = output.lines().collect();
        let tail = &lines[lines.len().saturating_sub(5)..];
        format!("{name} {cause}\n{}", tail.join("\n"))
    }
}

/// Polls a condition until it holds; false on timeout.
async fn poll_until<F, R>(condition: F) -> bool
where
    F: Fn() -> R,
    R: Future<Output = bool>,
{
    let end = Instant::now() + START_TIMEOUT;
    while !condition().await {
        if Instant::now() >= end {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    true
}
