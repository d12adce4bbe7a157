//! Bytes that live on the heap, counted for each thread: a run is played by one, so what a run holds is what its
//! thread holds. The laboratory's program installs it; where nobody did, nothing is said. It counts what was
//! asked for, without the allocator's own heads and holes.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static LIVE: Cell<i64> = const { Cell::new(0) };
}

/// The system's allocator, and a sum beside it.
pub struct CountingAllocator;

fn add(bytes: i64) {
    // A thread that ends may free after its own count is gone.
    let _ = LIVE.try_with(|live| live.set(live.get() + bytes));
}

// SAFETY: each call goes on to the system's allocator as it came; the count touches no memory but its own.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size() as i64);
        // SAFETY: the caller keeps the contract.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        add(-(layout.size() as i64));
        // SAFETY: the caller keeps the contract.
        unsafe { System.dealloc(at, layout) }
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, new: usize) -> *mut u8 {
        add(new as i64 - layout.size() as i64);
        // SAFETY: the caller keeps the contract.
        unsafe { System.realloc(at, layout, new) }
    }
}

/// What this thread asked for and has not given back; none where `CountingAllocator` is not the program's
/// allocator.
pub fn live_bytes() -> Option<i64> {
    let count = || LIVE.with(Cell::get);
    let before = count();
    let probe = std::hint::black_box(Box::new([0u8; 64]));
    let counted = count() - before == 64;
    drop(probe);
    counted.then(count)
}
