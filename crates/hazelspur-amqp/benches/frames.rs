//! Benchmark of decoding and acknowledging deliveries in a `Connection`, without sockets. Run it with
//! `cargo bench -p hazelspur-amqp`.

use criterion::{Criterion, Throughput, criterion_main};
use hazelspur::{Duration, Timestamp};
use hazelspur_amqp::frame::{self, FrameKind};
use hazelspur_amqp::{
    Connection, ConnectionHandler, ConnectionSettings, IncomingDelivery, Method, Properties, TableWriter,
    wire,
};
use std::hint::black_box;

/// Handler that decodes the properties of each delivery and keeps its tag.
struct LastTag(u64);

impl ConnectionHandler for LastTag {
    fn channel_ready(&mut self, _: u16) {}
    fn delivered(&mut self, delivery: &IncomingDelivery<'_>) {
        let properties = Properties::read(delivery.properties).expect("valid properties");
        black_box((properties.message_id, properties.header("x-sent-ms"), delivery.body));
        self.0 = delivery.tag;
    }
    fn fence_answered(&mut self, _: u16, _: u64) {}
    fn publish_confirmed(&mut self, _: u64, _: bool) {}
    fn publish_returned(&mut self, _: u64) {}
    fn consumer_cancelled(&mut self, _: u16) {}
    fn channel_closed(&mut self, _: u16, _: u16, _: &str) {}
    fn publishers_blocked(&mut self, _: Option<&str>) {}
}

fn now() -> Timestamp {
    Timestamp::from_us(1)
}

/// Returns an open connection that consumes on channel 1.
fn open_connection() -> Connection {
    let settings = ConnectionSettings {
        credentials: None,
        virtual_host: "/".into(),
        connection_name: "bench".into(),
        heartbeat: Duration::ZERO,
        max_frame_bytes: 131_072,
        max_unsettled: 1 << 20,
        max_channel: 1,
    };
    let mut connection = Connection::new(settings, now());
    let receive = |connection: &mut Connection, channel, method, write: &dyn Fn(&mut Vec<u8>)| {
        frame::put_method(connection.input_buffer(), channel, method, write);
        connection.process_input(now(), &mut LastTag(0));
    };
    receive(&mut connection, 0, Method::CONNECTION_START, &|out| {
        out.extend([0, 9, 0, 0, 0, 0]);
        wire::put_long_string(out, b"EXTERNAL");
        wire::put_long_string(out, b"en_US");
    });
    receive(&mut connection, 0, Method::CONNECTION_TUNE, &|out| out.extend([0; 8]));
    receive(&mut connection, 0, Method::CONNECTION_OPEN_OK, &|out| out.push(0));
    connection.consume(1, "q", 100);
    receive(&mut connection, 1, Method::CHANNEL_OPEN_OK, &|out| out.extend([0; 4]));
    receive(&mut connection, 1, Method::BASIC_QOS_OK, &|_| {});
    receive(&mut connection, 1, Method::BASIC_CONSUME_OK, &|out| out.push(0));
    connection
}

/// Returns the encoded frames of `count` deliveries on channel 1: a method, a content header and a body frame
/// each.
fn encoded_deliveries(first_tag: u64, count: u64, body_bytes: usize) -> Vec<u8> {
    let mut out = Vec::new();
    for tag in first_tag..first_tag + count {
        frame::put_method(&mut out, 1, Method::BASIC_DELIVER, |out| {
            wire::put_short_string(out, "hazelspur-1");
            out.extend_from_slice(&tag.to_be_bytes());
            out.extend([0, 0]);
            wire::put_short_string(out, "q");
        });
        frame::put(&mut out, FrameKind::Header, 1, |out| {
            out.extend([0, 60, 0, 0]);
            out.extend_from_slice(&(body_bytes as u64).to_be_bytes());
            let headers = TableWriter::default().integer("x-sent-ms", 5);
            let message_id = Some("order-1234567");
            Properties { headers: Some(headers.finish()), message_id, ..Properties::default() }.put(out);
        });
        frame::put(&mut out, FrameKind::Body, 1, |out| out.resize(out.len() + body_bytes, 7));
    }
    out
}

/// Measures batches of 100 deliveries, which are 300 frames.
fn decode_and_settle(criterion: &mut Criterion) {
    for body_bytes in [100, 2000] {
        let mut group = criterion.benchmark_group(format!("{body_bytes} byte bodies"));
        let (mut connection, mut next_tag) = (open_connection(), 1);
        let input_bytes = encoded_deliveries(1, 100, body_bytes).len() as u64;
        group.throughput(Throughput::Elements(300));
        group.bench_function(format!("frames ({} bytes in 300)", input_bytes), |bencher| {
            bencher.iter_batched(
                || {
                    next_tag += 100;
                    (next_tag - 100, encoded_deliveries(next_tag - 100, 100, body_bytes))
                },
                |(first_tag, bytes)| {
                    connection.input_buffer().extend_from_slice(&bytes);
                    connection.process_input(now(), &mut LastTag(0));
                    for tag in first_tag..first_tag + 100 {
                        assert!(connection.ack(1, tag));
                    }
                    black_box(connection.take_output(now()).len())
                },
                criterion::BatchSize::SmallInput,
            )
        });
    }
}

/// Runs all benchmarks of this file.
fn benches() {
    decode_and_settle(&mut Criterion::default().configure_from_args());
}

criterion_main!(benches);
