//! The policies beside the tracker: settlement, prefetch, message cache, broker selection.

mod broker_selector;
mod message_cache;
mod prefetch_window;
mod settlement_table;

use hazelspur::Timestamp;

/// A time of the test's clock, in milliseconds.
fn at(ms: u64) -> Timestamp {
    Timestamp::from_us(1_000_000_000 + ms * 1000)
}
