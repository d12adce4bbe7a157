//! Tests of `Connection` against a scripted broker, whose frames are encoded by an independent codec,
//! `amq-protocol`. Events and sent frames (`<`) are compared as transcripts.

mod helpers;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as BasicMethod, AMQPProperties};
use amq_protocol::protocol::channel::{self, AMQPMethod as ChannelMethod};
use amq_protocol::protocol::confirm::{self, AMQPMethod as ConfirmMethod};
use amq_protocol::protocol::connection::{self, AMQPMethod as ConnectionMethod};
use hazelspur_amqp::connection::MAX_BODY_BYTES;
use hazelspur_amqp::{Connection, ConnectionSettings, OutgoingMessage, Properties};
use helpers::{EventLog, at, encode, feed, settings, take_frames, transcript_of};

/// A connection and the broker's side of it, which sends the frames that a test passes to `receive`.
struct BrokerScript {
    connection: Connection,
    events: EventLog,
    /// Events, sent frames and the end of the connection, one line each.
    transcript: String,
    /// Current time in milliseconds.
    ms: u64,
}

impl BrokerScript {
    fn new(settings: ConnectionSettings) -> Self {
        Self {
            connection: Connection::new(settings, at(0)),
            events: EventLog::default(),
            transcript: String::new(),
            ms: 0,
        }
    }

    /// Passes `frames` to the connection and records its events and the frames that it sends.
    fn receive(&mut self, frames: &[AMQPFrame]) {
        let input: Vec<u8> = frames.iter().flat_map(encode).collect();
        self.receive_bytes(&input);
    }

    fn receive_bytes(&mut self, input: &[u8]) {
        feed(&mut self.connection, &mut self.events, self.ms, input, 7);
        self.transcript += &std::mem::take(&mut self.events.0);
        self.transcript += &transcript_of(&take_frames(&mut self.connection, self.ms));
        if let Some(end) = self.connection.end() {
            self.transcript += &format!("ended: {end}\n");
        }
    }

    /// Sets the time and records the end of the connection, if any, and the frames that it sends.
    fn tick(&mut self, ms: u64) {
        self.ms = ms;
        self.connection.tick(at(ms));
        let end = self.connection.end().map(ToString::to_string);
        self.transcript += &format!("at {ms}: {end:?}\n");
        self.transcript += &transcript_of(&take_frames(&mut self.connection, ms));
    }

    /// Completes the handshake with a heartbeat interval of `heartbeat` seconds.
    fn open(heartbeat: u16) -> Self {
        let mut script = Self::new(settings());
        take_frames(&mut script.connection, 0);
        script.receive(&[start("PLAIN AMQPLAIN")]);
        script.receive(&[tune(8192, heartbeat)]);
        script.receive(&[connection_frame(0, ConnectionMethod::OpenOk(connection::OpenOk {}))]);
        script
    }

    /// Opens channel 1, which consumes `orders`, and channel 2, which publishes.
    fn consuming_and_publishing() -> Self {
        let mut script = Self::open(0);
        script.connection.consume(1, "orders", 3);
        script.connection.open_publishing_channel(2);
        let open_ok = |n| channel_frame(n, ChannelMethod::OpenOk(channel::OpenOk {}));
        script.receive(&[open_ok(1), open_ok(2)]);
        script.receive(&[
            basic_frame(1, BasicMethod::QosOk(basic::QosOk {})),
            AMQPFrame::Method(2, AMQPClass::Confirm(ConfirmMethod::SelectOk(confirm::SelectOk {}))),
        ]);
        script.receive(&[basic_frame(
            1,
            BasicMethod::ConsumeOk(basic::ConsumeOk { consumer_tag: "hazelspur-1".into() }),
        )]);
        script
    }
}

fn outgoing(number: u64, body: &[u8]) -> OutgoingMessage<'_> {
    OutgoingMessage { number, queue: "answers", properties: Properties::default(), body }
}

fn connection_frame(channel: u16, method: ConnectionMethod) -> AMQPFrame {
    AMQPFrame::Method(channel, AMQPClass::Connection(method))
}

fn channel_frame(channel: u16, method: ChannelMethod) -> AMQPFrame {
    AMQPFrame::Method(channel, AMQPClass::Channel(method))
}

fn basic_frame(channel: u16, method: BasicMethod) -> AMQPFrame {
    AMQPFrame::Method(channel, AMQPClass::Basic(method))
}

fn start(mechanisms: &str) -> AMQPFrame {
    let server_properties = amq_protocol::types::FieldTable::default();
    let (version_major, version_minor) = (0, 9);
    let (mechanisms, locales) = (mechanisms.into(), "en_US".into());
    let start = connection::Start { version_major, version_minor, server_properties, mechanisms, locales };
    connection_frame(0, ConnectionMethod::Start(start))
}

fn tune(frame_max: u32, heartbeat: u16) -> AMQPFrame {
    connection_frame(0, ConnectionMethod::Tune(connection::Tune { channel_max: 100, frame_max, heartbeat }))
}

/// Returns the method and the content header of a delivery on channel 1.
fn delivery_start(tag: u64, body_size: u64) -> Vec<AMQPFrame> {
    let deliver = basic::Deliver {
        consumer_tag: "hazelspur-1".into(),
        delivery_tag: tag,
        redelivered: tag > 1,
        exchange: "".into(),
        routing_key: "orders".into(),
    };
    let properties = AMQPProperties::default().with_message_id(format!("m{tag}").into());
    let header = AMQPContentHeader { class_id: 60, body_size, properties };
    vec![basic_frame(1, BasicMethod::Deliver(deliver)), AMQPFrame::Header(1, header)]
}

/// Returns all frames of a delivery on channel 1, with at most `frame_bytes` of body in each.
fn delivery(tag: u64, body: &[u8], frame_bytes: usize) -> Vec<AMQPFrame> {
    let mut frames = delivery_start(tag, body.len() as u64);
    frames.extend(body.chunks(frame_bytes).map(|part| AMQPFrame::Body(1, part.to_vec())));
    frames
}

#[test]
fn a_connection_opens_consumes_settles_and_closes() {
    let mut script = BrokerScript::consuming_and_publishing();
    script.receive(&delivery(1, b"forty loaves", 5));
    script.receive(&delivery(2, b"", 5));
    assert!(
        script.connection.send_fence(1, 77)
            && script.connection.ack(1, 1)
            && script.connection.reject(1, 2, true)
    );
    script.receive(&[basic_frame(1, BasicMethod::QosOk(basic::QosOk {}))]);
    let settled_again =
        format!("again {} other channel {}", script.connection.ack(1, 1), script.connection.ack(2, 2));
    let body = vec![7; 20_000];
    script.connection.publish(2, &outgoing(5, &body));
    script.connection.publish(2, &outgoing(6, b""));
    let ack = basic::Ack { delivery_tag: 2, multiple: true };
    script.receive(&[basic_frame(2, BasicMethod::Ack(ack))]);
    script.connection.cancel_consumer(1);
    script.receive(&[basic_frame(
        1,
        BasicMethod::CancelOk(basic::CancelOk { consumer_tag: "hazelspur-1".into() }),
    )]);
    script.connection.close(at(1));
    script.receive(&[connection_frame(0, ConnectionMethod::CloseOk(connection::CloseOk {}))]);
    let transcript =
        format!("{}{settled_again}, stale {}\n", script.transcript, script.connection.stale_settlements());
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
    .assert_eq(&transcript);
}

#[test]
fn each_protocol_error_is_answered_with_one_close() {
    let mut transcript = String::new();
    let mut run_case = |name: &str, send: &dyn Fn(&mut BrokerScript)| {
        let mut script = BrokerScript::consuming_and_publishing();
        script.transcript.clear();
        send(&mut script);
        transcript += &format!("{name}\n{}", script.transcript);
    };
    run_case("a wrong frame-end octet", &|script| {
        let mut frame = encode(&AMQPFrame::Heartbeat);
        *frame.last_mut().expect("a frame-end octet") = 0;
        script.receive_bytes(&frame);
    });
    run_case("a frame above the maximum size", &|script| {
        script.receive_bytes(&[3, 0, 1, 0xFF, 0xFF, 0xFF, 0xFF, 1, 2])
    });
    run_case("an empty body frame", &|script| {
        script.receive(&delivery_start(1, 5));
        script.receive(&[AMQPFrame::Body(1, vec![1; 3]), AMQPFrame::Body(1, vec![])]);
    });
    run_case("a body longer than its header says", &|script| {
        script.receive(&delivery_start(1, 2));
        script.receive(&[AMQPFrame::Body(1, vec![1; 3])]);
    });
    run_case("a delivery tag twice", &|script| {
        script.receive(&delivery(1, b"a", 9));
        script.receive(&delivery(1, b"a", 9));
    });
    run_case("more deliveries than max_unsettled", &|script| {
        (1..=5).for_each(|tag| script.receive(&delivery(tag, b"a", 9)))
    });
    run_case("a body frame without its method", &|script| script.receive(&[AMQPFrame::Body(1, vec![1])]));
    run_case("a delivery on an unopened channel", &|script| {
        script.receive(
            &delivery(1, b"a", 9)
                .iter()
                .map(|frame| match frame {
                    AMQPFrame::Method(_, class) => AMQPFrame::Method(9, class.clone()),
                    other => other.clone(),
                })
                .collect::<Vec<_>>(),
        )
    });
    run_case("a confirm of an unpublished message", &|script| {
        script.receive(&[basic_frame(2, BasicMethod::Ack(basic::Ack { delivery_tag: 4, multiple: false }))]);
    });
    run_case("a second tune", &|script| script.receive(&[tune(8192, 1)]));
    expect_test::expect![[r#"
        a wrong frame-end octet
        < 0 Connection(Close(Close
        ended: fault of the broker: a frame without its end octet
        a frame above the maximum size
        < 0 Connection(Close(Close
        ended: fault of the broker: a frame longer than agreed
        an empty body frame
        < 0 Connection(Close(Close
        ended: fault of the broker: a body that does not fit its header
        a body longer than its header says
        < 0 Connection(Close(Close
        ended: fault of the broker: a body that does not fit its header
        a delivery tag twice
        delivered 1:1 redelivered false key orders id m1 body Some((1, 97))
        < 0 Connection(Close(Close
        ended: fault of the broker: a delivery tag that is in use
        more deliveries than max_unsettled
        delivered 1:1 redelivered false key orders id m1 body Some((1, 97))
        delivered 1:2 redelivered true key orders id m2 body Some((1, 97))
        delivered 1:3 redelivered true key orders id m3 body Some((1, 97))
        delivered 1:4 redelivered true key orders id m4 body Some((1, 97))
        < 0 Connection(Close(Close
        ended: fault of the broker: more deliveries than were asked for
        a body frame without its method
        < 0 Connection(Close(Close
        ended: fault of the broker: content that no method announced
        a delivery on an unopened channel
        < 0 Connection(Close(Close
        ended: fault of the broker: a channel that is not open
        a confirm of an unpublished message
        < 0 Connection(Close(Close
        ended: fault of the broker: a confirm for what was never published
        a second tune
        < 0 Connection(Close(Close
        ended: fault of the broker: a method that has no place here
    "#]]
    .assert_eq(&transcript);
}

#[test]
fn a_channel_error_does_not_end_the_connection() {
    let mut script = BrokerScript::consuming_and_publishing();
    script.transcript.clear();
    let (reply_code, reply_text, class_id, method_id) = (404, "no such queue".into(), 60, 20);
    script.receive(&[channel_frame(
        1,
        ChannelMethod::Close(channel::Close { reply_code, reply_text, class_id, method_id }),
    )]);
    script.connection.consume(1, "orders", 3);
    script.receive(&[channel_frame(1, ChannelMethod::OpenOk(channel::OpenOk {}))]);
    script.receive(&[connection_frame(
        0,
        ConnectionMethod::Blocked(connection::Blocked { reason: "memory".into() }),
    )]);
    script.receive(&[connection_frame(0, ConnectionMethod::Unblocked(connection::Unblocked {}))]);
    let reply_text = "shutting down".into();
    script.receive(&[connection_frame(
        0,
        ConnectionMethod::Close(connection::Close { reply_code: 320, reply_text, class_id, method_id }),
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
    .assert_eq(&script.transcript);
}

/// A body above `MAX_BODY_BYTES` is counted but not kept, and the next delivery is read correctly.
#[test]
fn an_oversized_body_is_delivered_as_none() {
    let mut script = BrokerScript::consuming_and_publishing();
    script.transcript.clear();
    let body = vec![1; MAX_BODY_BYTES + 1];
    let frames = delivery(1, &body, 8000);
    let input: Vec<u8> = frames.iter().flat_map(encode).collect();
    feed(&mut script.connection, &mut script.events, 0, &input, 4096);
    script.receive(&delivery(2, b"a", 9));
    expect_test::expect![[r#"
        delivered 1:1 redelivered false key orders id m1 body None
        delivered 1:2 redelivered true key orders id m2 body Some((1, 97))
    "#]]
    .assert_eq(&script.transcript);
}

/// Heartbeats are sent while the broker is silent. The first check that finds the silence too long only
/// schedules a second one, since the process may have been suspended.
#[test]
fn silence_ends_the_connection_at_the_second_check() {
    let mut script = BrokerScript::open(2);
    script.transcript.clear();
    script.tick(500);
    script.tick(1000);
    // The process was suspended: unread input is read before the silence ends the connection.
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
    .assert_eq(&script.transcript);
}

#[test]
fn a_failed_handshake_ends_in_time_with_a_reason() {
    let mut transcript = String::new();
    let mut handshake = |name: &str, settings: ConnectionSettings, frames: &[AMQPFrame]| {
        let mut script = BrokerScript::new(settings);
        take_frames(&mut script.connection, 0);
        frames.iter().for_each(|frame| script.receive(std::slice::from_ref(frame)));
        script.tick(10_000);
        script.tick(12_000);
        transcript += &format!("{name}, refused {}\n{}", script.connection.was_refused(), script.transcript);
    };
    let external = ConnectionSettings { credentials: None, ..settings() };
    handshake("no start method", settings(), &[]);
    handshake("mechanism not offered", external.clone(), &[start("PLAIN")]);
    handshake("frame-max below the minimum", external, &[start("EXTERNAL"), tune(1000, 0)]);
    let (reply_text, class_id, method_id) = ("ACCESS_REFUSED".into(), 10, 11);
    let close = connection::Close { reply_code: 403, reply_text, class_id, method_id };
    handshake(
        "wrong password",
        settings(),
        &[start("PLAIN"), connection_frame(0, ConnectionMethod::Close(close))],
    );
    let secure =
        || connection_frame(0, ConnectionMethod::Secure(connection::Secure { challenge: "who".into() }));
    handshake("two challenges", settings(), &[start("PLAIN"), secure(), secure()]);
    expect_test::expect![[r#"
        no start method, refused false
        at 10000: Some("no answer in time")
        at 12000: Some("no answer in time")
        mechanism not offered, refused true
        ended: the broker does not offer EXTERNAL
        at 10000: Some("the broker does not offer EXTERNAL")
        at 12000: Some("the broker does not offer EXTERNAL")
        frame-max below the minimum, refused false
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
    .assert_eq(&transcript);
}
