//! Sessions step by step, with a broker's frames made by the other codec.

mod helpers;

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::protocol::channel::{self, AMQPMethod as OnChannel};
use amq_protocol::protocol::confirm::{self, AMQPMethod as Confirm};
use amq_protocol::protocol::connection::{self, AMQPMethod as OnConnection};
use hazelspur_amqp::session::MAX_BODY;
use hazelspur_amqp::{Properties, Session, Terms};
use helpers::{Ears, at, bytes, feed, shown, terms, written};

struct Talk {
    session: Session,
    ears: Ears,
    seen: String,
    ms: u64,
}

impl Talk {
    fn new(terms: Terms) -> Self {
        Self { session: Session::new(terms, at(0)), ears: Ears::default(), seen: String::new(), ms: 0 }
    }

    /// The broker says this; what was heard and what goes out is written down.
    fn hear(&mut self, frames: &[AMQPFrame]) {
        let all: Vec<u8> = frames.iter().flat_map(bytes).collect();
        self.hear_bytes(&all);
    }

    fn hear_bytes(&mut self, all: &[u8]) {
        feed(&mut self.session, &mut self.ears, self.ms, all, 7);
        self.seen += &std::mem::take(&mut self.ears.0);
        self.seen += &shown(&written(&mut self.session, self.ms));
        if let Some(why) = self.session.ended() {
            self.seen += &format!("ended: {why}\n");
        }
    }

    fn tick(&mut self, ms: u64) {
        self.ms = ms;
        self.session.tick(at(ms));
        self.seen += &format!("at {ms}: {:?}\n", self.session.ended());
        self.seen += &shown(&written(&mut self.session, ms));
    }

    fn open(heartbeat: u16) -> Self {
        let mut talk = Self::new(terms());
        written(&mut talk.session, 0);
        talk.hear(&[start("PLAIN AMQPLAIN")]);
        talk.hear(&[tune(8192, heartbeat)]);
        talk.hear(&[on(0, OnConnection::OpenOk(connection::OpenOk {}))]);
        talk
    }

    /// Channel 1 consumes, channel 2 publishes.
    fn consuming() -> Self {
        let mut talk = Self::open(0);
        talk.session.consume(1, "orders", 3);
        talk.session.publish_on(2);
        let open_ok = |n| channel_frame(n, OnChannel::OpenOk(channel::OpenOk {}));
        talk.hear(&[open_ok(1), open_ok(2)]);
        talk.hear(&[
            basic_frame(1, Basic::QosOk(basic::QosOk {})),
            AMQPFrame::Method(2, AMQPClass::Confirm(Confirm::SelectOk(confirm::SelectOk {}))),
        ]);
        talk.hear(&[basic_frame(
            1,
            Basic::ConsumeOk(basic::ConsumeOk { consumer_tag: "hazelspur-1".into() }),
        )]);
        talk
    }
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
    let mut talk = Talk::consuming();
    talk.hear(&message(1, b"forty loaves", 5));
    talk.hear(&message(2, b"", 5));
    assert!(talk.session.fence(1, 77) && talk.session.ack(1, 1) && talk.session.reject(1, 2, true));
    talk.hear(&[basic_frame(1, Basic::QosOk(basic::QosOk {}))]);
    let said = format!("again {} other channel {}", talk.session.ack(1, 1), talk.session.ack(2, 2));
    let body = vec![7; 20_000];
    talk.session.publish(2, 5, "", "answers", &Properties::default(), &body);
    talk.session.publish(2, 6, "", "answers", &Properties::default(), b"");
    let ack = basic::Ack { delivery_tag: 2, multiple: true };
    talk.hear(&[basic_frame(2, Basic::Ack(ack))]);
    talk.session.cancel(1);
    talk.hear(&[basic_frame(1, Basic::CancelOk(basic::CancelOk { consumer_tag: "hazelspur-1".into() }))]);
    talk.session.close(at(1));
    talk.hear(&[on(0, OnConnection::CloseOk(connection::CloseOk {}))]);
    let seen = format!("{}{said}, stale {}\n", talk.seen, talk.session.stale);
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
        delivered 1:1 again false key orders id m1 body Some((12, 1246))
        delivered 1:2 again true key orders id m2 body Some((0, 0))
        fenced 1 77
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
fn a_broker_that_lies_gets_one_close() {
    let mut seen = String::new();
    let mut lie = |name: &str, tell: &dyn Fn(&mut Talk)| {
        let mut talk = Talk::consuming();
        talk.seen.clear();
        tell(&mut talk);
        seen += &format!("{name}\n{}", talk.seen);
    };
    lie("a wrong end octet", &|talk| {
        let mut frame = bytes(&AMQPFrame::Heartbeat);
        *frame.last_mut().expect("an end") = 0;
        talk.hear_bytes(&frame);
    });
    lie("a huge frame", &|talk| talk.hear_bytes(&[3, 0, 1, 0xFF, 0xFF, 0xFF, 0xFF, 1, 2]));
    lie("a body that does not end", &|talk| {
        talk.hear(&deliver(1, 5));
        talk.hear(&[AMQPFrame::Body(1, vec![1; 3]), AMQPFrame::Body(1, vec![])]);
    });
    lie("a body too long", &|talk| {
        talk.hear(&deliver(1, 2));
        talk.hear(&[AMQPFrame::Body(1, vec![1; 3])]);
    });
    lie("a tag twice", &|talk| {
        talk.hear(&message(1, b"a", 9));
        talk.hear(&message(1, b"a", 9));
    });
    lie("more than was asked for", &|talk| (1..=5).for_each(|tag| talk.hear(&message(tag, b"a", 9))));
    lie("content from nowhere", &|talk| talk.hear(&[AMQPFrame::Body(1, vec![1])]));
    lie("a channel that is not open", &|talk| {
        talk.hear(
            &message(1, b"a", 9)
                .iter()
                .map(|frame| match frame {
                    AMQPFrame::Method(_, class) => AMQPFrame::Method(9, class.clone()),
                    other => other.clone(),
                })
                .collect::<Vec<_>>(),
        )
    });
    lie("a confirm for nothing", &|talk| {
        talk.hear(&[basic_frame(2, Basic::Ack(basic::Ack { delivery_tag: 4, multiple: false }))]);
    });
    lie("a second tune", &|talk| talk.hear(&[tune(8192, 1)]));
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
        delivered 1:1 again false key orders id m1 body Some((1, 97))
        < 0 Connection(Close(Close
        ended: fault of the broker: a delivery tag that is in use
        more than was asked for
        delivered 1:1 again false key orders id m1 body Some((1, 97))
        delivered 1:2 again true key orders id m2 body Some((1, 97))
        delivered 1:3 again true key orders id m3 body Some((1, 97))
        delivered 1:4 again true key orders id m4 body Some((1, 97))
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
fn errors_of_a_channel_are_not_those_of_a_connection() {
    let mut talk = Talk::consuming();
    talk.seen.clear();
    let (reply_code, reply_text, class_id, method_id) = (404, "no such queue".into(), 60, 20);
    talk.hear(&[channel_frame(
        1,
        OnChannel::Close(channel::Close { reply_code, reply_text, class_id, method_id }),
    )]);
    talk.session.consume(1, "orders", 3);
    talk.hear(&[channel_frame(1, OnChannel::OpenOk(channel::OpenOk {}))]);
    talk.hear(&[on(0, OnConnection::Blocked(connection::Blocked { reason: "memory".into() }))]);
    talk.hear(&[on(0, OnConnection::Unblocked(connection::Unblocked {}))]);
    let reply_text = "shutting down".into();
    talk.hear(&[on(
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
    .assert_eq(&talk.seen);
}

#[test]
fn a_body_past_the_bound_is_counted_and_not_kept() {
    let mut talk = Talk::consuming();
    talk.seen.clear();
    let body = vec![1; MAX_BODY + 1];
    let frames = message(1, &body, 8000);
    let all: Vec<u8> = frames.iter().flat_map(bytes).collect();
    feed(&mut talk.session, &mut talk.ears, 0, &all, 4096);
    talk.hear(&message(2, b"a", 9));
    expect_test::expect![[r#"
        delivered 1:1 again false key orders id m1 body None
        delivered 1:2 again true key orders id m2 body Some((1, 97))
    "#]]
    .assert_eq(&talk.seen);
}

#[test]
fn silence_is_answered_with_heartbeats_and_ended_after_a_second_look() {
    let mut talk = Talk::open(2);
    talk.seen.clear();
    talk.tick(500);
    talk.tick(1000);
    // The machine stood still: what has come meanwhile is read before the connection is given up.
    talk.tick(9000);
    talk.hear(&[AMQPFrame::Heartbeat]);
    talk.tick(9300);
    talk.tick(13_500);
    talk.tick(13_700);
    talk.tick(13_800);
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
    .assert_eq(&talk.seen);
}

#[test]
fn a_handshake_that_leads_nowhere_ends_in_time_and_says_why() {
    let mut seen = String::new();
    let mut try_it = |name: &str, terms: Terms, frames: &[AMQPFrame]| {
        let mut talk = Talk::new(terms);
        written(&mut talk.session, 0);
        frames.iter().for_each(|frame| talk.hear(std::slice::from_ref(frame)));
        talk.tick(10_000);
        talk.tick(12_000);
        seen += &format!("{name}, refused {}\n{}", talk.session.was_refused(), talk.seen);
    };
    let external = Terms { login: None, ..terms() };
    try_it("silence", terms(), &[]);
    try_it("another mechanism", external.clone(), &[start("PLAIN")]);
    try_it("small frames", external, &[start("EXTERNAL"), tune(1000, 0)]);
    let (reply_text, class_id, method_id) = ("ACCESS_REFUSED".into(), 10, 11);
    let close = connection::Close { reply_code: 403, reply_text, class_id, method_id };
    try_it("wrong password", terms(), &[start("PLAIN"), on(0, OnConnection::Close(close))]);
    let secure = || on(0, OnConnection::Secure(connection::Secure { challenge: "who".into() }));
    try_it("two challenges", terms(), &[start("PLAIN"), secure(), secure()]);
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
