use std::{
    fs::File,
    io,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::time::{Instant, sleep};

/// Interval between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process, which is ended by its id when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program and redirects its output to `output`.
    pub fn start(name: &str, program: &Path, args: &[&str], output: &Path) -> io::Result<Self> {
        let out = File::options().create(true).append(true).open(output)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Returns the name of the process in error messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Operating system's id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process, if it still runs.
    pub fn signal(&mut self, signal: Signal) {
        if self.is_running() {
            // The child has not been waited for, so its id cannot belong to another process.
            let _ended = kill(Pid::from_raw(self.child.id() as i32), signal);
        }
    }

    /// Asks the process to stop.
    pub fn terminate(&mut self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits for the process to exit; `None` if it does not exit in time.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + timeout;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                Ok(None) if Instant::now() < end => sleep(POLL_INTERVAL).await,
                _ => return None,
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.is_running() {
            let _killed = self.child.kill();
            let _status = self.child.wait();
        }
    }
}
