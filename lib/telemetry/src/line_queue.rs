use std::{io::Write, panic::RefUnwindSafe, time::Duration};

use parking_lot::{Condvar, Mutex};

/// Maximum size of all lines that are not written yet. Further lines are dropped, so that a slow
/// reader blocks no caller and memory use stays bounded.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Time for which the writer collects further lines after the first. One write per line would cost
/// more processor time than the decision that the line reports.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Maximum size of one write, unless a single line is longer. A pipe accepts this many bytes
/// atomically, and a reader that truncates longer writes loses no line.
const MAX_WRITE_BYTES: usize = 4_096;

#[derive(Debug, Default)]
struct State {
    /// Queued lines, each with its line feed.
    lines: Vec<u8>,
    line_count: u64,
    /// A caller waits for the queued lines, so the writer skips the batch delay.
    is_urgent: bool,
    is_closed: bool,
    /// Size of the batch that the writer has removed from `lines` and is writing.
    in_flight_bytes: usize,
}

/// Bounded queue of log lines between the threads that emit events and the thread that writes them.
#[derive(Debug, Default)]
pub(crate) struct LineQueue {
    state: Mutex<State>,
    /// Wakes the writer: lines were queued or a flush was requested.
    work_available: Condvar,
    /// Wakes the callers that wait for a flush.
    drained: Condvar,
}

/// `slog` requires drains to be usable after a panic. No operation under the lock can leave a
/// partial line behind.
impl RefUnwindSafe for LineQueue {}

impl LineQueue {
    /// Queues a complete line without blocking; returns false if the queue is full.
    pub(crate) fn push(&self, line: &[u8]) -> bool {
        let mut state = self.state.lock();
        if state.in_flight_bytes + state.lines.len() + line.len() > MAX_QUEUED_BYTES {
            return false;
        }
        if state.lines.is_empty() {
            self.work_available.notify_one();
        }
        state.lines.extend_from_slice(line);
        state.line_count += 1;
        true
    }

    /// Waits until all lines are written, but no longer than `timeout`.
    pub(crate) fn flush(&self, timeout: Duration) {
        self.drain(timeout, false);
    }

    /// Makes the writer return once all lines are written, and waits for the lines no longer than
    /// `timeout`.
    pub(crate) fn close(&self, timeout: Duration) {
        self.drain(timeout, true);
    }

    fn drain(&self, timeout: Duration, is_closing: bool) {
        let mut state = self.state.lock();
        state.is_urgent = true;
        state.is_closed |= is_closing;
        self.work_available.notify_one();
        self.drained.wait_while_for(
            &mut state,
            |state| state.in_flight_bytes > 0 || !state.lines.is_empty(),
            timeout,
        );
    }

    /// Writes lines until the queue is closed. Calls `on_lost` with the number of lines in each batch
    /// that could not be written.
    pub(crate) fn run_writer<F>(&self, mut out: Box<dyn Write + Send>, on_lost: F)
    where
        F: Fn(u64),
    {
        let mut batch = Vec::new();
        loop {
            let mut state = self.state.lock();
            let is_idle = |state: &mut State| state.lines.is_empty() && !state.is_closed;
            self.work_available.wait_while(&mut state, is_idle);
            if state.lines.is_empty() {
                return;
            }
            let can_wait = |state: &mut State| !state.is_urgent && !state.is_closed;
            self.work_available
                .wait_while_for(&mut state, can_wait, BATCH_DELAY);
            batch.clear();
            std::mem::swap(&mut batch, &mut state.lines);
            let line_count = std::mem::take(&mut state.line_count);
            state.in_flight_bytes = batch.len();
            drop(state);
            let written = split_into_writes(&batch).try_for_each(|chunk| out.write_all(chunk));
            if written.and_then(|()| out.flush()).is_err() {
                on_lost(line_count);
            }
            let mut state = self.state.lock();
            state.in_flight_bytes = 0;
            if state.lines.is_empty() {
                state.is_urgent = false;
                self.drained.notify_all();
            }
        }
    }
}

/// Splits a batch at line boundaries into as few parts as [`MAX_WRITE_BYTES`] allows.
fn split_into_writes(mut batch: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        if batch.is_empty() {
            return None;
        }
        let is_line_end = |byte: &u8| *byte == b'\n';
        let window = &batch[..batch.len().min(MAX_WRITE_BYTES)];
        let last_end = window.iter().rposition(is_line_end);
        let last_end = last_end.or_else(|| batch.iter().position(is_line_end));
        let (chunk, rest) = batch.split_at(last_end.map_or(batch.len(), |end| end + 1));
        batch = rest;
        Some(chunk)
    })
}
