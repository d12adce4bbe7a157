//! Tests of the settlement table, the prefetch window, the message cache and the broker selector.

mod broker_selector;
mod message_cache;
mod message_identity;
mod prefetch_window;
mod settlement_table;

use hazelspur::Timestamp;

/// Returns the time `ms` milliseconds after the start of the test's clock.
fn at(ms: u64) -> Timestamp {
    Timestamp::from_us(1_000_000_000 + ms * 1000)
}
