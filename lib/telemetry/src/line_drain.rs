use std::{
    fmt::{self, Debug, Formatter},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use slog::{Drain, KV, Key, Never, OwnedKVList, Record, Serializer};

use crate::line_queue::LineQueue;

/// Initial size of the buffer for a line. Most lines fit without growing it.
const INITIAL_LINE_BYTES: usize = 512;

/// Drain that queues each record as a line of JSON. Counts the records that do not fit into the
/// queue or cannot be encoded.
pub(crate) struct LineDrain {
    queue: Arc<LineQueue>,
    dropped: Arc<AtomicU64>,
}

impl LineDrain {
    pub(crate) fn new(queue: Arc<LineQueue>, dropped: Arc<AtomicU64>) -> Self {
        Self { queue, dropped }
    }
}

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = JsonLine(Vec::with_capacity(INITIAL_LINE_BYTES));
        let encoded = values
            .serialize(record, &mut line)
            .and_then(|()| record.kv().serialize(record, &mut line));
        line.0.extend_from_slice(b"}\n");
        if encoded.is_err() || !self.queue.push(&line.0) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Debug for LineDrain {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("LineDrain")
            .field("dropped", &self.dropped)
            .finish_non_exhaustive()
    }
}

/// A JSON object under construction, without its closing brace.
struct JsonLine(Vec<u8>);

impl JsonLine {
    fn append_field<T>(&mut self, key: Key, value: &T) -> slog::Result
    where
        T: serde::Serialize + ?Sized,
    {
        self.0.push(if self.0.is_empty() { b'{' } else { b',' });
        let to_slog_error = |_: serde_json::Error| slog::Error::Other;
        serde_json::to_writer(&mut self.0, &key).map_err(to_slog_error)?;
        self.0.push(b':');
        serde_json::to_writer(&mut self.0, value).map_err(to_slog_error)
    }
}

impl Serializer for JsonLine {
    fn emit_arguments(&mut self, key: Key, val: &fmt::Arguments<'_>) -> slog::Result {
        self.append_field(key, &val.to_string())
    }

    fn emit_str(&mut self, key: Key, val: &str) -> slog::Result {
        self.append_field(key, val)
    }

    fn emit_u64(&mut self, key: Key, val: u64) -> slog::Result {
        self.append_field(key, &val)
    }
}
