//! A bounded map of what is known about the keys that were used lately.
//!
//! Invariant: at most `CAPACITY` keys; inserting one more evicts the least recently used half.

use std::collections::BTreeMap;

/// Request classes and tenants about which something is remembered.
pub const RECENTLY_SEEN_CAPACITY: usize = 4096;

#[derive(Clone, Debug)]
struct Entry<V> {
    last_use: u64,
    value: V,
}

/// A map that keeps its most recently used keys.
#[derive(Clone, Debug)]
pub struct RecentlySeen<K, V, const CAPACITY: usize> {
    entries: BTreeMap<K, Entry<V>>,
    /// Counts uses: their order, not their time.
    use_count: u64,
}

impl<K, V, const CAPACITY: usize> Default for RecentlySeen<K, V, CAPACITY> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), use_count: 0 }
    }
}

impl<K: Ord + Copy, V: Default, const CAPACITY: usize> RecentlySeen<K, V, CAPACITY> {
    /// The value of a key that is used now, inserted if absent.
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

    /// The value of a key; this does not count as a use.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &K) {
        self.entries.remove(key);
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the values in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.entries.values().map(|entry| &entry.value)
    }
}
