use std::{io::Write, panic::RefUnwindSafe, time::Duration};

use parking_lot::{Condvar, Mutex};

/// Bytes of lines that are not written yet; more are dropped, so that a slow reader holds up no
/// caller and the memory stays bounded.
const QUEUED_BYTES: usize = 1 << 20;

/// Time for which the writer gathers lines after the first. A write for each line costs more
/// processor time than the decision that it tells of.
const GATHER: Duration = Duration::from_millis(20);

/// Most bytes of one write, unless a single line is longer: a pipe takes so many as a whole, and
/// readers that cut long writes short lose no line.
const WRITE_BYTES: usize = 4_096;

#[derive(Debug, Default)]
struct State {
    lines: Vec<u8>,
    count: u64,
    /// Someone waits for what is queued.
    is_urgent: bool,
    is_closed: bool,
    /// Bytes that the writer has taken and not written yet.
    writing: usize,
}

/// Lines on their way to the thread that writes them.
#[derive(Debug, Default)]
pub(crate) struct LineQueue {
    state: Mutex<State>,
    filled: Condvar,
    emptied: Condvar,
}

/// A drain must be safe to use after a panic; nothing under the lock leaves a line half written.
impl RefUnwindSafe for LineQueue {}

impl LineQueue {
    /// Queues a whole line without waiting; false if there is no room for it.
    pub(crate) fn push(&self, line: &[u8]) -> bool {
        let mut state = self.state.lock();
        if state.writing + state.lines.len() + line.len() > QUEUED_BYTES {
            return false;
        }
        if state.lines.is_empty() {
            self.filled.notify_one();
        }
        state.lines.extend_from_slice(line);
        state.count += 1;
        true
    }

    /// Waits until all lines are written, at most for `limit`.
    pub(crate) fn flush(&self, limit: Duration) {
        self.hurry(limit, false);
    }

    /// Lets the writer end once all lines are written, and waits for that at most for `limit`.
    pub(crate) fn close(&self, limit: Duration) {
        self.hurry(limit, true);
    }

    fn hurry(&self, limit: Duration, is_last: bool) {
        let mut state = self.state.lock();
        state.is_urgent = true;
        state.is_closed |= is_last;
        self.filled.notify_one();
        self.emptied.wait_while_for(
            &mut state,
            |state| state.writing > 0 || !state.lines.is_empty(),
            limit,
        );
    }

    /// Writes lines until the queue is closed; `lost` is told how many could not be written.
    pub(crate) fn write_all<F>(&self, mut out: Box<dyn Write + Send>, lost: F)
    where
        F: Fn(u64),
    {
        let mut batch = Vec::new();
        loop {
            let mut state = self.state.lock();
            let is_idle = |state: &mut State| state.lines.is_empty() && !state.is_closed;
            self.filled.wait_while(&mut state, is_idle);
            if state.lines.is_empty() {
                return;
            }
            let can_wait = |state: &mut State| !state.is_urgent && !state.is_closed;
            self.filled.wait_while_for(&mut state, can_wait, GATHER);
            batch.clear();
            std::mem::swap(&mut batch, &mut state.lines);
            let count = std::mem::take(&mut state.count);
            state.writing = batch.len();
            drop(state);
            let written = chunks(&batch).try_for_each(|chunk| out.write_all(chunk));
            if written.and_then(|()| out.flush()).is_err() {
                lost(count);
            }
            let mut state = self.state.lock();
            state.writing = 0;
            if state.lines.is_empty() {
                state.is_urgent = false;
                self.emptied.notify_all();
            }
        }
    }
}

/// Cuts a batch of whole lines into parts of whole lines, as few as the size of a write allows.
fn chunks(mut batch: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        if batch.is_empty() {
            return None;
        }
        let is_end = |byte: &u8| *byte == b'\n';
        let window = &batch[..batch.len().min(WRITE_BYTES)];
        let last = window.iter().rposition(is_end);
        let last = last.or_else(|| batch.iter().position(is_end));
        let (chunk, rest) = batch.split_at(last.map_or(batch.len(), |at| at + 1));
        batch = rest;
        Some(chunk)
    })
}
