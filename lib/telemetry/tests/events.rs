//! Guards against log lines that the timeline cannot order, and against callers that wait.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

use serde_json::Value;
use tarragon_names::{JobId, TaskId};
use tarragon_telemetry::{Event, EventSink, Events, Level, Mark, NullSink};
use yare::parameterized;

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lines<F>(level: Level, emit: F) -> Vec<Value>
where
    F: FnOnce(&Events),
{
    let out = Shared::default();
    let host = "zilina-1".into();
    let events = Events::new(&host, &"zilina".into(), Box::new(out.clone()), level);
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
fn line_holds_identifiers_and_cause() {
    let task = TaskId {
        job: JobId(7),
        index: 2,
    };
    let found = lines(Level::Info, |events| {
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
    let after: Mark = found[1]["after"].as_str().unwrap().parse().unwrap();
    assert_eq!(found[0]["process"], after.process.as_str());
    assert_eq!(after.seq, 1);
}

#[parameterized(
    info = { Level::Info, &["b"] },
    debug = { Level::Debug, &["a", "b"] },
    error = { Level::Error, &[] },
)]
fn level_changes_while_it_runs(level: Level, expected: &[&str]) {
    let found = lines(Level::Error, |events| {
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

/// Writer that takes nothing until the test lets it.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // The sender is dropped at the end of the test, which lets every write through.
        let _released = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn full_queue_drops_and_counts() {
    let (release, held) = mpsc::channel();
    let host = "zilina-1".into();
    let events = Events::new(&host, &"zilina".into(), Box::new(Stuck(held)), Level::Info);
    for _ in 0..20_000 {
        events.emit(&Event::info("a"));
    }
    assert!(events.dropped() > 10_000, "{}", events.dropped());
    drop(release);
}

#[test]
fn null_sink_gives_no_mark() {
    assert_eq!(NullSink.emit(&Event::info("a")).seq, 0);
}

/// Guards against lines that a process which ends at once leaves behind.
#[test]
fn flush_waits_until_the_lines_are_written() {
    let out = Shared::default();
    let host = "zilina-1".into();
    let events = Events::new(&host, &"zilina".into(), Box::new(out.clone()), Level::Info);
    for _ in 0..100 {
        events.emit(&Event::info("a"));
    }
    events.flush();
    let written = out.0.lock().unwrap().clone();
    assert_eq!(String::from_utf8(written).unwrap().lines().count(), 100);
}

/// Guards against an end of the process that waits for a reader which takes nothing.
#[test]
fn stuck_reader_does_not_hold_up_the_end() {
    let (_release, held) = mpsc::channel();
    let host = "zilina-1".into();
    let events = Events::new(&host, &"zilina".into(), Box::new(Stuck(held)), Level::Info);
    events.emit(&Event::info("a"));
    // Returns although the writer still waits.
    drop(events);
}

/// Writer whose reader has gone.
struct Closed;

impl Write for Closed {
    fn write(&mut self, _buf: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that get lost uncounted.
#[test]
fn lines_that_cannot_be_written_are_counted() {
    let host = "zilina-1".into();
    let events = Events::new(&host, &"zilina".into(), Box::new(Closed), Level::Info);
    for _ in 0..10 {
        events.emit(&Event::info("a"));
    }
    events.flush();
    assert_eq!(events.dropped(), 10);
}

/// Guards against names that break the line they stand in.
#[test]
fn odd_texts_stay_inside_their_line() {
    let odd = "a \"quoted\"\nname\u{0}";
    let found = lines(Level::Info, |events| {
        events.emit(&Event::info("a").request(odd).detail(odd));
    });
    assert_eq!(found.len(), 1);
    assert_eq!(found[0]["request"], odd);
    assert_eq!(found[0]["detail"], odd);
}

/// Writer that keeps each write apart.
#[derive(Clone, Default)]
struct Writes(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for Writes {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().push(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that a reader loses because it takes only the first kilobytes of a write.
#[test]
fn writes_are_short_and_hold_whole_lines() {
    let out = Writes::default();
    let host = "zilina-1".into();
    let events = Events::new(&host, &"zilina".into(), Box::new(out.clone()), Level::Info);
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
