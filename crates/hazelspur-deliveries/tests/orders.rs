//! All orders of events for two deliveries of one message on a broker that may lose, repeat and delay, up to a
//! depth: after each event the rules hold, and what must not run twice has not.

mod helpers;

use hazelspur::Duration;
use hazelspur::Idempotency;
use hazelspur_deliveries::*;
use helpers::{at, book, came, tag};
use std::collections::BTreeSet;

/// The broker's side and the runtime's, as far as they matter for one message.
#[derive(Clone)]
struct World {
    book: Book,
    link: u64,
    up: bool,
    last_tag: u64,
    /// Copies of the message in the queue: whether each was delivered before.
    ready: Vec<bool>,
    unsettled: BTreeSet<u64>,
    /// What the client sent that the broker has not read.
    pipe: Vec<Step>,
    offered: BTreeSet<DeliveryId>,
    asked: BTreeSet<DeliveryId>,
    running: BTreeSet<DeliveryId>,
    fences: Vec<DeliveryId>,
    confirms: Vec<DeliveryId>,
    runs: u32,
    gone: u32,
    ms: u64,
    log: Vec<String>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Deliver,
    /// The broker reads one thing that was sent.
    Read,
    Decide,
    Nack,
    RunEnds,
    Fence,
    Confirm,
    Cut,
    Reconnect,
    Pass,
}

const EVENTS: [Event; 10] = [
    Event::Deliver,
    Event::Read,
    Event::Decide,
    Event::Nack,
    Event::RunEnds,
    Event::Fence,
    Event::Confirm,
    Event::Cut,
    Event::Reconnect,
    Event::Pass,
];

#[derive(Clone, Copy)]
struct Case {
    repeats: Idempotency,
    settle_first: bool,
    reply: bool,
    /// Uses a tag of the connection before: the checker has to find it.
    planted: bool,
}

impl World {
    fn new(case: Case) -> Self {
        Self {
            book: book(Table::default(), case.settle_first),
            link: 1,
            up: true,
            last_tag: 0,
            ready: vec![false, false],
            unsettled: BTreeSet::new(),
            pipe: Vec::new(),
            offered: BTreeSet::new(),
            asked: BTreeSet::new(),
            running: BTreeSet::new(),
            fences: Vec::new(),
            confirms: Vec::new(),
            runs: 0,
            gone: 0,
            ms: 0,
            log: Vec::new(),
        }
    }

    /// False where the event can't happen now.
    fn happen(&mut self, case: Case, event: Event) -> bool {
        let now = at(self.ms);
        match event {
            Event::Deliver if self.up && !self.ready.is_empty() => {
                let redelivered = self.ready.pop().expect("not empty");
                self.last_tag += 1;
                self.unsettled.insert(self.last_tag);
                let came = came(tag(self.link, self.last_tag), "m", case.repeats);
                self.book.arrived(now, Arrived { redelivered, reply: case.reply, ..came });
            }
            Event::Read if self.up && !self.pipe.is_empty() => {
                let step = self.pipe.remove(0);
                self.read(step);
            }
            Event::Decide => {
                let Some(id) = self.offered.pop_first() else { return false };
                self.asked.insert(id);
                self.book.run_decided(now, id);
            }
            Event::Nack => {
                let Some(id) = self.offered.pop_first() else { return false };
                self.book.ended(now, id, Ending::Nacked(Duration::from_ms(10)), &[].into());
            }
            Event::RunEnds => {
                let Some(id) = self.running.pop_first() else { return false };
                self.book.ended(now, id, Ending::Acked, &(*b"ok").into());
            }
            Event::Fence if self.up && !self.fences.is_empty() => {
                let id = self.fences.remove(0);
                self.book.fenced(now, id);
            }
            Event::Confirm if self.up && !self.confirms.is_empty() => {
                let id = self.confirms.remove(0);
                self.book.confirmed(now, id, true);
            }
            Event::Cut if self.up => {
                self.up = false;
                self.pipe.clear();
                self.fences.clear();
                self.confirms.clear();
                let back = std::mem::take(&mut self.unsettled).len();
                self.ready.extend(std::iter::repeat_n(true, back));
                if !case.planted {
                    self.book.lost(hazelspur_deliveries::Link(self.link), None);
                }
                self.book.can_publish(false);
            }
            Event::Reconnect if !self.up => {
                self.up = true;
                self.link += 1;
                self.last_tag = 0;
            }
            Event::Pass if self.ms == 0 => self.ms = 20,
            _ => return false,
        }
        if self.up {
            self.book.can_publish(true);
        }
        self.log.push(format!("{event:?}"));
        self.carry_out();
        true
    }

    fn carry_out(&mut self) {
        while let Some(step) = self.book.next_step(at(self.ms)) {
            match step {
                Step::Offer(id) => drop(self.offered.insert(id)),
                Step::Withdraw(id) => drop(self.offered.remove(&id)),
                Step::Begin(id, may) => {
                    assert!(self.asked.remove(&id), "begun without being asked: {:?}", self.log);
                    if may {
                        self.runs += 1;
                        self.running.insert(id);
                    }
                }
                Step::Forget(..) => {}
                Step::Ack(tag) | Step::Reject(tag) | Step::Requeue(tag) if tag.link.0 != self.link => {
                    panic!("a stale tag is used: {:?}", self.log)
                }
                step if self.up => self.pipe.push(step),
                _ => {}
            }
        }
        self.book.check().unwrap_or_else(|why| panic!("{why}: {:?}", self.log));
    }

    /// What the broker does on reading it.
    fn read(&mut self, step: Step) {
        match step {
            Step::Ack(tag) | Step::Reject(tag) => {
                assert!(self.unsettled.remove(&tag.tag), "settled twice: {:?}", self.log);
                self.gone += 1;
            }
            Step::Requeue(tag) => {
                assert!(self.unsettled.remove(&tag.tag), "settled twice: {:?}", self.log);
                self.ready.push(true);
            }
            Step::Fence(_, id) => self.fences.push(id),
            Step::Reply(id, ..) | Step::Retry(id, ..) => self.confirms.push(id),
            _ => {}
        }
    }
}

fn explore(case: Case, depth: u32) -> u64 {
    fn go(case: Case, world: &World, depth: u32) -> u64 {
        if depth == 0 {
            return 1;
        }
        let mut paths = 0;
        for event in EVENTS {
            let mut next = world.clone();
            if !next.happen(case, event) {
                continue;
            }
            let copies = next.ready.len() + next.unsettled.len() + next.gone as usize;
            assert_eq!(copies, 2, "a copy vanished or came to be: {:?}", next.log);
            // The two copies stand for one message: once is once.
            let once = case.repeats != Idempotency::Idempotent;
            assert!(!once || next.runs <= 1, "ran {} times: {:?}", next.runs, next.log);
            paths += go(case, &next, depth - 1);
        }
        paths
    }
    go(case, &World::new(case), depth)
}

#[test]
fn in_all_orders_of_events_nothing_is_settled_twice_or_run_twice() {
    let mut seen = String::new();
    for repeats in [Idempotency::Idempotent, Idempotency::IdempotentWithKey, Idempotency::NonIdempotent] {
        for settle_first in [true, false] {
            for reply in [true, false] {
                let paths = explore(Case { repeats, settle_first, reply, planted: false }, 9);
                assert!(paths > 1000);
                seen += &format!("{repeats:?} settle_first {settle_first} reply {reply}: {paths} orders\n");
            }
        }
    }
    println!("{seen}");
}

#[test]
#[should_panic(expected = "a stale tag is used")]
fn a_planted_use_of_a_stale_tag_is_found() {
    explore(Case { repeats: Idempotency::Idempotent, settle_first: false, reply: false, planted: true }, 6);
}
