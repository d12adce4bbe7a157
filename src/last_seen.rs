//! When each key was last seen, within a bound.
//!
//! Invariant: a map past [`LAST_SEEN_CAPACITY`] drops the keys that were idle for longest until at most half
//! of the capacity is left, so that keys which are always new cost neither memory nor time.

use crate::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Sessions and clients whose last request is remembered.
pub const LAST_SEEN_CAPACITY: usize = 4096;

/// By how much the idle timeout shrinks until enough keys are dropped.
const IDLE_TIMEOUT_SHRINK_FACTOR: f64 = 0.5;

/// When each key was last seen.
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
    /// Records that a key is seen now and returns when it was seen before. A full map first drops keys that
    /// were not seen for `idle_timeout`, then for ever shorter times.
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

    /// When a key was last seen.
    pub fn get(&self, key: &K) -> Option<Timestamp> {
        self.times.get(key).copied()
    }
}
