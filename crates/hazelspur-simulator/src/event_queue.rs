//! A queue of events in virtual time, ordered by time, then by the order in which they were scheduled.

use hazelspur::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: Timestamp,
    /// Number of events scheduled up to this one, which orders events of the same time.
    sequence_number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence_number) == (other.at, other.sequence_number)
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
        (self.at, self.sequence_number).cmp(&(other.at, other.sequence_number))
    }
}

/// Scheduled events and the current virtual time.
pub struct EventQueue<E> {
    /// Current virtual time; it never goes back.
    pub now: Timestamp,
    entries: BinaryHeap<Reverse<Entry<E>>>,
    /// Sequence number of the event that was scheduled last.
    sequence_number: u64,
}

impl<E> EventQueue<E> {
    /// Returns an empty queue whose virtual time begins at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self { now, entries: BinaryHeap::new(), sequence_number: 0 }
    }

    /// Schedules an event; a time in the past counts as the current time.
    pub fn schedule(&mut self, at: Timestamp, event: E) {
        self.sequence_number += 1;
        self.entries.push(Reverse(Entry {
            at: at.max(self.now),
            sequence_number: self.sequence_number,
            event,
        }));
    }

    /// Takes the next event up to `end` and advances the virtual time to it; if there is none, advances the
    /// time to `end` and returns `None`.
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
