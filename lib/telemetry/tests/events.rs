//! Guards against log lines that the timeline cannot order, and against logging that blocks callers.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

use serde_json::Value;
use tarragon_names::{JobId, TaskId};
use tarragon_telemetry::{Event, EventId, EventSink, JsonEventSink, Level, NullSink};
use yare::parameterized;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn written_lines<F>(level: Level, emit: F) -> Vec<Value>
where
    F: FnOnce(&JsonEventSink),
{
    let out = SharedBuffer::default();
    let host = "zilina-1".into();
    let events = JsonEventSink::new(&host, &"zilina".into(), Box::new(out.clone()), level);
    emit(&events);
    drop(events);
    let bytes = out.0.lock().unwrap().clone();
    String::from_utf8(bytes)
        .unwrap()
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

#[test]
fn line_contains_identifiers_and_cause() {
    let task = TaskId {
        job: JobId(7),
        index: 2,
    };
    let found = written_lines(Level::Info, |events| {
        let first = events.emit(&Event::info("job_accepted").job(JobId(7)));
        events.emit(&Event::info("task_assigned").task(task).after(first));
    });
    assert_eq!(found[0]["host"], "zilina-1");
    assert_eq!(found[0]["domain"], "zilina");
    assert_eq!(found[0]["event"], "job_accepted");
    assert_eq!(found[0]["seq"], 1);
    assert!(found[0]["ts"].is_u64() && found[0]["mono"].is_u64());
    assert_eq!(found[1]["job"], "j7");
    assert_eq!(found[1]["task"], "j7.2");
    let after: EventId = found[1]["after"].as_str().unwrap().parse().unwrap();
    assert_eq!(found[0]["process"], after.process.as_str());
    assert_eq!(after.seq, 1);
}

#[parameterized(
    info = { Level::Info, &["b"] },
    debug = { Level::Debug, &["a", "b"] },
    error = { Level::Error, &[] },
)]
fn level_change_applies_at_once(level: Level, expected: &[&str]) {
    let found = written_lines(Level::Error, |events| {
        events.set_level(level);
        events.emit(&Event::debug("a"));
        events.emit(&Event::info("b"));
    });
    let names: Vec<_> = found
        .iter()
        .map(|line| line["event"].as_str().unwrap())
        .collect();
    assert_eq!(names, expected);
}

/// Writer that blocks until the test releases it.
struct BlockedWriter(mpsc::Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // The test drops the sender at its end, which releases all writes.
        let _released = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn full_queue_drops_and_counts_events() {
    let (release_tx, release_rx) = mpsc::channel();
    let host = "zilina-1".into();
    let events = JsonEventSink::new(
        &host,
        &"zilina".into(),
        Box::new(BlockedWriter(release_rx)),
        Level::Info,
    );
    for _ in 0..20_000 {
        events.emit(&Event::info("a"));
    }
    assert!(events.dropped() > 10_000, "{}", events.dropped());
    drop(release_tx);
}

#[test]
fn null_sink_returns_the_empty_event_id() {
    assert_eq!(NullSink.emit(&Event::info("a")).seq, 0);
}

/// Guards against lost lines when a process exits right after it emitted them.
#[test]
fn flush_waits_until_the_lines_are_written() {
    let out = SharedBuffer::default();
    let host = "zilina-1".into();
    let events = JsonEventSink::new(&host, &"zilina".into(), Box::new(out.clone()), Level::Info);
    for _ in 0..100 {
        events.emit(&Event::info("a"));
    }
    events.flush();
    let written = out.0.lock().unwrap().clone();
    assert_eq!(String::from_utf8(written).unwrap().lines().count(), 100);
}

/// Guards against a process that cannot exit because the reader of its log is blocked.
#[test]
fn blocked_reader_does_not_prevent_exit() {
    let (_release_tx, release_rx) = mpsc::channel();
    let host = "zilina-1".into();
    let events = JsonEventSink::new(
        &host,
        &"zilina".into(),
        Box::new(BlockedWriter(release_rx)),
        Level::Info,
    );
    events.emit(&Event::info("a"));
    // The drop must return although the writer is still blocked.
    drop(events);
}

/// Writer whose reader has closed the pipe.
struct BrokenPipe;

impl Write for BrokenPipe {
    fn write(&mut self, _buf: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lost lines that the drop counter misses.
#[test]
fn lines_that_cannot_be_written_are_counted() {
    let host = "zilina-1".into();
    let events = JsonEventSink::new(&host, &"zilina".into(), Box::new(BrokenPipe), Level::Info);
    for _ in 0..10 {
        events.emit(&Event::info("a"));
    }
    events.flush();
    assert_eq!(events.dropped(), 10);
}

/// Guards against unescaped text, such as a line feed, that splits or corrupts its log line.
#[test]
fn special_characters_are_escaped() {
    let special = "a \"quoted\"\nname\u{0}";
    let found = written_lines(Level::Info, |events| {
        events.emit(&Event::info("a").request(special).detail(special));
    });
    assert_eq!(found.len(), 1);
    assert_eq!(found[0]["request"], special);
    assert_eq!(found[0]["detail"], special);
}

/// Writer that records each write separately.
#[derive(Clone, Default)]
struct RecordingWriter(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for RecordingWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().push(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines lost to a reader that keeps only the first kilobytes of a write.
#[test]
fn writes_are_short_and_contain_whole_lines() {
    let out = RecordingWriter::default();
    let host = "zilina-1".into();
    let events = JsonEventSink::new(&host, &"zilina".into(), Box::new(out.clone()), Level::Info);
    for _ in 0..500 {
        events.emit(&Event::info("a").detail("x".repeat(100)));
    }
    events.emit(&Event::info("long").detail("x".repeat(10_000)));
    events.flush();
    let writes = out.0.lock().unwrap().clone();
    let is_whole = |write: &Vec<u8>| write.ends_with(b"\n");
    assert!(writes.iter().all(is_whole));
    let is_one_line = |write: &Vec<u8>| write.split_inclusive(|byte| *byte == b'\n').count() == 1;
    assert!(
        writes
            .iter()
            .all(|write| write.len() <= 4_096 || is_one_line(write))
    );
    assert!(writes.len() < 100, "{} writes", writes.len());
}
