use std::{
    collections::BTreeMap,
    io::{self, Write},
};

use parking_lot::Mutex;
use tarragon_telemetry::{Event, EventId, EventSink, Level};

/// Counts the events of one host by name, and prints its warnings and errors.
#[derive(Debug)]
pub struct HostEvents {
    host: u8,
    counts: Mutex<BTreeMap<&'static str, usize>>,
}

impl HostEvents {
    pub fn new(host: u8) -> Self {
        Self {
            host,
            counts: Mutex::default(),
        }
    }

    /// Number of events with this name.
    pub fn count(&self, name: &str) -> usize {
        self.counts.lock().get(name).copied().unwrap_or_default()
    }
}

impl EventSink for HostEvents {
    fn emit(&self, event: &Event) -> EventId {
        *self.counts.lock().entry(event.name).or_default() += 1;
        if event.level.is_at_least(Level::Warning) {
            let detail = event.detail.as_deref().unwrap_or_default();
            let line = format!("host {}: {} {detail}", self.host, event.name);
            if event.name == "storage_failed" {
                // The process exits after this event, and the captured output is lost with it.
                let _written = writeln!(io::stderr(), "{line}");
            } else {
                println!("{line}");
            }
        }
        EventId::default()
    }
}
