//! The checker reports planted breaches, and the broker reports what a client may not do.

use amq_protocol::frame::{AMQPFrame, gen_frame, parse_frame};
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::protocol::{AMQPClass, channel, connection};
use hazelspur_test_doubles::broker::{Broker, MessageEnd};
use hazelspur_test_doubles::checker::{Expected, breaches};
use hazelspur_test_doubles::worker::WorkerState;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A minimal AMQP client that sends frames and waits for methods by name.
struct Client {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Client {
    /// Connects to the broker and consumes the queue `orders` on channel 1.
    fn consuming_orders(broker: &Broker) -> Self {
        let stream = TcpStream::connect(broker.address).expect("broker listens");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("read timeout can be set");
        let mut client = Self { stream, unread: Vec::new() };
        client.send(AMQPFrame::ProtocolHeader(amq_protocol::frame::ProtocolVersion::amqp_0_9_1()));
        client.wait_for("Start");
        let ok = connection::StartOk { mechanism: "PLAIN".into(), ..connection::StartOk::default() };
        client.method(0, AMQPClass::Connection(connection::AMQPMethod::StartOk(ok)));
        client.wait_for("Tune");
        let ok = connection::TuneOk { frame_max: 8192, ..connection::TuneOk::default() };
        client.method(0, AMQPClass::Connection(connection::AMQPMethod::TuneOk(ok)));
        let open = connection::Open { virtual_host: "/".into() };
        client.method(0, AMQPClass::Connection(connection::AMQPMethod::Open(open)));
        client.wait_for("OpenOk");
        client.method(1, AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {})));
        client.wait_for("OpenOk");
        let consume =
            basic::Consume { queue: "orders".into(), consumer_tag: "c".into(), ..basic::Consume::default() };
        client.method(1, AMQPClass::Basic(Basic::Consume(consume)));
        client.wait_for("ConsumeOk");
        client
    }

    fn send(&mut self, frame: AMQPFrame) {
        let bytes = gen_frame(&frame)(Vec::new().into()).expect("frame is valid").into_inner().0;
        self.stream.write_all(&bytes).expect("broker reads");
    }

    fn method(&mut self, channel: u16, class: AMQPClass) {
        self.send(AMQPFrame::Method(channel, class));
    }

    fn ack(&mut self, delivery_tag: u64) {
        self.method(1, AMQPClass::Basic(Basic::Ack(basic::Ack { delivery_tag, multiple: false })));
    }

    /// Reads frames until one carries the method of this name.
    fn wait_for(&mut self, name: &str) {
        loop {
            while let Ok((rest, frame)) = parse_frame(&self.unread[..]) {
                let consumed = self.unread.len() - rest.len();
                self.unread.drain(..consumed);
                if format!("{frame:?}").contains(&format!("{name}(")) {
                    return;
                }
            }
            let mut chunk = [0; 4096];
            let count = self.stream.read(&mut chunk).expect("frame arrives within 5 s");
            assert!(count > 0, "connection closed before {name}");
            self.unread.extend_from_slice(&chunk[..count]);
        }
    }
}

/// Returns a broker with a message of each name as its body in the queue `orders`.
fn broker_with(names: &[&str]) -> Broker {
    let broker = Broker::start();
    broker.declare("orders", None);
    names.iter().for_each(|name| {
        drop(broker.publish("orders", AMQPProperties::default(), name.as_bytes()).to_string())
    });
    broker
}

/// Returns the breaches that the checker reports, one a line.
fn breaches_found(broker: &Broker, worker_state: &WorkerState, names: &[(&str, Expected)]) -> String {
    let expected: BTreeMap<Vec<u8>, Expected> =
        names.iter().map(|(name, rules)| (name.as_bytes().to_vec(), rules.clone())).collect();
    breaches(&broker.state(), worker_state, &expected, 0).join("\n")
}

#[test]
fn settlement_of_a_tag_that_is_not_open_is_reported() {
    let broker = broker_with(&["a"]);
    let mut client = Client::consuming_orders(&broker);
    client.wait_for("Deliver");
    client.ack(1);
    assert!(broker.wait_until(Duration::from_secs(5), |state| state.acks == 1));
    let mut worker_state = WorkerState::default();
    worker_state.runs.insert(b"a".to_vec(), vec![1]);
    assert_eq!(breaches_found(&broker, &worker_state, &[("a", Expected::default())]), "");
    client.ack(1);
    client.ack(7);
    assert!(broker.wait_until(Duration::from_secs(5), |state| state.protocol_violations.len() == 2));
    expect_test::expect![[r#"
        ack of tag 1 that is not open on channel 1
        ack of tag 7 that is not open on channel 1"#]]
    .assert_eq(&breaches_found(&broker, &worker_state, &[("a", Expected::default())]));
}

#[test]
fn extra_and_late_runs_and_lost_messages_are_reported() {
    let broker = broker_with(&["twice", "late", "lost", "vanished"]);
    let mut worker_state = WorkerState::default();
    worker_state.runs.insert(b"twice".to_vec(), vec![1, 2]);
    worker_state.runs.insert(b"late".to_vec(), vec![900]);
    let mut state = broker.state();
    let queue = state.queues.get_mut("orders").expect("declared");
    queue.ready.retain(|message| message.body != b"vanished" && message.body != b"lost");
    state.ends.insert(3, Some(MessageEnd::Acked));
    drop(state);
    let once = Expected { at_most_once: true, start_deadline_ms: None };
    let in_time = Expected { at_most_once: false, start_deadline_ms: Some(800) };
    expect_test::expect![[r#"
        3 messages have no end, 2 are in queues or unsettled
        late began 100 ms after its time
        twice ran 2 times
        acked and never run: lost; 0 may be lost"#]]
    .assert_eq(&breaches_found(
        &broker,
        &worker_state,
        &[("twice", once), ("late", in_time), ("lost", Expected::default())],
    ));
}

#[test]
fn messages_of_a_lost_connection_are_requeued_as_redelivered() {
    let broker = broker_with(&["a", "b"]);
    let mut client = Client::consuming_orders(&broker);
    client.wait_for("Deliver");
    drop(client);
    assert!(
        broker
            .wait_until(Duration::from_secs(5), |state| state.unsettled() == 0 && state.ready("orders") == 2)
    );
    let redelivered: Vec<bool> =
        broker.state().queues["orders"].ready.iter().map(|message| message.redelivered).collect();
    assert_eq!(redelivered, [true, true]);
}
