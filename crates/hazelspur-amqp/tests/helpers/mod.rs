//! Helpers of the tests: a handler that records the events, settings, and frames encoded and decoded by an
//! independent codec, `amq-protocol`.
#![allow(dead_code)]

use amq_protocol::frame::{AMQPFrame, gen_frame};
use hazelspur::{Duration, Timestamp};
use hazelspur_amqp::{
    Connection, ConnectionHandler, ConnectionSettings, Credentials, IncomingDelivery, Properties,
};

/// Returns the time `ms` milliseconds after the start of a test.
pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_us(1_000_000_000 + ms * 1000)
}

pub(crate) fn encode(frame: &AMQPFrame) -> Vec<u8> {
    gen_frame(frame)(Vec::new().into()).expect("amq-protocol encodes the frame").into_inner().0
}

pub(crate) fn settings() -> ConnectionSettings {
    ConnectionSettings {
        credentials: Some(Credentials { user: "u".into(), password: "p".into() }),
        virtual_host: "/".into(),
        connection_name: "n1".into(),
        heartbeat: Duration::from_ms(10_000),
        max_frame_bytes: 65_536,
        max_unsettled: 4,
        max_channel: 2,
    }
}

/// Handler that records each event as one line of text.
#[derive(Default)]
pub(crate) struct EventLog(pub String);

impl EventLog {
    fn record(&mut self, line: String) {
        self.0 += &line;
        self.0.push('\n');
    }
}

impl ConnectionHandler for EventLog {
    fn connection_open(&mut self) {
        self.record("open".into());
    }
    fn channel_ready(&mut self, channel: u16) {
        self.record(format!("ready {channel}"));
    }
    fn delivered(&mut self, delivery: &IncomingDelivery<'_>) {
        let IncomingDelivery { channel, tag, redelivered, routing_key, .. } = delivery;
        let properties = Properties::read(delivery.properties).ok();
        let id = properties.and_then(|properties| properties.message_id).unwrap_or("none");
        let checksum = |body: &[u8]| body.iter().map(|b| u64::from(*b)).sum::<u64>();
        let body = delivery.body.map(|body| (body.len(), checksum(body)));
        self.record(format!(
            "delivered {channel}:{tag} redelivered {redelivered} key {routing_key} id {id} body {body:?}"
        ));
    }
    fn fence_answered(&mut self, channel: u16, fence: u64) {
        self.record(format!("fence answered {channel} {fence}"));
    }
    fn publish_confirmed(&mut self, number: u64, accepted: bool) {
        self.record(format!("confirmed {number} {accepted}"));
    }
    fn publish_returned(&mut self, number: u64) {
        self.record(format!("returned {number}"));
    }
    fn consumer_cancelled(&mut self, channel: u16) {
        self.record(format!("cancelled {channel}"));
    }
    fn channel_closed(&mut self, channel: u16, reply_code: u16, reply_text: &str) {
        self.record(format!("channel {channel} closed {reply_code} {reply_text}"));
    }
    fn publishers_blocked(&mut self, reason: Option<&str>) {
        self.record(format!("blocked {reason:?}"));
    }
}

/// Passes `bytes` to the connection in chunks of `chunk_bytes`.
pub(crate) fn feed(
    connection: &mut Connection,
    events: &mut EventLog,
    ms: u64,
    bytes: &[u8],
    chunk_bytes: usize,
) {
    for chunk in bytes.chunks(chunk_bytes.max(1)) {
        connection.input_buffer().extend_from_slice(chunk);
        connection.process_input(at(ms), events);
    }
}

/// Takes the output of the connection and returns its frames as `amq-protocol` decodes them.
pub(crate) fn take_frames(connection: &mut Connection, ms: u64) -> Vec<AMQPFrame> {
    let output = connection.take_output(at(ms));
    let (mut rest, mut frames) = (&output[..], Vec::new());
    while !rest.is_empty() {
        let (remaining, frame) =
            amq_protocol::frame::parse_frame(rest).expect("amq-protocol decodes the frame");
        rest = remaining;
        frames.push(frame);
    }
    frames
}

/// Returns one line for each frame: its channel and the method name, or the size of a header or body.
pub(crate) fn transcript_of(frames: &[AMQPFrame]) -> String {
    let line = |frame: &AMQPFrame| match frame {
        AMQPFrame::Method(channel, class) => {
            let debug = format!("{class:?}");
            format!("< {channel} {}\n", debug.split([' ', '{']).next().unwrap_or_default())
        }
        AMQPFrame::Header(channel, header) => format!("< {channel} header {}\n", header.body_size),
        AMQPFrame::Body(channel, part) => format!("< {channel} body {}\n", part.len()),
        other => format!("< {other:?}\n"),
    };
    frames.iter().map(line).collect()
}
