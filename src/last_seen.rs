//! A bounded map from keys to the times at which they were last seen.
//!
//! Invariant: a map that reaches [`LAST_SEEN_CAPACITY`] drops the keys that were idle for longest until at
//! most half of the capacity is used. A stream of ever new keys therefore costs bounded memory and little
//! time for evictions.

use crate::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Maximum number of sessions, or of clients, whose last request is remembered.
pub const LAST_SEEN_CAPACITY: usize = 4096;

/// Factor on the idle timeout in each round of evictions, until enough keys are dropped.
const IDLE_TIMEOUT_SHRINK_FACTOR: f64 = 0.5;

/// The time at which each key was last seen.
#[derive(Clone, Debug)]
pub struct LastSeen<K> {
    times: BTreeMap<K, Timestamp>,
}

impl<K> Default for LastSeen<K> {
    fn default() -> Self {
        Self { times: BTreeMap::new() }
    }
}

impl<K: Ord> LastSeen<K> {
    /// Records that a key is seen now and returns the time at which it was last seen before. A full map first
    /// drops keys that were not seen for `idle_timeout`, then for ever shorter times.
    pub fn record(&mut self, key: K, now: Timestamp, idle_timeout: Duration) -> Option<Timestamp> {
        let is_full = self.times.len() >= LAST_SEEN_CAPACITY;
        let max_len = if is_full { LAST_SEEN_CAPACITY / 2 } else { LAST_SEEN_CAPACITY };
        let mut idle_timeout = idle_timeout;
        while self.times.len() > max_len {
            self.times.retain(|_, last_seen| now - *last_seen < idle_timeout);
            idle_timeout = idle_timeout.scaled(IDLE_TIMEOUT_SHRINK_FACTOR);
        }
        self.times.insert(key, now)
    }

    /// Returns the time at which a key was last seen.
    pub fn get(&self, key: &K) -> Option<Timestamp> {
        self.times.get(key).copied()
    }
}
