//! Message-ids seen lately: which delivery holds each, and how what ran has ended. Bounded in entries, bytes and
//! age; what is forgotten under pressure is the oldest that ended.

use crate::book::DeliveryId;
use crate::settlement::Ending;
use hazelspur::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

#[derive(Clone, Debug)]
enum Kept {
    Open(DeliveryId),
    Ended(Ending, Rc<[u8]>),
    /// Failed so often and may come again.
    Tried(u32),
}

#[derive(Clone, Debug)]
pub struct Memory {
    span: Duration,
    most_entries: usize,
    most_bytes: usize,
    bytes: usize,
    by_message: BTreeMap<Rc<str>, Kept>,
    /// Ended ones, oldest first.
    ages: VecDeque<(Timestamp, Rc<str>)>,
    /// Ended ones that had to go before their time.
    pub pressed_out: u64,
}

/// What is known of a message that comes.
pub enum Known {
    Not,
    Open(DeliveryId),
    Ended(Ending, Rc<[u8]>),
    Tried(u32),
}

impl Memory {
    pub fn new(span: Duration, most_entries: usize, most_bytes: usize) -> Self {
        let (by_message, ages) = (BTreeMap::new(), VecDeque::new());
        Self { span, most_entries, most_bytes, bytes: 0, by_message, ages, pressed_out: 0 }
    }

    pub fn known(&mut self, now: Timestamp, message: &str) -> Known {
        self.age(now);
        match self.by_message.get(message) {
            None => Known::Not,
            Some(Kept::Tried(times)) => Known::Tried(*times),
            Some(Kept::Open(id)) => Known::Open(*id),
            Some(Kept::Ended(ending, result)) => Known::Ended(*ending, result.clone()),
        }
    }

    /// Held by this delivery from now on.
    pub fn open(&mut self, message: &Rc<str>, id: DeliveryId) {
        self.by_message.insert(message.clone(), Kept::Open(id));
    }

    /// Never ran: whoever brings it next may run it.
    pub fn release(&mut self, message: &str, id: DeliveryId) {
        if matches!(self.by_message.get(message), Some(Kept::Open(holder)) if *holder == id) {
            self.by_message.remove(message);
        }
    }

    /// It failed for the nth time and goes back to its queue, which does not count.
    pub fn tried(&mut self, now: Timestamp, message: &Rc<str>, times: u32) {
        self.by_message.insert(message.clone(), Kept::Tried(times));
        self.ages.push_back((now, message.clone()));
        self.press();
    }

    /// It ran, or may have: repeats are settled alike.
    pub fn ended(&mut self, now: Timestamp, message: &Rc<str>, ending: Ending, result: Rc<[u8]>) {
        if matches!(self.by_message.get(message), Some(Kept::Ended(..))) {
            return;
        }
        self.bytes += message.len() + result.len();
        self.by_message.insert(message.clone(), Kept::Ended(ending, result));
        self.ages.push_back((now, message.clone()));
        self.press();
    }

    fn press(&mut self) {
        while self.ages.len() > self.most_entries || self.bytes > self.most_bytes {
            self.pressed_out += 1;
            self.drop_oldest();
        }
    }

    pub fn len(&self) -> usize {
        self.by_message.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_message.is_empty()
    }

    fn age(&mut self, now: Timestamp) {
        while self.ages.front().is_some_and(|(ended, _)| now - *ended >= self.span) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, message)) = self.ages.pop_front() else { return };
        match self.by_message.get(&message) {
            Some(Kept::Ended(_, result)) => {
                self.bytes -= message.len() + result.len();
                self.by_message.remove(&message);
            }
            Some(Kept::Tried(_)) => drop(self.by_message.remove(&message)),
            // In hand again.
            Some(Kept::Open(_)) | None => {}
        }
    }
}
