//! A table of entries by name and id; the time of a look-up does not grow with the number of entries.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher, Hash};
use std::rc::Rc;
use std::sync::Arc;

/// The longest name of an entry, in bytes: a longer one fits no gateway line beside a request.
pub const MAX_NAME_BYTES: usize = 255;

/// An entry that knows its name.
pub trait Named {
    /// The name; empty where the platform names entries by number.
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
    /// Assigned once and never reused.
    pub id: usize,
    /// What is stored under the id.
    pub value: T,
}

/// A hash map whose order is the same in every process.
type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// Entries by name and id. Ids are never reused: what is stored for a removed entry can't pass to a later one of its
/// name.
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
    /// The id of a name.
    pub fn find<Q: Eq + Hash + ?Sized>(&self, name: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.ids.get(name).copied()
    }

    /// The entry of an id.
    pub fn get(&self, id: usize) -> Option<&T> {
        self.entries.get(&id)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an entry, by name if it has one, and returns its id. The name must not be in the table.
    pub fn add(&mut self, name: Option<K>, entry: T) -> usize {
        let id = self.next_id;
        self.next_id += 1;
        self.entries.insert(id, entry);
        if let Some(name) = name {
            self.ids.insert(name, id);
        }
        id
    }

    /// Replaces the entry of an id and returns the old one; an unknown id changes nothing.
    pub fn replace(&mut self, id: usize, entry: T) -> Option<T> {
        self.entries.get_mut(&id).map(|old| std::mem::replace(old, entry))
    }

    /// Removes the entry of a name.
    pub fn remove<Q: Eq + Hash + ?Sized>(&mut self, name: &Q) -> Option<Entry<T>>
    where
        K: Borrow<Q>,
    {
        let id = self.ids.remove(name)?;
        self.entries.remove(&id).map(|value| Entry { id, value })
    }

    /// All entries in the order of their ids, which is that in which they were added.
    pub fn in_order(&self) -> Vec<Entry<&T>> {
        let mut entries: Vec<Entry<&T>> =
            self.entries.iter().map(|(id, value)| Entry { id: *id, value }).collect();
        entries.sort_unstable_by_key(|entry| entry.id);
        entries
    }
}
