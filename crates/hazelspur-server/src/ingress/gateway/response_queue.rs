//! Bytes that wait to be written on a connection. Producers append without waiting; the connection's task writes.

use std::cell::{Cell, RefCell};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::sync::Notify;

/// Capacity that the write buffer keeps after a burst, in bytes.
const KEPT_CAPACITY_BYTES: usize = 16 * 1024;

/// Queue of a connection's output.
#[derive(Default)]
pub(super) struct ResponseQueue {
    queued: RefCell<Vec<u8>>,
    is_writing: Cell<bool>,
    appended: Notify,
    taken: Notify,
    /// A write is complete, or a request has ended.
    progress: Notify,
}

impl ResponseQueue {
    /// Appends what `write` appends.
    pub(super) fn append(&self, write: impl FnOnce(&mut Vec<u8>)) {
        write(&mut self.queued.borrow_mut());
        self.appended.notify_one();
    }

    /// Completes once less than this many bytes are queued.
    pub(super) async fn queued_below(&self, max_bytes: usize) {
        while self.queued.borrow().len() >= max_bytes {
            self.taken.notified().await;
        }
    }

    /// Writes what is queued until a write fails.
    pub(super) async fn write_to(&self, writer: &mut WriteHalf<'_>) {
        let mut buffer = Vec::new();
        loop {
            self.next_batch(&mut buffer).await;
            if writer.write_all(&buffer).await.is_err() {
                return;
            }
        }
    }

    /// Takes all that is queued, once the previous batch is written.
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

    /// Completes once everything is written.
    pub(super) async fn flushed(&self) {
        while !self.queued.borrow().is_empty() || self.is_writing.get() {
            self.progress.notified().await;
        }
    }

    /// Completes at the next progress: a write, or the end of a request.
    pub(super) async fn progressed(&self) {
        self.progress.notified().await;
    }

    pub(super) fn notify_progress(&self) {
        self.progress.notify_one();
    }
}
