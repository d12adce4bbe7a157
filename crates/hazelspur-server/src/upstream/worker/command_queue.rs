//! Queue of the encoded commands that are to be written to the worker's connection.
//!
//! The commands that are taken for writing together form a batch. Invariant: a command of a batch that was
//! not taken has not been written to any connection, so that the worker cannot have read it.

use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// Number of a batch, counted from the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BatchNumber(u64);

/// Queue of encoded commands.
#[derive(Default)]
pub(super) struct CommandQueue {
    queued: RefCell<Vec<u8>>,
    current: Cell<BatchNumber>,
    appended: Notify,
}

impl CommandQueue {
    /// Returns the number of the batch that is not taken yet.
    pub(super) fn current_batch(&self) -> BatchNumber {
        self.current.get()
    }

    /// Appends a command to the current batch.
    pub(super) fn append(&self, write: impl FnOnce(&mut Vec<u8>)) {
        write(&mut self.queued.borrow_mut());
        self.appended.notify_one();
    }

    /// Discards the commands of the current batch, which was meant for a connection that has ended.
    pub(super) fn discard(&self) {
        self.queued.borrow_mut().clear();
    }

    /// Ends the current batch, which is about to be written.
    pub(super) fn end_batch(&self) {
        self.current.set(BatchNumber(self.current.get().0 + 1));
    }

    /// Waits for commands and takes them as one batch into `out`, which must be empty.
    pub(super) async fn take_batch(&self, out: &mut Vec<u8>) {
        // Commands of other tasks that are ready are taken together with the first. None waits for the next
        // turn of the event loop, in which a start could be too late.
        self.appended.notified().await;
        self.end_batch();
        std::mem::swap(out, &mut *self.queued.borrow_mut());
    }
}
