use std::{
    fs::OpenOptions,
    io::{self, Write},
    path::Path,
    process,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use slog::{Level, Logger, Record, b, o, record_static};
use tarragon_names::{DomainName, HostName, Name};

use crate::{Event, EventSink, Mark, line_drain::LineDrain, line_queue::LineQueue};

/// Time for which the end of a process waits for its last lines.
const LAST_LINES: Duration = Duration::from_millis(500);

/// Sink that writes events as JSON lines from a thread of its own.
#[derive(Debug)]
pub struct Events {
    logger: Logger,
    process: Name,
    start: Instant,
    seq: AtomicU64,
    level: AtomicUsize,
    queue: Arc<LineQueue>,
    dropped: Arc<AtomicU64>,
}

impl Events {
    /// Appends events to a file.
    pub fn to_file(
        host: &HostName,
        domain: &DomainName,
        path: &Path,
        level: Level,
    ) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self::new(host, domain, Box::new(file), level))
    }

    /// Writes events to standard error.
    pub fn to_stderr(host: &HostName, domain: &DomainName, level: Level) -> Self {
        Self::new(host, domain, Box::new(io::stderr()), level)
    }

    /// Writes events to `out`.
    pub fn new(
        host: &HostName,
        domain: &DomainName,
        out: Box<dyn Write + Send>,
        level: Level,
    ) -> Self {
        // The time tells apart two processes of a host that were given the same process id.
        let process = Name::from(format!("{host}/{}/{}", process::id(), unix_ms()));
        let queue = Arc::new(LineQueue::default());
        let dropped = Arc::new(AtomicU64::new(0));
        let (lines, lost) = (Arc::clone(&queue), Arc::clone(&dropped));
        let spawned = thread::Builder::new()
            .name("events".to_owned())
            .spawn(move || {
                lines.write_all(out, |count| {
                    lost.fetch_add(count, Ordering::Relaxed);
                });
            });
        spawned.expect("the process may start a thread at its start");
        let drain = LineDrain::new(Arc::clone(&queue), Arc::clone(&dropped));
        let values = o!(
            "host" => host.to_string(),
            "domain" => domain.to_string(),
            "process" => process.to_string(),
        );
        Self {
            logger: Logger::root(drain, values),
            process,
            start: Instant::now(),
            seq: AtomicU64::new(0),
            level: AtomicUsize::new(level.as_usize()),
            queue,
            dropped,
        }
    }

    /// Changes the least severity of the events that are written.
    pub fn set_level(&self, level: Level) {
        self.level.store(level.as_usize(), Ordering::Relaxed);
    }

    /// Least severity of the events that are written.
    pub fn level(&self) -> Level {
        Level::from_usize(self.level.load(Ordering::Relaxed)).unwrap_or(Level::Info)
    }

    /// Events dropped because the writing thread did not keep up.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until what was emitted is written, at most for a short time.
    pub fn flush(&self) {
        self.queue.flush(LAST_LINES);
    }

    /// Name of this process in the events.
    pub fn process(&self) -> &Name {
        &self.process
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        self.queue.close(LAST_LINES);
    }
}

impl EventSink for Events {
    fn emit(&self, event: &Event) -> Mark {
        // Counted even if not written, so that the marks do not depend on the level.
        let seq = 1 + self.seq.fetch_add(1, Ordering::Relaxed);
        if event.level.is_at_least(self.level()) {
            let times = b!(
                "seq" => seq,
                "mono" => self.start.elapsed().as_millis() as u64,
                "ts" => unix_ms(),
                event
            );
            let place = record_static!(event.level, "");
            self.logger
                .log(&Record::new(&place, &format_args!(""), times));
        }
        Mark {
            process: self.process.clone(),
            seq,
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
