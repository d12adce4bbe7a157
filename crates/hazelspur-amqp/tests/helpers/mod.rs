//! A listener that writes down what it hears, and frames made with the other codec.
#![allow(dead_code)]

use amq_protocol::frame::{AMQPFrame, gen_frame};
use hazelspur::{Duration, Timestamp};
use hazelspur_amqp::{Listener, Properties, Session, Terms};

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_us(1_000_000_000 + ms * 1000)
}

pub fn bytes(frame: &AMQPFrame) -> Vec<u8> {
    gen_frame(frame)(Vec::new().into()).expect("a frame that can be written").into_inner().0
}

pub fn terms() -> Terms {
    Terms {
        login: Some(("u".into(), "p".into())),
        vhost: "/".into(),
        name: "n1".into(),
        heartbeat: Duration::from_ms(10_000),
        longest_frame: 65_536,
        most_unsettled: 4,
        channels: 2,
    }
}

#[derive(Default)]
pub struct Ears(pub String);

impl Ears {
    fn note(&mut self, line: String) {
        self.0 += &line;
        self.0.push('\n');
    }
}

impl Listener for Ears {
    fn open(&mut self) {
        self.note("open".into());
    }
    fn ready(&mut self, channel: u16) {
        self.note(format!("ready {channel}"));
    }
    fn delivered(&mut self, channel: u16, tag: u64, again: bool, key: &str, p: &[u8], body: Option<&[u8]>) {
        let id = Properties::read(p).ok().and_then(|p| p.message_id).unwrap_or("none");
        let body = body.map(|body| (body.len(), body.iter().map(|b| u64::from(*b)).sum::<u64>()));
        self.note(format!("delivered {channel}:{tag} again {again} key {key} id {id} body {body:?}"));
    }
    fn fenced(&mut self, channel: u16, fence: u64) {
        self.note(format!("fenced {channel} {fence}"));
    }
    fn confirmed(&mut self, number: u64, taken: bool) {
        self.note(format!("confirmed {number} {taken}"));
    }
    fn returned(&mut self, number: u64) {
        self.note(format!("returned {number}"));
    }
    fn cancelled(&mut self, channel: u16) {
        self.note(format!("cancelled {channel}"));
    }
    fn channel_closed(&mut self, channel: u16, code: u16, why: &str) {
        self.note(format!("channel {channel} closed {code} {why}"));
    }
    fn blocked(&mut self, why: Option<&str>) {
        self.note(format!("blocked {why:?}"));
    }
}

/// Feeds bytes in, however they are cut.
pub fn feed(session: &mut Session, ears: &mut Ears, ms: u64, bytes: &[u8], part: usize) {
    for part in bytes.chunks(part.max(1)) {
        session.room().extend_from_slice(part);
        session.take(at(ms), ears);
    }
}

/// All frames that the session wants to write, as the other codec reads them: `channel name`, a line each.
pub fn written(session: &mut Session, ms: u64) -> Vec<AMQPFrame> {
    let out = session.out(at(ms));
    let (mut rest, mut frames) = (&out[..], Vec::new());
    while !rest.is_empty() {
        let (left, frame) = amq_protocol::frame::parse_frame(rest).expect("the other codec reads it");
        rest = left;
        frames.push(frame);
    }
    frames
}

pub fn shown(frames: &[AMQPFrame]) -> String {
    let name = |frame: &AMQPFrame| match frame {
        AMQPFrame::Method(channel, class) => {
            let text = format!("{class:?}");
            format!("< {channel} {}\n", text.split([' ', '{']).next().unwrap_or_default())
        }
        AMQPFrame::Header(channel, header) => format!("< {channel} header {}\n", header.body_size),
        AMQPFrame::Body(channel, part) => format!("< {channel} body {}\n", part.len()),
        other => format!("< {other:?}\n"),
    };
    frames.iter().map(name).collect()
}
