//! A table of entries by name and id. The time of a look-up does not grow with the number of entries.
//!
//! Invariant: an id is assigned once and never reused.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher, Hash};
use std::rc::Rc;
use std::sync::Arc;

/// Maximum length of an entry's name in bytes. A longer one would not fit into a gateway's line beside a
/// request.
pub const MAX_NAME_BYTES: usize = 255;

/// An entry that knows its name.
pub trait Named {
    /// Returns the name; empty where the platform identifies entries by number.
    fn name(&self) -> &Arc<str>;
}

impl<T: Named> Named for Rc<T> {
    fn name(&self) -> &Arc<str> {
        (**self).name()
    }
}

/// An entry of a table with its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Id, assigned once and never reused.
    pub id: usize,
    /// Value stored under the id.
    pub value: T,
}

/// A hash map with fixed hash keys, so that its order is the same in every process.
type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// Entries by name and id. Ids are never reused, so that state kept for a removed entry can't pass to a later
/// one with the same name.
#[derive(Clone, Debug)]
pub struct Table<T, K = Arc<str>> {
    ids: Map<K, usize>,
    entries: Map<usize, T>,
    next_id: usize,
}

impl<T, K> Default for Table<T, K> {
    fn default() -> Self {
        Self { ids: HashMap::default(), entries: HashMap::default(), next_id: 0 }
    }
}

impl<T, K: Clone + Eq + Hash> Table<T, K> {
    /// Returns the id of the entry with a name.
    pub fn find<Q: Eq + Hash + ?Sized>(&self, name: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.ids.get(name).copied()
    }

    /// Returns the entry with an id.
    pub fn get(&self, id: usize) -> Option<&T> {
        self.entries.get(&id)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an entry under a new id, and under its name if it has one, and returns the id. The table must not
    /// have the name yet.
    pub fn add(&mut self, name: Option<K>, entry: T) -> usize {
        let id = self.next_id;
        self.next_id += 1;
        self.entries.insert(id, entry);
        if let Some(name) = name {
            self.ids.insert(name, id);
        }
        id
    }

    /// Replaces the entry with an id and returns the old one. An unknown id changes nothing.
    pub fn replace(&mut self, id: usize, entry: T) -> Option<T> {
        self.entries.get_mut(&id).map(|old| std::mem::replace(old, entry))
    }

    /// Removes and returns the entry with a name.
    pub fn remove<Q: Eq + Hash + ?Sized>(&mut self, name: &Q) -> Option<Entry<T>>
    where
        K: Borrow<Q>,
    {
        let id = self.ids.remove(name)?;
        self.entries.remove(&id).map(|value| Entry { id, value })
    }

    /// Returns all entries in the order of their ids, which is the order in which they were added.
    pub fn in_order(&self) -> Vec<Entry<&T>> {
        let mut entries: Vec<Entry<&T>> =
            self.entries.iter().map(|(id, value)| Entry { id: *id, value }).collect();
        entries.sort_unstable_by_key(|entry| entry.id);
        entries
    }
}
