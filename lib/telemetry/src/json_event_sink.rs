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

use crate::{Event, EventId, EventSink, line_drain::LineDrain, line_queue::LineQueue};

/// Maximum time for which a flush, or the end of the process, waits for queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Sink that writes events as lines of JSON on a background thread.
#[derive(Debug)]
pub struct JsonEventSink {
    logger: Logger,
    process: Name,
    start: Instant,
    seq: AtomicU64,
    level: AtomicUsize,
    queue: Arc<LineQueue>,
    dropped: Arc<AtomicU64>,
}

impl JsonEventSink {
    /// Creates a sink that appends to a file.
    pub fn to_file(
        host: &HostName,
        domain: &DomainName,
        path: &Path,
        level: Level,
    ) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self::new(host, domain, Box::new(file), level))
    }

    /// Creates a sink that writes to standard error.
    pub fn to_stderr(host: &HostName, domain: &DomainName, level: Level) -> Self {
        Self::new(host, domain, Box::new(io::stderr()), level)
    }

    /// Creates a sink that writes to `out` and starts its thread.
    pub fn new(
        host: &HostName,
        domain: &DomainName,
        out: Box<dyn Write + Send>,
        level: Level,
    ) -> Self {
        // The start time distinguishes two processes of a host that got the same process id.
        let process = Name::from(format!("{host}/{}/{}", process::id(), unix_ms()));
        let queue = Arc::new(LineQueue::default());
        let dropped = Arc::new(AtomicU64::new(0));
        let (writer_queue, lost) = (Arc::clone(&queue), Arc::clone(&dropped));
        let spawned = thread::Builder::new()
            .name("events".to_owned())
            .spawn(move || {
                writer_queue.run_writer(out, |line_count| {
                    lost.fetch_add(line_count, Ordering::Relaxed);
                });
            });
        spawned.expect("thread of the event writer must start");
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

    /// Sets the minimum severity of the events that are written.
    pub fn set_level(&self, level: Level) {
        self.level.store(level.as_usize(), Ordering::Relaxed);
    }

    /// Minimum severity of the events that are written.
    pub fn level(&self) -> Level {
        Level::from_usize(self.level.load(Ordering::Relaxed)).unwrap_or(Level::Info)
    }

    /// Number of events lost because the queue was full, or encoding or writing failed.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all emitted events are written, but no longer than 500 ms.
    pub fn flush(&self) {
        self.queue.flush(FLUSH_TIMEOUT);
    }

    /// Identifier of this process in its events.
    pub fn process(&self) -> &Name {
        &self.process
    }
}

impl Drop for JsonEventSink {
    fn drop(&mut self) {
        self.queue.close(FLUSH_TIMEOUT);
    }
}

impl EventSink for JsonEventSink {
    fn emit(&self, event: &Event) -> EventId {
        // Events below the level get a number too, so that event ids do not depend on the level.
        let seq = 1 + self.seq.fetch_add(1, Ordering::Relaxed);
        if event.level.is_at_least(self.level()) {
            let times = b!(
                "seq" => seq,
                "mono" => self.start.elapsed().as_millis() as u64,
                "ts" => unix_ms(),
                event
            );
            let metadata = record_static!(event.level, "");
            self.logger
                .log(&Record::new(&metadata, &format_args!(""), times));
        }
        EventId {
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
