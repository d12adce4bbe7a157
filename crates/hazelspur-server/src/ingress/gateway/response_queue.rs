//! Queue of the bytes to be written to a connection. Producers append without waiting; the connection's task
//! writes all queued bytes at once.

use std::cell::{Cell, RefCell};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::sync::Notify;

/// Maximum capacity that the write buffer keeps after a batch is written, in bytes.
const KEPT_CAPACITY_BYTES: usize = 16 * 1024;

/// Output queue of one connection.
#[derive(Default)]
pub(super) struct ResponseQueue {
    queued: RefCell<Vec<u8>>,
    is_writing: Cell<bool>,
    /// Notified when bytes are appended.
    appended: Notify,
    /// Notified when a batch is taken for writing.
    taken: Notify,
    /// Notified when a write is complete or a request has ended.
    progress: Notify,
}

impl ResponseQueue {
    /// Passes the queue's buffer to `write`, which may only append to it, and wakes the writer.
    pub(super) fn append(&self, write: impl FnOnce(&mut Vec<u8>)) {
        write(&mut self.queued.borrow_mut());
        self.appended.notify_one();
    }

    /// Completes once fewer than `max_bytes` bytes are queued.
    pub(super) async fn queued_below(&self, max_bytes: usize) {
        while self.queued.borrow().len() >= max_bytes {
            self.taken.notified().await;
        }
    }

    /// Writes queued bytes as they are appended; returns once a write fails.
    pub(super) async fn write_to(&self, writer: &mut WriteHalf<'_>) {
        let mut buffer = Vec::new();
        loop {
            self.next_batch(&mut buffer).await;
            if writer.write_all(&buffer).await.is_err() {
                return;
            }
        }
    }

    /// Marks the previous batch as written, waits for queued bytes and moves all of them to `buffer`.
    async fn next_batch(&self, buffer: &mut Vec<u8>) {
        buffer.clear();
        buffer.shrink_to(KEPT_CAPACITY_BYTES);
        self.is_writing.set(false);
        self.progress.notify_one();
        while self.queued.borrow().is_empty() {
            self.appended.notified().await;
        }
        self.is_writing.set(true);
        std::mem::swap(buffer, &mut *self.queued.borrow_mut());
        self.taken.notify_one();
    }

    /// Completes once all appended bytes are written.
    pub(super) async fn flushed(&self) {
        while !self.queued.borrow().is_empty() || self.is_writing.get() {
            self.progress.notified().await;
        }
    }

    /// Completes at the next end of a write or of a request.
    pub(super) async fn progressed(&self) {
        self.progress.notified().await;
    }

    /// Notifies the waiting task that a request has ended.
    pub(super) fn notify_progress(&self) {
        self.progress.notify_one();
    }
}
