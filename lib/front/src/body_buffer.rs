use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tarragon_codes::{Code, Failure, Outcome};

use crate::BodyBudget;

/// Time after which a caller may repeat a request whose body had no room, in milliseconds.
const NO_ROOM_RETRY_MS: u64 = 1_000;

/// Bytes of a request body, counted in a budget for as long as they are in memory.
///
/// Chunks are copied, because a slice of a few bytes would keep the whole read buffer of its
/// connection.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    buf: BytesMut,
    budget: Arc<BodyBudget>,
}

impl BodyBuffer {
    /// A buffer for a body that announces `announced_bytes`; fails if the budget has no room for them.
    pub(crate) fn new(budget: Arc<BodyBudget>, announced_bytes: usize) -> Outcome<Self> {
        if !budget.has_room(announced_bytes) {
            return Err(no_room());
        }
        Ok(Self {
            buf: BytesMut::new(),
            budget,
        })
    }

    pub(crate) fn len(&self) -> usize {
        self.buf.len()
    }

    /// Appends a chunk; fails if the budget has no room for it.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Outcome<()> {
        if !self.budget.take(self.buf.len(), chunk.len()) {
            return Err(no_room());
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// The whole body, counted until its last clone is dropped.
    pub(crate) fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.budget.release(self.buf.len());
    }
}

fn no_room() -> Failure {
    let cause = "no room for the body beside those of other requests";
    Failure::new(Code::QueueFull, cause).retry_after(NO_ROOM_RETRY_MS)
}
