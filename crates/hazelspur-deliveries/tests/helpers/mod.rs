//! A book whose steps are written down, with a clock in milliseconds.

use hazelspur::Idempotency;
use hazelspur::{Duration, Timestamp};
use hazelspur_deliveries::{Arrived, Book, DeliveryId, Ending, Link, Memory, QueueId, Table, Tag, Terms};

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_us(1_000_000_000 + ms * 1000)
}

pub fn tag(link: u64, tag: u64) -> Tag {
    Tag { link: Link(link), channel: 1, tag }
}

pub fn book(table: Table, settle_first: bool) -> Book {
    Book::new(vec![Terms { table, settle_first }], Memory::new(Duration::from_ms(60_000), 1000, 1 << 20))
}

pub fn came(tag: Tag, message: &str, repeats: Idempotency) -> Arrived<'_> {
    Arrived {
        tag,
        queue: QueueId(0),
        message: Some(message),
        redelivered: false,
        repeats: Ok(repeats),
        due: None,
        reply: false,
        tries: 0,
    }
}

/// All steps that are to be done now, a line each.
#[allow(dead_code)]
pub fn steps(book: &mut Book, ms: u64) -> String {
    let mut seen = String::new();
    while let Some(step) = book.next_step(at(ms)) {
        seen += &format!("{ms} {step:?}\n").replace("DeliveryId", "").replace("Tag { link: Link", "Tag {");
    }
    book.check().expect("the book's own rules hold");
    seen
}

#[allow(dead_code)]
pub fn ends(book: &mut Book, ms: u64, id: DeliveryId, ending: Ending) -> String {
    book.ended(at(ms), id, ending, &(*b"done").into());
    steps(book, ms)
}
