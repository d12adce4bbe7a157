//! Counts the bytes that each thread holds on the heap. One thread executes a whole run, so the count of the
//! thread is that of the run. The program installs `CountingAllocator` as its global allocator; without it
//! there is no count. Requested bytes are counted, without the allocator's headers and fragmentation.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    /// Bytes that the thread requested less those that it freed.
    static LIVE: Cell<i64> = const { Cell::new(0) };
}

/// The system allocator, which also counts the bytes of each thread.
pub struct CountingAllocator;

fn add(bytes: i64) {
    // A thread that ends may free memory after its thread-local count was destroyed.
    let _ = LIVE.try_with(|live| live.set(live.get() + bytes));
}

// SAFETY: each call is forwarded unchanged to the system allocator; the count uses no memory of the caller.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size() as i64);
        // SAFETY: the caller upholds the contract of `GlobalAlloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        add(-(layout.size() as i64));
        // SAFETY: the caller upholds the contract of `GlobalAlloc`.
        unsafe { System.dealloc(at, layout) }
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, new: usize) -> *mut u8 {
        add(new as i64 - layout.size() as i64);
        // SAFETY: the caller upholds the contract of `GlobalAlloc`.
        unsafe { System.realloc(at, layout, new) }
    }
}

/// Returns the bytes that the calling thread requested less those that it freed, negative if it freed memory
/// of other threads. `None` if `CountingAllocator` is not the program's global allocator.
pub fn live_bytes() -> Option<i64> {
    let count = || LIVE.with(Cell::get);
    let before = count();
    let probe = std::hint::black_box(Box::new([0u8; 64]));
    let counted = count() - before == 64;
    drop(probe);
    counted.then(count)
}
