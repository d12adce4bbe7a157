//! The checker finds what is planted, and the broker sees what a client may not do.

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

/// A client as plain as can be: sends a frame, waits until some frame satisfies.
struct Client {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Client {
    /// Consumes `orders` on channel 1.
    fn consuming(broker: &Broker) -> Self {
        let stream = TcpStream::connect(broker.address).expect("it listens");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a limit");
        let mut client = Self { stream, unread: Vec::new() };
        client.send(AMQPFrame::ProtocolHeader(amq_protocol::frame::ProtocolVersion::amqp_0_9_1()));
        client.wait("Start");
        let ok = connection::StartOk { mechanism: "PLAIN".into(), ..connection::StartOk::default() };
        client.method(0, AMQPClass::Connection(connection::AMQPMethod::StartOk(ok)));
        client.wait("Tune");
        let ok = connection::TuneOk { frame_max: 8192, ..connection::TuneOk::default() };
        client.method(0, AMQPClass::Connection(connection::AMQPMethod::TuneOk(ok)));
        let open = connection::Open { virtual_host: "/".into() };
        client.method(0, AMQPClass::Connection(connection::AMQPMethod::Open(open)));
        client.wait("OpenOk");
        client.method(1, AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {})));
        client.wait("OpenOk");
        let consume =
            basic::Consume { queue: "orders".into(), consumer_tag: "c".into(), ..basic::Consume::default() };
        client.method(1, AMQPClass::Basic(Basic::Consume(consume)));
        client.wait("ConsumeOk");
        client
    }

    fn send(&mut self, frame: AMQPFrame) {
        let bytes = gen_frame(&frame)(Vec::new().into()).expect("a frame").into_inner().0;
        self.stream.write_all(&bytes).expect("it reads");
    }

    fn method(&mut self, channel: u16, class: AMQPClass) {
        self.send(AMQPFrame::Method(channel, class));
    }

    fn ack(&mut self, delivery_tag: u64) {
        self.method(1, AMQPClass::Basic(Basic::Ack(basic::Ack { delivery_tag, multiple: false })));
    }

    fn wait(&mut self, name: &str) {
        loop {
            while let Ok((rest, frame)) = parse_frame(&self.unread[..]) {
                let used = self.unread.len() - rest.len();
                self.unread.drain(..used);
                if format!("{frame:?}").contains(&format!("{name}(")) {
                    return;
                }
            }
            let mut part = [0; 4096];
            let count = self.stream.read(&mut part).expect("a frame in time");
            assert!(count > 0, "closed before {name}");
            self.unread.extend_from_slice(&part[..count]);
        }
    }
}

fn published(names: &[&str]) -> Broker {
    let broker = Broker::start();
    broker.declare("orders", None);
    names.iter().for_each(|name| {
        drop(broker.publish("orders", AMQPProperties::default(), name.as_bytes()).to_string())
    });
    broker
}

fn found(broker: &Broker, worker_state: &WorkerState, names: &[(&str, Expected)]) -> String {
    let expected: BTreeMap<Vec<u8>, Expected> =
        names.iter().map(|(name, terms)| (name.as_bytes().to_vec(), terms.clone())).collect();
    breaches(&broker.state(), worker_state, &expected, 0).join("\n")
}

#[test]
fn a_tag_settled_twice_or_on_another_channel_is_found() {
    let broker = published(&["a"]);
    let mut client = Client::consuming(&broker);
    client.wait("Deliver");
    client.ack(1);
    assert!(broker.wait_until(Duration::from_secs(5), |state| state.acks == 1));
    let mut worker_state = WorkerState::default();
    worker_state.runs.insert(b"a".to_vec(), vec![1]);
    assert_eq!(found(&broker, &worker_state, &[("a", Expected::default())]), "");
    client.ack(1);
    client.ack(7);
    assert!(broker.wait_until(Duration::from_secs(5), |state| state.protocol_violations.len() == 2));
    expect_test::expect![[r#"
        ack of tag 1 that is not open on channel 1
        ack of tag 7 that is not open on channel 1"#]]
    .assert_eq(&found(&broker, &worker_state, &[("a", Expected::default())]));
}

#[test]
fn runs_too_many_and_too_late_and_messages_lost_are_found() {
    let broker = published(&["twice", "late", "lost", "vanished"]);
    let mut worker_state = WorkerState::default();
    worker_state.runs.insert(b"twice".to_vec(), vec![1, 2]);
    worker_state.runs.insert(b"late".to_vec(), vec![900]);
    let mut state = broker.state();
    let queue = state.queues.get_mut("orders").expect("declared");
    queue.ready.retain(|message| message.body != b"vanished" && message.body != b"lost");
    state.ends.insert(3, Some(MessageEnd::Acked));
    drop(state);
    let once = Expected { at_most_once: true, start_deadline_ms: None };
    let early = Expected { at_most_once: false, start_deadline_ms: Some(800) };
    expect_test::expect![[r#"
        3 messages have no end, 2 are in queues or unsettled
        late began 100 ms after its time
        twice ran 2 times
        acked and never run: lost; 0 may be lost"#]]
    .assert_eq(&found(
        &broker,
        &worker_state,
        &[("twice", once), ("late", early), ("lost", Expected::default())],
    ));
}

#[test]
fn what_is_lost_with_a_connection_comes_again_and_is_marked() {
    let broker = published(&["a", "b"]);
    let mut client = Client::consuming(&broker);
    client.wait("Deliver");
    drop(client);
    assert!(
        broker
            .wait_until(Duration::from_secs(5), |state| state.unsettled() == 0 && state.ready("orders") == 2)
    );
    let again: Vec<bool> =
        broker.state().queues["orders"].ready.iter().map(|message| message.redelivered).collect();
    assert_eq!(again, [true, true]);
}
