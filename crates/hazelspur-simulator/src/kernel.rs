//! What happens when: events in the order of their time, and of their making where that is the same.

use hazelspur::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: Timestamp,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

pub struct Kernel<E> {
    pub now: Timestamp,
    entries: BinaryHeap<Reverse<Entry<E>>>,
    number: u64,
}

impl<E> Kernel<E> {
    pub fn new(now: Timestamp) -> Self {
        Self { now, entries: BinaryHeap::new(), number: 0 }
    }

    /// What is set for the past happens next.
    pub fn at(&mut self, at: Timestamp, event: E) {
        self.number += 1;
        self.entries.push(Reverse(Entry { at: at.max(self.now), number: self.number, event }));
    }

    /// The next event up to `end`, to which time goes on where there is none.
    pub fn next(&mut self, end: Timestamp) -> Option<E> {
        match self.entries.peek() {
            Some(Reverse(entry)) if entry.at <= end => {
                let Reverse(entry) = self.entries.pop()?;
                self.now = entry.at;
                Some(entry.event)
            }
            _ => {
                self.now = self.now.max(end);
                None
            }
        }
    }
}
