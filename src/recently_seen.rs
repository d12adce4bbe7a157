//! A bounded map that keeps the values of the most recently used keys.
//!
//! Invariant: the map has at most `CAPACITY` keys; inserting one more evicts the least recently used half.

use std::collections::BTreeMap;

/// Maximum number of request classes, or of tenants, for which observations are kept.
pub const RECENTLY_SEEN_CAPACITY: usize = 4096;

#[derive(Clone, Debug)]
struct Entry<V> {
    /// Value of the map's `use_count` at the last use.
    last_use: u64,
    value: V,
}

/// A map that keeps its most recently used keys.
#[derive(Clone, Debug)]
pub struct RecentlySeen<K, V, const CAPACITY: usize> {
    entries: BTreeMap<K, Entry<V>>,
    /// Number of uses so far. It orders the uses in place of their times.
    use_count: u64,
}

impl<K, V, const CAPACITY: usize> Default for RecentlySeen<K, V, CAPACITY> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), use_count: 0 }
    }
}

impl<K: Ord + Copy, V: Default, const CAPACITY: usize> RecentlySeen<K, V, CAPACITY> {
    /// Marks a key as just used and returns its value, which is inserted as the default if absent.
    pub fn touch(&mut self, key: K) -> &mut V {
        if self.entries.len() >= CAPACITY && !self.entries.contains_key(&key) {
            self.evict_older_half();
        }
        self.use_count += 1;
        let entry = self.entries.entry(key).or_insert_with(|| Entry { last_use: 0, value: V::default() });
        entry.last_use = self.use_count;
        &mut entry.value
    }

    fn evict_older_half(&mut self) {
        let mut last_uses: Vec<u64> = self.entries.values().map(|entry| entry.last_use).collect();
        last_uses.sort_unstable();
        let median = last_uses[last_uses.len() / 2];
        self.entries.retain(|_, entry| entry.last_use >= median);
    }

    /// Returns the value of a key, without marking it as used.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &K) {
        self.entries.remove(key);
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the map has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the values in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.entries.values().map(|entry| &entry.value)
    }
}
