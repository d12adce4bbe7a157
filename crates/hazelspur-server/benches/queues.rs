//! Measures the built server on loopback: `cargo bench -p hazelspur-server --bench queues [-- PART]`, where
//! PART is `cost`, `million`, `service` or `return`; without it all parts run. The parts are bounded in count
//! and time and not part of CI. Compare results within one run only.

#[path = "../tests/helpers/mod.rs"]
mod helpers;

use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::worker::WorkerSettings;
use helpers::{MessageOptions, Testbed};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Maximum time for the server to process a batch.
const BATCH_TIMEOUT: Duration = Duration::from_secs(240);
/// Number of deliveries, or of JSON-RPC requests, in one measurement of the processor time.
const COST_REQUESTS: u64 = 20_000;
/// Number of requests that a gateway sends at a time; it waits for their responses before the next burst.
/// With four connections at most 64 requests are open, while the prefetch window allows 32 deliveries.
const BURST_REQUESTS: u64 = 16;
/// Number of connections in the measurement of the processor time.
const COST_CONNECTIONS: usize = 4;
/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// KiB per MiB.
const KB_PER_MB: f64 = 1024.0;
/// Number of connections in an open-loop measurement.
const OPEN_LOOP_CONNECTIONS: u32 = 8;
/// Distance between the first request ids of two connections.
const IDS_PER_CONNECTION: u64 = 1_000_000;
/// Time within which a request of an open-loop measurement has to succeed.
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(3);
/// Duration of an open-loop measurement.
const OPEN_LOOP_DURATION: Duration = Duration::from_secs(10);

fn main() {
    let selected = std::env::args().skip(1).find(|argument| !argument.starts_with('-')).unwrap_or_default();
    let is_selected = |name: &str| selected.is_empty() || selected == name;
    if is_selected("cost") {
        processor_time();
    }
    if is_selected("million") {
        memory_over_a_million_deliveries();
    }
    if is_selected("service") {
        gateway_service_with_backlog();
    }
    if is_selected("return") {
        time_to_reconnect();
    }
}

/// Operator's file with a queue whose prefetch window is wide enough not to limit the measurement.
const WIDE_WINDOW_QUEUE: &str = "queue(name = \"orders\", window = \"fixed\", most = 32)\n";

/// Returns the JSON-RPC line of a request, sent now.
fn request(id: u64, request_class: &str) -> String {
    let now = now_ms();
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{request_class}\",\"params\":{{\"req\":\"{id:016x}\",\"ts\":{now},\"via\":1,\"timeout\":4000,\"need\":24,\"level\":0.5,\"data\":\"aGVsbG8=\"}}}}\n"
    )
}

/// Processor time and memory used by the server since its start.
struct Usage {
    processor_s: f64,
    resident_mb: f64,
}

fn usage(testbed: &Testbed) -> Usage {
    let path = |name: &str| format!("/proc/{}/{name}", testbed.process_id());
    let read = |name: &str| std::fs::read_to_string(path(name)).unwrap_or_default();
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    let (user_ticks, system_ticks) = (ticks(11), ticks(12));
    let status = read("status");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kb = resident.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    Usage {
        processor_s: (user_ticks + system_ticks) / TICKS_PER_S,
        resident_mb: resident_kb.unwrap_or(0.0) / KB_PER_MB,
    }
}

/// Returns a testbed whose test doubles keep no history, so that they do not slow down in a long measurement.
fn cost_testbed() -> Testbed {
    let testbed = Testbed::start_consuming(
        WIDE_WINDOW_QUEUE,
        WorkerSettings { cores: 64, ..WorkerSettings::default() },
        "orders",
    );
    testbed.broker.state().discards_history = true;
    testbed.worker.state().discards_history = true;
    testbed
}

/// Publishes `count` requests of a class to the queue `orders`.
fn publish_messages(testbed: &Testbed, count: usize, request_class: &str) {
    // Each message needs an id of its own: a known id would be answered from the message cache.
    static NEXT_MESSAGE_ID: AtomicU32 = AtomicU32::new(0);
    for _ in 0..count {
        let message_id = NEXT_MESSAGE_ID.fetch_add(1, Ordering::Relaxed).to_string();
        testbed.broker.publish(
            "orders",
            MessageOptions::default().properties(request_class, &message_id),
            b"hello",
        );
    }
}

/// Prints the processor time of a delivery and of a JSON-RPC request, measured alternately on one server
/// process.
fn processor_time() {
    let testbed = cost_testbed();
    let mut figures = Vec::new();
    for turn in 0..4 {
        for request_class in ["view", "book"] {
            figures.push(format!("turn {turn} {}", cost_of_deliveries(&testbed, request_class)));
        }
        figures.push(format!("turn {turn} {}", cost_of_requests(&testbed, turn * COST_REQUESTS * 2)));
    }
    println!("{}", figures.join("\n"));
}

/// Runs `batch`, in which the server processes `count` requests; returns the processor time per request and
/// the rate.
fn measure_cost(testbed: &Testbed, count: u64, batch: impl FnOnce()) -> String {
    let (used_before_s, started_at) = (usage(testbed).processor_s, Instant::now());
    batch();
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let processor_us = (usage(testbed).processor_s - used_before_s) / count as f64 * 1e6;
    format!("{processor_us:.1} us CPU, {:.0}/s", count as f64 / elapsed_s)
}

fn cost_of_deliveries(testbed: &Testbed, request_class: &str) -> String {
    let acks = testbed.broker.state().acks;
    let cost = measure_cost(testbed, COST_REQUESTS, || {
        publish_messages(testbed, COST_REQUESTS as usize, request_class);
        let all_acked = testbed.broker.wait_until(BATCH_TIMEOUT, |state| state.acks >= acks + COST_REQUESTS);
        assert!(all_acked, "not all deliveries were acked");
    });
    format!("delivery of {request_class}: {cost}")
}

/// Connection of a gateway.
struct Gateway {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Gateway {
    fn connect(testbed: &Testbed) -> Self {
        let stream = TcpStream::connect(&testbed.listen).expect("server listens");
        stream.set_nodelay(true).expect("socket mode is set");
        Self { writer: stream.try_clone().expect("socket is cloned"), reader: BufReader::new(stream) }
    }

    fn send_burst(&mut self, first_id: u64) {
        let lines: String = (first_id..first_id + BURST_REQUESTS).map(|id| request(id, "view")).collect();
        self.writer.write_all(lines.as_bytes()).expect("server reads");
    }

    fn read_burst(&mut self) {
        for _ in 0..BURST_REQUESTS {
            let mut line = String::new();
            self.reader.read_line(&mut line).expect("response is received");
            // No request is open between two bursts, so the connection may be idle and get a goodbye message.
            while line.contains("farewell") {
                line.clear();
                self.reader.read_line(&mut line).expect("response is received");
            }
            assert!(line.contains("result"), "{line}");
        }
    }
}

fn cost_of_requests(testbed: &Testbed, id_offset: u64) -> String {
    let mut gateways: Vec<Gateway> = (0..COST_CONNECTIONS).map(|_| Gateway::connect(testbed)).collect();
    let cost = measure_cost(testbed, COST_REQUESTS, || {
        let mut sent = 0;
        while sent < COST_REQUESTS {
            for gateway in &mut gateways {
                gateway.send_burst(id_offset + sent + 1);
                sent += BURST_REQUESTS;
            }
            gateways.iter_mut().for_each(Gateway::read_burst);
        }
    });
    format!("JSON-RPC op of view: {cost}")
}

/// Prints the resident memory after increasing numbers of deliveries, up to a million.
fn memory_over_a_million_deliveries() {
    let testbed = cost_testbed();
    let step = 50_000;
    for n in 1..=20u64 {
        publish_messages(&testbed, step as usize, "view");
        let all_acked = testbed.broker.wait_until(BATCH_TIMEOUT, |state| state.acks >= n * step);
        assert!(all_acked, "not all deliveries were acked");
        if n == 1 || n % 5 == 0 {
            println!("after {} deliveries: {:.1} MB resident", n * step, usage(&testbed).resident_mb);
        }
    }
}

/// Prints the fraction of gateways' requests that succeed within the latency objective, with and without a
/// backlog of 10,000 messages in a queue. The requests are sent at fixed times, independently of the
/// responses.
fn gateway_service_with_backlog() {
    // Two cores and 20 ms per run: the capacity is 100 requests per second.
    let pace = WorkerSettings { run_ms: 20, cores: 2, ..WorkerSettings::default() };
    for rate in [60.0, 95.0, 130.0] {
        for rule in ["none", "fixed", "room", "step"] {
            let window = if rule == "none" { "step" } else { rule };
            let queue = format!("queue(name = \"orders\", window = {window:?}, most = 64)\n");
            let testbed = Testbed::start_consuming(&queue, pace, "orders");
            if rule != "none" {
                publish_messages(&testbed, 10_000, "view");
            }
            // Not measured: the time in which the controller learns the run time.
            sleep(Duration::from_secs(2));
            let acks = testbed.broker.state().acks;
            let counts = open_loop(&testbed.listen, rate, OPEN_LOOP_DURATION);
            let acked = testbed.broker.state().acks - acks;
            println!(
                "gateways {rate:.0}/s, queue window {rule}: acked in time {:.3}, nacked {:.3}, deliveries acked {:.1}/s",
                counts.fraction(counts.in_time),
                counts.fraction(counts.rejected),
                acked as f64 / OPEN_LOOP_DURATION.as_secs_f64()
            );
        }
    }
}

/// Results of an open-loop measurement, in numbers of requests.
struct OpenLoopCounts {
    in_time: u32,
    rejected: u32,
    sent: u32,
}

impl OpenLoopCounts {
    fn fraction(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.sent)
    }
}

/// Counters shared by the readers of all connections.
#[derive(Default)]
struct SharedCounts {
    in_time: AtomicU32,
    rejected: AtomicU32,
}

/// Times at which one connection sends its requests.
#[derive(Clone, Copy)]
struct Schedule {
    starts_at: Instant,
    interval: Duration,
    requests: u32,
}

/// Sends requests to `listen` at `rate` per second, whatever the responses; returns the results.
fn open_loop(listen: &str, rate: f64, duration: Duration) -> OpenLoopCounts {
    let counts = SharedCounts::default();
    let requests = (rate * duration.as_secs_f64() / f64::from(OPEN_LOOP_CONNECTIONS)) as u32;
    let interval = Duration::from_secs_f64(f64::from(OPEN_LOOP_CONNECTIONS) / rate);
    std::thread::scope(|scope| {
        for connection in 0..OPEN_LOOP_CONNECTIONS {
            let counts = &counts;
            scope.spawn(move || {
                let mut stream = TcpStream::connect(listen).expect("server listens");
                stream.set_nodelay(true).expect("socket mode is set");
                stream.set_read_timeout(Some(Duration::from_secs(5))).expect("time limit is set");
                let reader = BufReader::new(stream.try_clone().expect("socket is cloned"));
                let offset = interval.mul_f64(f64::from(connection) / f64::from(OPEN_LOOP_CONNECTIONS));
                let schedule = Schedule { starts_at: Instant::now() + offset, interval, requests };
                scope.spawn(move || count_responses(reader, schedule, counts));
                for n in 0..requests {
                    let at = schedule.starts_at + interval * n;
                    sleep(at.saturating_duration_since(Instant::now()));
                    let id = (u64::from(connection) + 1) * IDS_PER_CONNECTION + u64::from(n);
                    stream.write_all(request(id, "view").as_bytes()).expect("server reads");
                }
            });
        }
    });
    OpenLoopCounts {
        in_time: counts.in_time.into_inner(),
        rejected: counts.rejected.into_inner(),
        sent: requests * OPEN_LOOP_CONNECTIONS,
    }
}

/// Reads the responses to all requests of one connection and counts them.
fn count_responses(mut reader: BufReader<TcpStream>, schedule: Schedule, counts: &SharedCounts) {
    let (mut line, mut responses) = (String::new(), 0);
    while responses < schedule.requests && reader.read_line(&mut line).is_ok_and(|n| n > 0) {
        if let Some(id) = response_id(&line) {
            let sent_at = schedule.starts_at + schedule.interval.mul_f64((id % IDS_PER_CONNECTION) as f64);
            if line.contains("\"result\"") && sent_at.elapsed() < LATENCY_OBJECTIVE {
                counts.in_time.fetch_add(1, Ordering::Relaxed);
            } else if line.contains("-32011") {
                counts.rejected.fetch_add(1, Ordering::Relaxed);
            }
            responses += 1;
        }
        line.clear();
    }
}

fn response_id(line: &str) -> Option<u64> {
    line.split("\"id\":").nth(1)?.split(',').next()?.parse().ok()
}

/// Prints the time from the restart of the broker to the first ack, with a reconnect spread of 30 ms and with
/// the default of 8 s.
fn time_to_reconnect() {
    for (spread_s, attempts) in [(0.03, 5), (8.0, 3)] {
        let mut elapsed_ms = Vec::new();
        for _ in 0..attempts {
            let mut testbed = Testbed::new(WIDE_WINDOW_QUEUE, WorkerSettings::default());
            testbed.reconnect_spread_s = spread_s;
            testbed.broker.declare("dead", None);
            testbed.broker.declare("orders", None);
            testbed.start();
            testbed.broker.wait_until(BATCH_TIMEOUT, |state| state.has_consumer("orders"));
            testbed.broker.stop();
            sleep(Duration::from_millis(500));
            testbed.broker.restart();
            testbed.publish("orders", "view", "first", MessageOptions::default());
            let returned_at = Instant::now();
            testbed.broker.wait_until(BATCH_TIMEOUT, |state| state.acks >= 1);
            elapsed_ms.push(returned_at.elapsed().as_millis());
        }
        elapsed_ms.sort_unstable();
        println!("spread_s {spread_s}: first delivery acked {elapsed_ms:?} ms after the broker's return");
    }
}
