//! One connection to a broker as a state machine: bytes, points in time and commands in; bytes out, and a
//! `Listener` that hears what came. It never reconnects: a session that is over stays over, so that a delivery
//! tag can't be mistaken for one of a later connection.
//!
//! Each queue is consumed on a channel of its own, so that a channel error costs that queue only; what is
//! published goes over a channel in confirm mode. A fault of the broker's ends the session with one
//! `connection.close`.

use crate::frames::{self, AROUND, BODY, HEADER, HEARTBEAT, LEAST_FRAME, METHOD, PROTOCOL_HEADER};
use crate::properties::Properties;
use crate::table::{Table, TableWriter};
use crate::wire::{Malformed, Wire, put_long_bytes, put_short_text};
use hazelspur::{Duration, Timestamp};
use hazelspur_parsers::Buffer;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The largest body taken; a larger one is counted past and handed over as oversized.
pub const MAX_BODY: usize = 256 * 1024;
/// What a body may reserve before its bytes come.
const BODY_AT_FIRST: usize = 16 * 1024;
/// Within this a message that has begun is whole.
const WHOLE_MESSAGE: Duration = Duration::from_ms(20_000);
/// Within this a connection is open, or closed after `connection.close`.
const HANDSHAKE: Duration = Duration::from_ms(10_000);
const GOODBYE: Duration = Duration::from_ms(2000);
/// A silence found too long is looked at once more after this: the machine may have stood still.
const SECOND_LOOK: Duration = Duration::from_ms(250);
/// Fences and windows that may be unanswered on a channel.
const MAX_ASKED: usize = 1024;
/// Why a connection or a channel is closed (specification, constants).
const SYNTAX: u16 = 502;
const UNEXPECTED: u16 = 505;
const COMMAND: u16 = 503;
const FRAME: u16 = 501;
const DONE: u16 = 200;

/// What the session proposes and how it says who it is.
#[derive(Clone, Debug)]
pub struct Terms {
    /// `None` for EXTERNAL: the transport has said who it is.
    pub login: Option<(String, String)>,
    pub vhost: String,
    /// Shown to the broker's operator.
    pub name: String,
    /// Zero for none; the smaller wish of both sides holds.
    pub heartbeat: Duration,
    pub longest_frame: u32,
    /// Deliveries that may be unsettled on one channel, whatever the broker sends.
    pub most_unsettled: usize,
    /// The highest channel that will be opened.
    pub channels: u16,
}

/// Hears what came, in order. Channels are the caller's numbers.
pub trait Listener {
    fn open(&mut self) {}
    /// The broker has taken the consumer, or the publishing channel is in confirm mode.
    fn ready(&mut self, channel: u16);
    /// `body` is `None` where it was larger than `MAX_BODY`.
    fn delivered(
        &mut self,
        channel: u16,
        tag: u64,
        redelivered: bool,
        routing_key: &str,
        properties: &[u8],
        body: Option<&[u8]>,
    );
    /// The broker has read everything that was sent on this channel before this fence.
    fn fenced(&mut self, channel: u16, fence: u64);
    /// The broker has taken what was published under this number, or refuses it.
    fn confirmed(&mut self, number: u64, taken: bool);
    /// No queue was there for it; a confirm follows.
    fn returned(&mut self, number: u64);
    /// The broker has ended a consumer; what it delivered may still be settled.
    fn cancelled(&mut self, channel: u16);
    /// The broker has closed a channel, with all that was open on it.
    fn channel_closed(&mut self, channel: u16, code: u16, why: &str);
    fn blocked(&mut self, why: Option<&str>);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The protocol header is out.
    Started,
    Tuning,
    Opening,
    Open,
    /// `connection.close` is out.
    Closing,
    Over,
}

#[derive(Clone, Debug)]
enum Use {
    Consume { queue: String, window: u16 },
    Publish,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChannelPhase {
    Opening,
    /// `basic.qos` or `confirm.select` is out, then `basic.consume`.
    Preparing,
    Ready,
    /// `basic.cancel` is out, or the broker's has come: nothing more is delivered.
    Cancelled,
    Closing,
}

/// Why a `basic.qos` was sent; its answers come in order.
enum Asked {
    Setup,
    Window,
    Fence(u64),
}

struct Content {
    tag: u64,
    redelivered: bool,
    /// `basic.return` instead of `basic.deliver`.
    returned: bool,
    routing_key: String,
    properties: Vec<u8>,
    /// Bytes still to come; `None` until the header has come.
    left: Option<u64>,
    oversized: bool,
    body: Vec<u8>,
    began: Timestamp,
}

struct Channel {
    phase: ChannelPhase,
    purpose: Use,
    content: Option<Content>,
    unsettled: BTreeSet<u64>,
    asked: VecDeque<Asked>,
    /// Numbers under which confirms come.
    published: u64,
    unconfirmed: BTreeMap<u64, u64>,
}

pub struct Session {
    terms: Terms,
    phase: Phase,
    since: Timestamp,
    buffer: Buffer,
    out: Vec<u8>,
    channels: BTreeMap<u16, Channel>,
    longest_frame: usize,
    heartbeat: Duration,
    heard: Timestamp,
    spoke: Timestamp,
    suspect: Option<Timestamp>,
    challenged: bool,
    ended: Option<String>,
    refused: bool,
    /// Settlements asked for tags that are not open: faults of ours, counted.
    pub stale: u64,
}

type Taken = Result<(), (u16, &'static str)>;

impl From<Malformed> for (u16, &'static str) {
    fn from(malformed: Malformed) -> Self {
        (SYNTAX, malformed.0)
    }
}

impl Session {
    pub fn new(terms: Terms, now: Timestamp) -> Self {
        Self {
            longest_frame: terms.longest_frame.max(LEAST_FRAME) as usize,
            terms,
            phase: Phase::Started,
            since: now,
            buffer: Buffer::default(),
            out: PROTOCOL_HEADER.to_vec(),
            channels: BTreeMap::new(),
            heartbeat: Duration::ZERO,
            heard: now,
            spoke: now,
            suspect: None,
            challenged: false,
            ended: None,
            refused: false,
            stale: 0,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Why it is over.
    pub fn ended(&self) -> Option<&str> {
        self.ended.as_deref()
    }

    /// Whether the broker won't have this login, this virtual host or these terms.
    pub fn was_refused(&self) -> bool {
        self.refused
    }

    /// Where read bytes are appended, before `take`.
    pub fn room(&mut self) -> &mut Vec<u8> {
        self.buffer.room()
    }

    /// What is to be written now; the caller takes it all.
    pub fn out(&mut self, now: Timestamp) -> Vec<u8> {
        if !self.out.is_empty() {
            self.spoke = now;
        }
        std::mem::take(&mut self.out)
    }

    pub fn has_out(&self) -> bool {
        !self.out.is_empty()
    }

    // ---- what came ----

    /// Takes all whole frames that are in the buffer.
    pub fn take(&mut self, now: Timestamp, listener: &mut impl Listener) {
        self.heard = now;
        self.suspect = None;
        let mut buffer = std::mem::take(&mut self.buffer);
        let mut used = 0;
        while self.phase != Phase::Over {
            match frames::first(&buffer.unread()[used..], self.longest_frame - AROUND) {
                Ok(Some((kind, channel, payload, length))) => {
                    if let Err((code, why)) = self.frame(now, kind, channel, payload, listener) {
                        self.fault(now, code, why);
                    }
                    used += length;
                }
                Ok(None) => break,
                Err(Malformed(why)) => {
                    self.fault(now, FRAME, why);
                    // Where the next frame begins is not known.
                    self.end(why.into());
                    break;
                }
            }
        }
        buffer.take(used);
        self.buffer = buffer;
    }

    /// The transport is at its end.
    pub fn cut(&mut self, why: &str) {
        self.end(why.into());
    }

    fn end(&mut self, why: String) {
        if self.phase != Phase::Over {
            self.phase = Phase::Over;
            self.ended.get_or_insert(why);
        }
    }

    /// The broker did what it may not do: one close, and nothing more is taken but its answer.
    fn fault(&mut self, now: Timestamp, code: u16, why: &'static str) {
        if !matches!(self.phase, Phase::Closing | Phase::Over) {
            self.ended = Some(format!("fault of the broker: {why}"));
            self.send_close(now, code, why);
        }
    }

    fn send_close(&mut self, now: Timestamp, code: u16, why: &str) {
        if self.phase == Phase::Started {
            return self.end(why.into());
        }
        frames::put_method(&mut self.out, 0, 10, 50, |out| {
            out.extend_from_slice(&code.to_be_bytes());
            put_short_text(out, why);
            out.extend([0; 4]);
        });
        self.phase = Phase::Closing;
        self.since = now;
    }

    fn frame(
        &mut self,
        now: Timestamp,
        kind: u8,
        channel: u16,
        payload: &[u8],
        listener: &mut impl Listener,
    ) -> Taken {
        match (kind, channel) {
            (HEARTBEAT, 0) if payload.is_empty() => Ok(()),
            (HEARTBEAT, _) => Err((FRAME, "a heartbeat that is none")),
            (METHOD, 0) => self.connection_method(&mut Wire(payload), listener),
            _ if self.phase == Phase::Closing => Ok(()),
            _ if self.phase != Phase::Open => Err((UNEXPECTED, "a channel before the connection is open")),
            (METHOD, _) => self.channel_method(now, channel, &mut Wire(payload), listener),
            (HEADER | BODY, _) => self.content(channel, kind == HEADER, payload, listener),
            _ => Err((FRAME, "a frame of an unknown type")),
        }
    }

    fn connection_method(&mut self, wire: &mut Wire<'_>, listener: &mut impl Listener) -> Taken {
        let (class, method) = (wire.u16()?, wire.u16()?);
        match (self.phase, class, method) {
            (Phase::Started, 10, 10) => {
                if (wire.u8()?, wire.u8()?) != (0, 9) {
                    self.end("the broker speaks another version".into());
                    return Ok(());
                }
                Table::read(wire)?;
                let mechanisms = std::str::from_utf8(wire.long_bytes()?).unwrap_or_default();
                wire.long_bytes()?;
                wire.end()?;
                let ours = if self.terms.login.is_some() { "PLAIN" } else { "EXTERNAL" };
                if !mechanisms.split(' ').any(|offered| offered == ours) {
                    self.refused = true;
                    self.end(format!("the broker does not offer {ours}"));
                    return Ok(());
                }
                self.start_ok(ours);
                self.phase = Phase::Tuning;
            }
            (Phase::Tuning, 10, 20) if !self.challenged => {
                self.challenged = true;
                wire.long_bytes()?;
                wire.end()?;
                let response = self.response();
                frames::put_method(&mut self.out, 0, 10, 21, |out| put_long_bytes(out, &response));
            }
            (Phase::Tuning, 10, 30) => {
                let (channels, frame, beat) = (wire.u16()?, wire.u32()?, wire.u16()?);
                wire.end()?;
                self.tune(channels, frame, beat)?;
                self.phase = Phase::Opening;
            }
            (Phase::Opening, 10, 41) => {
                wire.short_text()?;
                self.phase = Phase::Open;
                listener.open();
            }
            (_, 10, 50) => {
                let (code, why) = (wire.u16()?, wire.short_text()?);
                // Access refused, not allowed.
                self.refused = matches!(code, 403 | 530);
                frames::put_method(&mut self.out, 0, 10, 51, |_| {});
                self.end(format!("closed by the broker: {code} {why}"));
            }
            (Phase::Closing, 10, 51) => self.end("closed".into()),
            (Phase::Closing, ..) => {}
            (Phase::Open, 10, 60) => listener.blocked(Some(wire.short_text()?)),
            (Phase::Open, 10, 61) => listener.blocked(None),
            _ => return Err((COMMAND, "a method that has no place here")),
        }
        Ok(())
    }

    fn response(&self) -> Vec<u8> {
        match &self.terms.login {
            Some((user, password)) => format!("\0{user}\0{password}").into_bytes(),
            None => Vec::new(),
        }
    }

    fn start_ok(&mut self, mechanism: &str) {
        let can = TableWriter::default()
            .flag("basic.nack", true)
            .flag("connection.blocked", true)
            .flag("consumer_cancel_notify", true)
            .flag("publisher_confirms", true);
        let us = TableWriter::default()
            .text("product", "hazelspur")
            .text("connection_name", &self.terms.name)
            .table("capabilities", can.done());
        let response = self.response();
        frames::put_method(&mut self.out, 0, 10, 11, |out| {
            us.done().put(out);
            put_short_text(out, mechanism);
            put_long_bytes(out, &response);
            put_short_text(out, "en_US");
        });
    }

    /// The smaller wish holds; zero is no wish.
    fn tune(&mut self, channels: u16, frame: u32, beat: u16) -> Taken {
        if frame != 0 && frame < LEAST_FRAME {
            return Err((SYNTAX, "frames smaller than the specification allows"));
        }
        if channels != 0 && channels < self.terms.channels {
            return Err((530, "fewer channels than there are queues to consume"));
        }
        let least = |a: u64, b: u64| if a == 0 || b == 0 { a.max(b) } else { a.min(b) };
        let frame = least(u64::from(frame), u64::from(self.terms.longest_frame)) as u32;
        let beat = least(u64::from(beat), self.terms.heartbeat.us().div_ceil(1_000_000)) as u16;
        self.longest_frame = frame as usize;
        self.heartbeat = Duration::from_ms(u64::from(beat) * 1000);
        frames::put_method(&mut self.out, 0, 10, 31, |out| {
            out.extend_from_slice(&channels.to_be_bytes());
            out.extend_from_slice(&frame.to_be_bytes());
            out.extend_from_slice(&beat.to_be_bytes());
        });
        frames::put_method(&mut self.out, 0, 10, 40, |out| {
            put_short_text(out, &self.terms.vhost);
            out.extend([0, 0]);
        });
        Ok(())
    }

    fn channel_method(
        &mut self,
        now: Timestamp,
        number: u16,
        wire: &mut Wire<'_>,
        listener: &mut impl Listener,
    ) -> Taken {
        let Some(channel) = self.channels.get_mut(&number) else {
            return Err((504, "a channel that is not open"));
        };
        let (class, method) = (wire.u16()?, wire.u16()?);
        if channel.content.is_some() && (class, method) != (20, 40) {
            return Err((UNEXPECTED, "a method within a message"));
        }
        if channel.phase == ChannelPhase::Closing
            && (class, method) != (20, 41)
            && (class, method) != (20, 40)
        {
            return Ok(());
        }
        let out = &mut self.out;
        match (channel.phase, class, method) {
            (ChannelPhase::Opening, 20, 11) => {
                wire.long_bytes()?;
                channel.phase = ChannelPhase::Preparing;
                match channel.purpose {
                    Use::Consume { window, .. } => put_qos(out, number, window, Asked::Setup, channel),
                    Use::Publish => frames::put_method(out, number, 85, 10, |out| out.push(0)),
                }
            }
            (ChannelPhase::Preparing, 85, 11) => {
                channel.phase = ChannelPhase::Ready;
                listener.ready(number);
            }
            (_, 60, 11) => match channel.asked.pop_front() {
                Some(Asked::Setup) => {
                    let Use::Consume { queue, .. } = &channel.purpose else {
                        return Err((COMMAND, "an answer that nobody asked for"));
                    };
                    frames::put_method(out, number, 60, 20, |out| {
                        out.extend([0, 0]);
                        put_short_text(out, queue);
                        put_short_text(out, &consumer_tag(number));
                        out.push(0);
                        TableWriter::default().done().put(out);
                    });
                }
                Some(Asked::Window) => {}
                Some(Asked::Fence(fence)) => listener.fenced(number, fence),
                None => return Err((COMMAND, "an answer that nobody asked for")),
            },
            (ChannelPhase::Preparing, 60, 21) => {
                wire.short_text()?;
                channel.phase = ChannelPhase::Ready;
                listener.ready(number);
            }
            // Some brokers deliver before they say that the consumer is there.
            (ChannelPhase::Preparing | ChannelPhase::Ready | ChannelPhase::Cancelled, 60, 60) => {
                wire.short_text()?;
                let (tag, redelivered) = (wire.u64()?, wire.u8()? != 0);
                wire.short_text()?;
                let routing_key = wire.short_text()?.to_string();
                if tag == 0 || channel.unsettled.contains(&tag) {
                    return Err((SYNTAX, "a delivery tag that is in use"));
                }
                if channel.unsettled.len() >= self.terms.most_unsettled {
                    return Err((406, "more deliveries than were asked for"));
                }
                channel.unsettled.insert(tag);
                channel.content = Some(Content::begun(now, tag, redelivered, false, routing_key));
            }
            (_, 60, 50) if matches!(channel.purpose, Use::Publish) => {
                wire.u16()?;
                wire.short_text()?;
                wire.short_text()?;
                let routing_key = wire.short_text()?.to_string();
                channel.content = Some(Content::begun(now, 0, false, true, routing_key));
            }
            (_, 60, 30) => {
                let (tag, no_wait) = (wire.short_text()?, wire.u8()? & 1 != 0);
                if !no_wait {
                    frames::put_method(out, number, 60, 31, |out| put_short_text(out, tag));
                }
                channel.phase = ChannelPhase::Cancelled;
                listener.cancelled(number);
            }
            (ChannelPhase::Cancelled, 60, 31) => {
                wire.short_text()?;
            }
            (_, 60, 80 | 120) if matches!(channel.purpose, Use::Publish) => {
                let (tag, bits) = (wire.u64()?, wire.u8()?);
                let (multiple, taken) = (bits & 1 != 0, method == 80);
                if tag > channel.published {
                    return Err((SYNTAX, "a confirm for what was never published"));
                }
                let from = if multiple { 0 } else { tag };
                let numbers: Vec<u64> = channel.unconfirmed.range(from..=tag).map(|(tag, _)| *tag).collect();
                for tag in numbers {
                    if let Some(number) = channel.unconfirmed.remove(&tag) {
                        listener.confirmed(number, taken);
                    }
                }
            }
            (_, 20, 20) => {
                let active = wire.u8()? & 1;
                frames::put_method(out, number, 20, 21, |out| out.push(active));
            }
            (_, 20, 40) => {
                let (code, why) = (wire.u16()?, wire.short_text()?);
                frames::put_method(out, number, 20, 41, |_| {});
                self.channels.remove(&number);
                listener.channel_closed(number, code, why);
            }
            (ChannelPhase::Closing, 20, 41) => {
                self.channels.remove(&number);
            }
            _ => return Err((COMMAND, "a method that has no place here")),
        }
        Ok(())
    }

    fn content(&mut self, number: u16, header: bool, payload: &[u8], listener: &mut impl Listener) -> Taken {
        let Some(channel) = self.channels.get_mut(&number) else {
            return Err((504, "a channel that is not open"));
        };
        if channel.phase == ChannelPhase::Closing {
            return Ok(());
        }
        let Some(content) = channel.content.as_mut() else {
            return Err((UNEXPECTED, "content that no method announced"));
        };
        match (header, content.left) {
            (true, None) => {
                let mut wire = Wire(payload);
                let (class, _weight, size) = (wire.u16()?, wire.u16()?, wire.u64()?);
                if class != 60 {
                    return Err((UNEXPECTED, "content of another class"));
                }
                content.properties = wire.0.to_vec();
                content.left = Some(size);
                content.oversized = size > MAX_BODY as u64;
                if !content.oversized {
                    content.body.reserve((size as usize).min(BODY_AT_FIRST));
                }
            }
            (false, Some(left)) => {
                if payload.is_empty() || payload.len() as u64 > left {
                    return Err((UNEXPECTED, "a body that does not fit its header"));
                }
                content.left = Some(left - payload.len() as u64);
                if !content.oversized {
                    content.body.extend_from_slice(payload);
                }
            }
            _ => return Err((UNEXPECTED, "header and body out of order")),
        }
        if content.left == Some(0) {
            let Some(content) = channel.content.take() else { return Ok(()) };
            if content.returned {
                let number = Properties::read(&content.properties)?
                    .header(NUMBER)
                    .and_then(|field| field.count())
                    .filter(|number| channel.unconfirmed.values().any(|other| other == number));
                if let Some(number) = number {
                    listener.returned(number);
                }
            } else {
                let body = (!content.oversized).then_some(&content.body[..]);
                let Content { tag, redelivered, routing_key, properties, .. } = &content;
                listener.delivered(number, *tag, *redelivered, routing_key, properties, body);
            }
        }
        Ok(())
    }

    // ---- time ----

    /// When `tick` is wanted next.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let handshake = match self.phase {
            Phase::Started | Phase::Tuning | Phase::Opening => Some(self.since + HANDSHAKE),
            Phase::Closing => Some(self.since + GOODBYE),
            Phase::Open => None,
            Phase::Over => return None,
        };
        let beats = self.heartbeat > Duration::ZERO;
        let speak = beats.then(|| self.spoke + self.heartbeat.scaled(0.5));
        let hear = beats.then(|| self.suspect.unwrap_or(self.heard + self.heartbeat.scaled(2.0)));
        let began = |channel: &Channel| channel.content.as_ref().map(|content| content.began + WHOLE_MESSAGE);
        let whole = self.channels.values().filter_map(began).min();
        [handshake, speak, hear, whole].into_iter().flatten().min()
    }

    pub fn tick(&mut self, now: Timestamp) {
        let late = match self.phase {
            Phase::Started | Phase::Tuning | Phase::Opening => now >= self.since + HANDSHAKE,
            Phase::Closing => now >= self.since + GOODBYE,
            Phase::Open => false,
            Phase::Over => return,
        };
        if late {
            return self.end("no answer in time".into());
        }
        let began = |c: &Channel| c.content.as_ref().is_some_and(|c| now >= c.began + WHOLE_MESSAGE);
        if self.channels.values().any(began) {
            return self.fault(now, UNEXPECTED, "a message that does not end");
        }
        if self.heartbeat == Duration::ZERO {
            return;
        }
        if now >= self.spoke + self.heartbeat.scaled(0.5) {
            frames::put(&mut self.out, HEARTBEAT, 0, |_| {});
            self.spoke = now;
        }
        if now >= self.heard + self.heartbeat.scaled(2.0) {
            match self.suspect {
                // What has come meanwhile is read before the second look.
                None => self.suspect = Some(now + SECOND_LOOK),
                Some(again) if now >= again => self.end("no heartbeat".into()),
                Some(_) => {}
            }
        }
    }

    // ---- commands ----

    /// Opens a channel that consumes this queue, with at most `window` unsettled deliveries.
    pub fn consume(&mut self, channel: u16, queue: &str, window: u16) {
        self.open_channel(channel, Use::Consume { queue: queue.into(), window });
    }

    /// Opens the channel for `publish`.
    pub fn publish_on(&mut self, channel: u16) {
        self.open_channel(channel, Use::Publish);
    }

    fn open_channel(&mut self, number: u16, purpose: Use) {
        if self.phase != Phase::Open || self.channels.contains_key(&number) {
            return;
        }
        frames::put_method(&mut self.out, number, 20, 10, |out| out.push(0));
        let channel = Channel {
            phase: ChannelPhase::Opening,
            purpose,
            content: None,
            unsettled: BTreeSet::new(),
            asked: VecDeque::new(),
            published: 0,
            unconfirmed: BTreeMap::new(),
        };
        self.channels.insert(number, channel);
    }

    /// The broker is to deliver so many at most that are not settled.
    pub fn window(&mut self, number: u16, window: u16) {
        if let Some(channel) = self.channels.get_mut(&number)
            && matches!(channel.phase, ChannelPhase::Ready)
            && channel.asked.len() < MAX_ASKED
        {
            if let Use::Consume { window: kept, .. } = &mut channel.purpose {
                *kept = window.max(1);
            }
            put_qos(&mut self.out, number, window, Asked::Window, channel);
        }
    }

    /// `Listener::fenced` tells once the broker has read all that went out before. A `basic.qos` that changes
    /// nothing serves: methods of a channel are taken in order (specification 4.7), and it is answered.
    /// False where the channel can't carry it.
    pub fn fence(&mut self, number: u16, fence: u64) -> bool {
        let Some(channel) = self.channels.get_mut(&number) else { return false };
        let Use::Consume { window, .. } = channel.purpose else { return false };
        let fits = channel.phase != ChannelPhase::Closing && channel.asked.len() < MAX_ASKED;
        if fits {
            put_qos(&mut self.out, number, window, Asked::Fence(fence), channel);
        }
        fits
    }

    /// Settles a delivery; false, counted and nothing sent, where this tag is not open on this channel.
    pub fn ack(&mut self, channel: u16, tag: u64) -> bool {
        self.settle(channel, tag, 80, 0)
    }

    /// Back to the queue, or to where its rejected messages go.
    pub fn reject(&mut self, channel: u16, tag: u64, requeue: bool) -> bool {
        self.settle(channel, tag, 90, u8::from(requeue))
    }

    fn settle(&mut self, channel: u16, tag: u64, method: u16, bits: u8) -> bool {
        let open = self.phase == Phase::Open
            && self.channels.get_mut(&channel).is_some_and(|c| c.unsettled.remove(&tag));
        if open {
            frames::put_method(&mut self.out, channel, 60, method, |out| {
                out.extend_from_slice(&tag.to_be_bytes());
                out.push(bits);
            });
        } else if self.phase == Phase::Open {
            // While it closes, what was decided before comes to nothing by right.
            self.stale += 1;
        }
        open
    }

    /// Publishes under the caller's number, which its confirm names; false where the channel is not ready.
    pub fn publish(
        &mut self,
        channel: u16,
        number: u64,
        exchange: &str,
        routing_key: &str,
        properties: &Properties<'_>,
        body: &[u8],
    ) -> bool {
        let longest = self.longest_frame - AROUND;
        let open = self.phase == Phase::Open;
        let Some(on) = self.channels.get_mut(&channel).filter(|on| open && on.phase == ChannelPhase::Ready)
        else {
            return false;
        };
        let headers = TableWriter::default()
            .all_but(properties.headers.unwrap_or_default(), NUMBER)
            .whole(NUMBER, number as i64);
        let mut head = vec![0, 60, 0, 0];
        head.extend_from_slice(&(body.len() as u64).to_be_bytes());
        Properties { headers: Some(headers.done()), ..*properties }.put(&mut head);
        if head.len() > longest {
            return false;
        }
        on.published += 1;
        on.unconfirmed.insert(on.published, number);
        frames::put_method(&mut self.out, channel, 60, 40, |out| {
            out.extend([0, 0]);
            put_short_text(out, exchange);
            put_short_text(out, routing_key);
            out.push(1); // mandatory: what has no queue comes back
        });
        frames::put(&mut self.out, HEADER, channel, |out| out.extend_from_slice(&head));
        for part in body.chunks(longest) {
            frames::put(&mut self.out, BODY, channel, |out| out.extend_from_slice(part));
        }
        true
    }

    /// Consumes again on a channel whose consumer was ended.
    pub fn resume(&mut self, number: u16) {
        if let Some(channel) = self.channels.get_mut(&number)
            && channel.phase == ChannelPhase::Cancelled
            && let Use::Consume { window, .. } = channel.purpose
        {
            channel.phase = ChannelPhase::Preparing;
            put_qos(&mut self.out, number, window, Asked::Setup, channel);
        }
    }

    /// Ends a consumer; what it has delivered stays open.
    pub fn cancel(&mut self, number: u16) {
        if let Some(channel) = self.channels.get_mut(&number)
            && matches!(channel.phase, ChannelPhase::Preparing | ChannelPhase::Ready)
        {
            channel.phase = ChannelPhase::Cancelled;
            frames::put_method(&mut self.out, number, 60, 30, |out| {
                put_short_text(out, &consumer_tag(number));
                out.push(0);
            });
        }
    }

    /// Closes the connection in good order; the broker's answer shows that it has read all before.
    pub fn close(&mut self, now: Timestamp) {
        if !matches!(self.phase, Phase::Closing | Phase::Over) {
            self.send_close(now, DONE, "leaving");
        }
    }

    pub fn unsettled(&self) -> usize {
        self.channels.values().map(|channel| channel.unsettled.len()).sum()
    }
}

/// The header that carries our number of a published message, by which a returned one is known again.
const NUMBER: &str = "x-hazelspur-number";

impl Content {
    fn begun(now: Timestamp, tag: u64, redelivered: bool, returned: bool, routing_key: String) -> Self {
        let (properties, body) = (Vec::new(), Vec::new());
        let (left, oversized, began) = (None, false, now);
        Self { tag, redelivered, returned, routing_key, properties, left, oversized, body, began }
    }
}

fn consumer_tag(channel: u16) -> String {
    format!("hazelspur-{channel}")
}

/// Global within the channel, where there is one consumer: only so is a later change held to at once by brokers
/// that count a window for each consumer when it begins.
fn put_qos(out: &mut Vec<u8>, number: u16, window: u16, why: Asked, channel: &mut Channel) {
    channel.asked.push_back(why);
    frames::put_method(out, number, 60, 10, |out| {
        out.extend([0; 4]);
        out.extend_from_slice(&window.max(1).to_be_bytes());
        out.push(1);
    });
}
