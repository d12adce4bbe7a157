//! How fast deliveries are read and settled by a session, without sockets: `cargo bench -p hazelspur-amqp`.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use hazelspur::{Duration, Timestamp};
use hazelspur_amqp::{Listener, Properties, Session, TableWriter, Terms, frames, wire};
use std::hint::black_box;

struct Count(u64);

impl Listener for Count {
    fn ready(&mut self, _: u16) {}
    fn delivered(&mut self, _: u16, tag: u64, _: bool, _: &str, properties: &[u8], body: Option<&[u8]>) {
        let properties = Properties::read(properties).expect("good properties");
        black_box((properties.message_id, properties.header("x-sent-ms"), body));
        self.0 = tag;
    }
    fn fenced(&mut self, _: u16, _: u64) {}
    fn confirmed(&mut self, _: u64, _: bool) {}
    fn returned(&mut self, _: u64) {}
    fn cancelled(&mut self, _: u16) {}
    fn channel_closed(&mut self, _: u16, _: u16, _: &str) {}
    fn blocked(&mut self, _: Option<&str>) {}
}

fn now() -> Timestamp {
    Timestamp::from_us(1)
}

/// A session that consumes on channel 1.
fn session() -> Session {
    let terms = Terms {
        login: None,
        vhost: "/".into(),
        name: "bench".into(),
        heartbeat: Duration::ZERO,
        longest_frame: 131_072,
        most_unsettled: 1 << 20,
        channels: 1,
    };
    let mut session = Session::new(terms, now());
    let say = |session: &mut Session, channel, class, method, write: &dyn Fn(&mut Vec<u8>)| {
        frames::put_method(session.room(), channel, class, method, write);
        session.take(now(), &mut Count(0));
    };
    say(&mut session, 0, 10, 10, &|out| {
        out.extend([0, 9, 0, 0, 0, 0]);
        wire::put_long_bytes(out, b"EXTERNAL");
        wire::put_long_bytes(out, b"en_US");
    });
    say(&mut session, 0, 10, 30, &|out| out.extend([0; 8]));
    say(&mut session, 0, 10, 41, &|out| out.push(0));
    session.consume(1, "q", 100);
    say(&mut session, 1, 20, 11, &|out| out.extend([0; 4]));
    say(&mut session, 1, 60, 11, &|_| {});
    say(&mut session, 1, 60, 21, &|out| out.push(0));
    session
}

fn deliveries(from: u64, count: u64, size: usize) -> Vec<u8> {
    let mut out = Vec::new();
    for tag in from..from + count {
        frames::put_method(&mut out, 1, 60, 60, |out| {
            wire::put_short_text(out, "hazelspur-1");
            out.extend_from_slice(&tag.to_be_bytes());
            out.extend([0, 0]);
            wire::put_short_text(out, "q");
        });
        frames::put(&mut out, frames::HEADER, 1, |out| {
            out.extend([0, 60, 0, 0]);
            out.extend_from_slice(&(size as u64).to_be_bytes());
            let headers = TableWriter::default().whole("x-sent-ms", 5);
            let id = Some("order-1234567");
            Properties { headers: Some(headers.done()), message_id: id, ..Properties::default() }.put(out);
        });
        frames::put(&mut out, frames::BODY, 1, |out| out.resize(out.len() + size, 7));
    }
    out
}

fn read_and_settle(c: &mut Criterion) {
    for size in [100, 2000] {
        let mut group = c.benchmark_group(format!("{size} byte bodies"));
        let (mut session, mut tag) = (session(), 1);
        let length = deliveries(1, 100, size).len() as u64;
        group.throughput(Throughput::Elements(300));
        group.bench_function(format!("frames ({} bytes in 300)", length), |b| {
            b.iter_batched(
                || {
                    tag += 100;
                    (tag - 100, deliveries(tag - 100, 100, size))
                },
                |(from, bytes)| {
                    session.room().extend_from_slice(&bytes);
                    session.take(now(), &mut Count(0));
                    for tag in from..from + 100 {
                        assert!(session.ack(1, tag));
                    }
                    black_box(session.out(now()).len())
                },
                criterion::BatchSize::SmallInput,
            )
        });
    }
}

criterion_group!(benches, read_and_settle);
criterion_main!(benches);
