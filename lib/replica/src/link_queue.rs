use std::sync::Arc;

use tarragon_wire::peer::PeerEvent;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Messages that may be queued for a link.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Size of the messages that may be queued for a link, in bytes. A link of 2 Mbit/s carries them in
/// 17 s; later ones would arrive long after their senders have sent them again.
const MAX_QUEUED_BYTES: u32 = 4 << 20;

/// A queued message, and the room that it takes up until this is dropped.
pub(crate) type QueuedEvent = (PeerEvent, OwnedSemaphorePermit);

/// Sending end of the queue of a link, which is bounded in messages and in bytes.
#[derive(Debug)]
pub(crate) struct LinkQueue {
    tx: mpsc::Sender<QueuedEvent>,
    room: Arc<Semaphore>,
}

impl LinkQueue {
    /// Returns an empty queue and its receiving end.
    pub(crate) fn new() -> (Self, mpsc::Receiver<QueuedEvent>) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let room = Arc::new(Semaphore::new(MAX_QUEUED_BYTES as usize));
        (Self { tx, room }, rx)
    }

    /// Queues a message; returns false if the queue is full or closed.
    ///
    /// A message above the bound takes all of the room, so it passes if the queue is empty: a snapshot
    /// is one message.
    pub(crate) fn push(&self, event: PeerEvent) -> bool {
        let size = u32::try_from(event.approximate_bytes()).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.room);
        let Ok(permit) = room.try_acquire_many_owned(size.min(MAX_QUEUED_BYTES)) else {
            return false;
        };
        self.tx.try_send((event, permit)).is_ok()
    }
}
