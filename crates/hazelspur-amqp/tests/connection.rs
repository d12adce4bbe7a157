//! Connections step by step, with the broker's frames made by another codec (amq-protocol).

mod helpers;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::protocol::channel::{self, AMQPMethod as OnChannel};
use amq_protocol::protocol::confirm::{self, AMQPMethod as Confirm};
use amq_protocol::protocol::connection::{self, AMQPMethod as OnConnection};
use hazelspur_amqp::connection::MAX_BODY_BYTES;
use hazelspur_amqp::{Connection, ConnectionSettings, OutgoingMessage, Properties};
use helpers::{EventLog, at, bytes, feed, settings, shown, written};

struct BrokerScript {
    connection: Connection,
    events: EventLog,
    seen: String,
    ms: u64,
}

impl BrokerScript {
    fn new(settings: ConnectionSettings) -> Self {
        Self {
            connection: Connection::new(settings, at(0)),
            events: EventLog::default(),
            seen: String::new(),
            ms: 0,
        }
    }

    /// Sends these frames to the connection and records its events and its output.
    fn receive(&mut self, frames: &[AMQPFrame]) {
        let all: Vec<u8> = frames.iter().flat_map(bytes).collect();
        self.receive_bytes(&all);
    }

    fn receive_bytes(&mut self, all: &[u8]) {
        feed(&mut self.connection, &mut self.events, self.ms, all, 7);
        self.seen += &std::mem::take(&mut self.events.0);
        self.seen += &shown(&written(&mut self.connection, self.ms));
        if let Some(end) = self.connection.end() {
            self.seen += &format!("ended: {end}\n");
        }
    }

    fn tick(&mut self, ms: u64) {
        self.ms = ms;
        self.connection.tick(at(ms));
        let end = self.connection.end().map(ToString::to_string);
        self.seen += &format!("at {ms}: {end:?}\n");
        self.seen += &shown(&written(&mut self.connection, ms));
    }

    fn open(heartbeat: u16) -> Self {
        let mut script = Self::new(settings());
        written(&mut script.connection, 0);
        script.receive(&[start("PLAIN AMQPLAIN")]);
        script.receive(&[tune(8192, heartbeat)]);
        script.receive(&[on(0, OnConnection::OpenOk(connection::OpenOk {}))]);
        script
    }

    /// Channel 1 consumes, channel 2 publishes.
    fn consuming() -> Self {
        let mut script = Self::open(0);
        script.connection.consume(1, "orders", 3);
        script.connection.open_publishing_channel(2);
        let open_ok = |n| channel_frame(n, OnChannel::OpenOk(channel::OpenOk {}));
        script.receive(&[open_ok(1), open_ok(2)]);
        script.receive(&[
            basic_frame(1, Basic::QosOk(basic::QosOk {})),
            AMQPFrame::Method(2, AMQPClass::Confirm(Confirm::SelectOk(confirm::SelectOk {}))),
        ]);
        script.receive(&[basic_frame(
            1,
            Basic::ConsumeOk(basic::ConsumeOk { consumer_tag: "hazelspur-1".into() }),
        )]);
        script
    }
}

fn reply(number: u64, body: &[u8]) -> OutgoingMessage<'_> {
    OutgoingMessage { number, queue: "answers", properties: Properties::default(), body }
}

fn on(channel: u16, method: OnConnection) -> AMQPFrame {
    AMQPFrame::Method(channel, AMQPClass::Connection(method))
}

fn channel_frame(channel: u16, method: OnChannel) -> AMQPFrame {
    AMQPFrame::Method(channel, AMQPClass::Channel(method))
}

fn basic_frame(channel: u16, method: Basic) -> AMQPFrame {
    AMQPFrame::Method(channel, AMQPClass::Basic(method))
}

fn start(mechanisms: &str) -> AMQPFrame {
    let server_properties = amq_protocol::types::FieldTable::default();
    let (version_major, version_minor) = (0, 9);
    let (mechanisms, locales) = (mechanisms.into(), "en_US".into());
    let start = connection::Start { version_major, version_minor, server_properties, mechanisms, locales };
    on(0, OnConnection::Start(start))
}

fn tune(frame_max: u32, heartbeat: u16) -> AMQPFrame {
    on(0, OnConnection::Tune(connection::Tune { channel_max: 100, frame_max, heartbeat }))
}

fn deliver(tag: u64, size: u64) -> Vec<AMQPFrame> {
    let deliver = basic::Deliver {
        consumer_tag: "hazelspur-1".into(),
        delivery_tag: tag,
        redelivered: tag > 1,
        exchange: "".into(),
        routing_key: "orders".into(),
    };
    let properties = AMQPProperties::default().with_message_id(format!("m{tag}").into());
    let header = AMQPContentHeader { class_id: 60, body_size: size, properties };
    vec![basic_frame(1, Basic::Deliver(deliver)), AMQPFrame::Header(1, header)]
}

fn message(tag: u64, body: &[u8], part: usize) -> Vec<AMQPFrame> {
    let mut frames = deliver(tag, body.len() as u64);
    frames.extend(body.chunks(part).map(|part| AMQPFrame::Body(1, part.to_vec())));
    frames
}

#[test]
fn a_connection_opens_consumes_settles_and_closes() {
    let mut script = BrokerScript::consuming();
    script.receive(&message(1, b"forty loaves", 5));
    script.receive(&message(2, b"", 5));
    assert!(
        script.connection.send_fence(1, 77)
            && script.connection.ack(1, 1)
            && script.connection.reject(1, 2, true)
    );
    script.receive(&[basic_frame(1, Basic::QosOk(basic::QosOk {}))]);
    let settled =
        format!("again {} other channel {}", script.connection.ack(1, 1), script.connection.ack(2, 2));
    let body = vec![7; 20_000];
    script.connection.publish(2, &reply(5, &body));
    script.connection.publish(2, &reply(6, b""));
    let ack = basic::Ack { delivery_tag: 2, multiple: true };
    script.receive(&[basic_frame(2, Basic::Ack(ack))]);
    script.connection.cancel_consumer(1);
    script
        .receive(&[basic_frame(1, Basic::CancelOk(basic::CancelOk { consumer_tag: "hazelspur-1".into() }))]);
    script.connection.close(at(1));
    script.receive(&[on(0, OnConnection::CloseOk(connection::CloseOk {}))]);
    let seen = format!("{}{settled}, stale {}\n", script.seen, script.connection.stale_settlements());
    expect_test::expect![[r#"
        < 0 Connection(StartOk(StartOk
        < 0 Connection(TuneOk(TuneOk
        < 0 Connection(Open(Open
        open
        < 1 Channel(Open(Open))
        < 2 Channel(Open(Open))
        < 1 Basic(Qos(Qos
        < 2 Confirm(Select(Select
        ready 2
        < 1 Basic(Consume(Consume
        ready 1
        delivered 1:1 redelivered false key orders id m1 body Some((12, 1246))
        delivered 1:2 redelivered true key orders id m2 body Some((0, 0))
        fence answered 1 77
        < 1 Basic(Qos(Qos
        < 1 Basic(Ack(Ack
        < 1 Basic(Reject(Reject
        confirmed 5 true
        confirmed 6 true
        < 2 Basic(Publish(Publish
        < 2 header 20000
        < 2 body 8184
        < 2 body 8184
        < 2 body 3632
        < 2 Basic(Publish(Publish
        < 2 header 0
        < 1 Basic(Cancel(Cancel
        < 0 Connection(Close(Close
        ended: closed
        again false other channel false, stale 2
    "#]]
    .assert_eq(&seen);
}

#[test]
fn each_protocol_error_of_the_broker_is_answered_with_one_close() {
    let mut seen = String::new();
    let mut violation = |name: &str, send: &dyn Fn(&mut BrokerScript)| {
        let mut script = BrokerScript::consuming();
        script.seen.clear();
        send(&mut script);
        seen += &format!("{name}\n{}", script.seen);
    };
    violation("a wrong end octet", &|script| {
        let mut frame = bytes(&AMQPFrame::Heartbeat);
        *frame.last_mut().expect("an end") = 0;
        script.receive_bytes(&frame);
    });
    violation("a huge frame", &|script| script.receive_bytes(&[3, 0, 1, 0xFF, 0xFF, 0xFF, 0xFF, 1, 2]));
    violation("a body that does not end", &|script| {
        script.receive(&deliver(1, 5));
        script.receive(&[AMQPFrame::Body(1, vec![1; 3]), AMQPFrame::Body(1, vec![])]);
    });
    violation("a body too long", &|script| {
        script.receive(&deliver(1, 2));
        script.receive(&[AMQPFrame::Body(1, vec![1; 3])]);
    });
    violation("a tag twice", &|script| {
        script.receive(&message(1, b"a", 9));
        script.receive(&message(1, b"a", 9));
    });
    violation("more than was asked for", &|script| {
        (1..=5).for_each(|tag| script.receive(&message(tag, b"a", 9)))
    });
    violation("content from nowhere", &|script| script.receive(&[AMQPFrame::Body(1, vec![1])]));
    violation("a channel that is not open", &|script| {
        script.receive(
            &message(1, b"a", 9)
                .iter()
                .map(|frame| match frame {
                    AMQPFrame::Method(_, class) => AMQPFrame::Method(9, class.clone()),
                    other => other.clone(),
                })
                .collect::<Vec<_>>(),
        )
    });
    violation("a confirm for nothing", &|script| {
        script.receive(&[basic_frame(2, Basic::Ack(basic::Ack { delivery_tag: 4, multiple: false }))]);
    });
    violation("a second tune", &|script| script.receive(&[tune(8192, 1)]));
    expect_test::expect![[r#"
        a wrong end octet
        < 0 Connection(Close(Close
        ended: fault of the broker: a frame without its end octet
        a huge frame
        < 0 Connection(Close(Close
        ended: fault of the broker: a frame longer than agreed
        a body that does not end
        < 0 Connection(Close(Close
        ended: fault of the broker: a body that does not fit its header
        a body too long
        < 0 Connection(Close(Close
        ended: fault of the broker: a body that does not fit its header
        a tag twice
        delivered 1:1 redelivered false key orders id m1 body Some((1, 97))
        < 0 Connection(Close(Close
        ended: fault of the broker: a delivery tag that is in use
        more than was asked for
        delivered 1:1 redelivered false key orders id m1 body Some((1, 97))
        delivered 1:2 redelivered true key orders id m2 body Some((1, 97))
        delivered 1:3 redelivered true key orders id m3 body Some((1, 97))
        delivered 1:4 redelivered true key orders id m4 body Some((1, 97))
        < 0 Connection(Close(Close
        ended: fault of the broker: more deliveries than were asked for
        content from nowhere
        < 0 Connection(Close(Close
        ended: fault of the broker: content that no method announced
        a channel that is not open
        < 0 Connection(Close(Close
        ended: fault of the broker: a channel that is not open
        a confirm for nothing
        < 0 Connection(Close(Close
        ended: fault of the broker: a confirm for what was never published
        a second tune
        < 0 Connection(Close(Close
        ended: fault of the broker: a method that has no place here
    "#]]
    .assert_eq(&seen);
}

#[test]
fn a_channel_error_does_not_end_the_connection() {
    let mut script = BrokerScript::consuming();
    script.seen.clear();
    let (reply_code, reply_text, class_id, method_id) = (404, "no such queue".into(), 60, 20);
    script.receive(&[channel_frame(
        1,
        OnChannel::Close(channel::Close { reply_code, reply_text, class_id, method_id }),
    )]);
    script.connection.consume(1, "orders", 3);
    script.receive(&[channel_frame(1, OnChannel::OpenOk(channel::OpenOk {}))]);
    script.receive(&[on(0, OnConnection::Blocked(connection::Blocked { reason: "memory".into() }))]);
    script.receive(&[on(0, OnConnection::Unblocked(connection::Unblocked {}))]);
    let reply_text = "shutting down".into();
    script.receive(&[on(
        0,
        OnConnection::Close(connection::Close { reply_code: 320, reply_text, class_id, method_id }),
    )]);
    expect_test::expect![[r#"
        channel 1 closed 404 no such queue
        < 1 Channel(CloseOk(CloseOk))
        < 1 Channel(Open(Open))
        < 1 Basic(Qos(Qos
        blocked Some("memory")
        blocked None
        < 0 Connection(CloseOk(CloseOk))
        ended: closed by the broker: 320 shutting down
    "#]]
    .assert_eq(&script.seen);
}

#[test]
fn an_oversized_body_is_counted_and_not_kept() {
    let mut script = BrokerScript::consuming();
    script.seen.clear();
    let body = vec![1; MAX_BODY_BYTES + 1];
    let frames = message(1, &body, 8000);
    let all: Vec<u8> = frames.iter().flat_map(bytes).collect();
    feed(&mut script.connection, &mut script.events, 0, &all, 4096);
    script.receive(&message(2, b"a", 9));
    expect_test::expect![[r#"
        delivered 1:1 redelivered false key orders id m1 body None
        delivered 1:2 redelivered true key orders id m2 body Some((1, 97))
    "#]]
    .assert_eq(&script.seen);
}

#[test]
fn silence_is_answered_with_heartbeats_and_ends_the_connection_at_the_second_check() {
    let mut script = BrokerScript::open(2);
    script.seen.clear();
    script.tick(500);
    script.tick(1000);
    // After a suspension of the process, input that waits is read before the connection is given up.
    script.tick(9000);
    script.receive(&[AMQPFrame::Heartbeat]);
    script.tick(9300);
    script.tick(13_500);
    script.tick(13_700);
    script.tick(13_800);
    expect_test::expect![[r#"
        at 500: None
        at 1000: None
        < Heartbeat
        at 9000: None
        < Heartbeat
        at 9300: None
        at 13500: None
        < Heartbeat
        at 13700: None
        at 13800: Some("no heartbeat")
    "#]]
    .assert_eq(&script.seen);
}

#[test]
fn a_handshake_without_success_ends_in_time_with_a_reason() {
    let mut seen = String::new();
    let mut handshake = |name: &str, settings: ConnectionSettings, frames: &[AMQPFrame]| {
        let mut script = BrokerScript::new(settings);
        written(&mut script.connection, 0);
        frames.iter().for_each(|frame| script.receive(std::slice::from_ref(frame)));
        script.tick(10_000);
        script.tick(12_000);
        seen += &format!("{name}, refused {}\n{}", script.connection.was_refused(), script.seen);
    };
    let external = ConnectionSettings { credentials: None, ..settings() };
    handshake("silence", settings(), &[]);
    handshake("another mechanism", external.clone(), &[start("PLAIN")]);
    handshake("small frames", external, &[start("EXTERNAL"), tune(1000, 0)]);
    let (reply_text, class_id, method_id) = ("ACCESS_REFUSED".into(), 10, 11);
    let close = connection::Close { reply_code: 403, reply_text, class_id, method_id };
    handshake("wrong password", settings(), &[start("PLAIN"), on(0, OnConnection::Close(close))]);
    let secure = || on(0, OnConnection::Secure(connection::Secure { challenge: "who".into() }));
    handshake("two challenges", settings(), &[start("PLAIN"), secure(), secure()]);
    expect_test::expect![[r#"
        silence, refused false
        at 10000: Some("no answer in time")
        at 12000: Some("no answer in time")
        another mechanism, refused true
        ended: the broker does not offer EXTERNAL
        at 10000: Some("the broker does not offer EXTERNAL")
        at 12000: Some("the broker does not offer EXTERNAL")
        small frames, refused false
        < 0 Connection(StartOk(StartOk
        < 0 Connection(Close(Close
        ended: fault of the broker: frames smaller than the specification allows
        at 10000: Some("fault of the broker: frames smaller than the specification allows")
        at 12000: Some("fault of the broker: frames smaller than the specification allows")
        wrong password, refused true
        < 0 Connection(StartOk(StartOk
        < 0 Connection(CloseOk(CloseOk))
        ended: closed by the broker: 403 ACCESS_REFUSED
        at 10000: Some("closed by the broker: 403 ACCESS_REFUSED")
        at 12000: Some("closed by the broker: 403 ACCESS_REFUSED")
        two challenges, refused false
        < 0 Connection(StartOk(StartOk
        < 0 Connection(SecureOk(SecureOk
        < 0 Connection(Close(Close
        ended: fault of the broker: a method that has no place here
        at 10000: Some("fault of the broker: a method that has no place here")
        at 12000: Some("fault of the broker: a method that has no place here")
    "#]]
    .assert_eq(&seen);
}
