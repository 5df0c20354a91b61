//! The record of a play: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Writes lines to the record and to standard output.
#[derive(Clone)]
pub struct Recorder {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Recorder {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            begun: Instant::now(),
        })
    }

    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.begun.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().expect("no thread panics with the lock");
        // A full disk shows in the missing lines.
        let _written = file.write_all(line.as_bytes());
    }
}
