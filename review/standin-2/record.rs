//! What was sent, answered and run, with the time since the start; the lines go into `record.txt`.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// The record of a case, shared by all its threads.
#[derive(Clone, Debug)]
pub struct Record(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    begun: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Inner {
            begun: Instant::now(),
            out: Mutex::new(BufWriter::new(File::create(path)?)),
        })))
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.0.begun.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let now = self.0.begun.elapsed().as_secs_f64();
        let mut out = self.0.out.lock().unwrap_or_else(|e| e.into_inner());
        let _written = writeln!(out, "{now:9.3} {text}");
    }

    /// Writes a line to the record and to the terminal.
    pub fn tell(&self, text: &str) {
        self.note(text);
        println!("{text}");
        self.flush();
    }

    pub fn flush(&self) {
        let mut out = self.0.out.lock().unwrap_or_else(|e| e.into_inner());
        let _flushed = out.flush();
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// A generator of pseudo-random numbers (splitmix64), seeded by the case.
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// A job id as a client chooses it: 16 hexadecimal digits.
    pub fn job_id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}
