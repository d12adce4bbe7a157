//! Figures of the built server on loopback: `cargo bench -p hazelspur-server --bench queues [-- PART]`. Bounded in
//! count and time; not part of CI. Ratios are within a run.

#[path = "../tests/helpers/mod.rs"]
#[allow(dead_code)]
mod helpers;

use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::runtime::Pace;
use helpers::{Sent, Shop};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(240);

fn main() {
    let part = std::env::args().skip(1).find(|word| !word.starts_with('-')).unwrap_or_default();
    let wanted = |name: &str| part.is_empty() || part == name;
    if wanted("cost") {
        cost();
    }
    if wanted("million") {
        million();
    }
    if wanted("service") {
        service();
    }
    if wanted("return") {
        comes_back();
    }
}

const FREE: &str = "queue(name = \"orders\", window = \"fixed\", most = 32)\n";

fn request(id: u64, request_class: &str) -> String {
    let now = now_ms();
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{request_class}\",\"params\":{{\"req\":\"{id:016x}\",\"ts\":{now},\"via\":1,\"timeout\":4000,\"need\":24,\"level\":0.5,\"data\":\"aGVsbG8=\"}}}}\n"
    )
}

/// CPU seconds of the server so far, and its resident memory in MB.
fn used(shop: &Shop) -> (f64, f64) {
    let read =
        |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", shop.process())).unwrap_or_default();
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status");
    let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = rss.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0);
    ((ticks(11) + ticks(12)) / 100.0, kb / 1024.0)
}

fn free_shop() -> Shop {
    let shop = Shop::consuming(FREE, Pace { cores: 64, ..Pace::default() }, "orders");
    shop.broker.state().forgetful = true;
    shop.runtime.town().forgetful = true;
    shop
}

fn fill(shop: &Shop, count: usize, request_class: &str) {
    // A name of its own for each: one that was seen would be answered from what is kept.
    static LAST: AtomicU32 = AtomicU32::new(0);
    for _ in 0..count {
        let name = LAST.fetch_add(1, Ordering::Relaxed).to_string();
        shop.broker.publish("orders", Sent::default().properties(request_class, &name), b"hello");
    }
}

/// CPU of a delivery beside that of a JSON-RPC request, turn by turn in one process.
fn cost() {
    let shop = free_shop();
    let (count, mut figures) = (20_000u64, Vec::new());
    for turn in 0..4 {
        for request_class in ["view", "book"] {
            let (before, acks, from) = (used(&shop).0, shop.broker.state().acks, Instant::now());
            fill(&shop, count as usize, request_class);
            assert!(shop.broker.until(LONG, |state| state.acks >= acks + count), "not all were acked");
            let took = from.elapsed().as_secs_f64();
            let cpu = (used(&shop).0 - before) / count as f64 * 1e6;
            figures.push(format!(
                "turn {turn} delivery of {request_class}: {cpu:.1} us CPU, {:.0}/s",
                count as f64 / took
            ));
        }
        let mut gateways: Vec<(TcpStream, BufReader<TcpStream>)> = (0..4)
            .map(|_| {
                let stream = TcpStream::connect(&shop.listen).expect("it listens");
                stream.set_nodelay(true).expect("a mode");
                (stream.try_clone().expect("a handle"), BufReader::new(stream))
            })
            .collect();
        let (before, from, mut sent) = (used(&shop).0, Instant::now(), 0);
        while sent < count {
            for (write, read) in &mut gateways {
                // Sixteen at a time on each of four connections: as many as the window of deliveries.
                let lines: String =
                    (0..16).map(|n| request(turn * count * 2 + sent + n + 1, "view")).collect();
                write.write_all(lines.as_bytes()).expect("it reads");
                sent += 16;
                let _ = read;
            }
            for (_, read) in &mut gateways {
                for _ in 0..16 {
                    let mut line = String::new();
                    read.read_line(&mut line).expect("an answer");
                    // Between two rounds nothing is open, which these settings take for idle.
                    while line.contains("farewell") {
                        line.clear();
                        read.read_line(&mut line).expect("an answer");
                    }
                    assert!(line.contains("result"), "{line}");
                }
            }
        }
        let took = from.elapsed().as_secs_f64();
        let cpu = (used(&shop).0 - before) / sent as f64 * 1e6;
        figures
            .push(format!("turn {turn} JSON-RPC op of view: {cpu:.1} us CPU, {:.0}/s", sent as f64 / took));
    }
    println!("{}", figures.join("\n"));
}

/// Memory over a million deliveries.
fn million() {
    let shop = free_shop();
    let step = 50_000;
    for n in 1..=20u64 {
        fill(&shop, step as usize, "view");
        assert!(shop.broker.until(LONG, |state| state.acks >= n * step), "not all were acked");
        if n == 1 || n % 5 == 0 {
            println!("after {} deliveries: {:.1} MB resident", n * step, used(&shop).1);
        }
    }
}

/// Gateways' service with and without a backlog of 10,000: the share of requests acked within their target, sent at
/// fixed times whatever comes back.
fn service() {
    // Two cores, 20 ms a run: 100 requests a second.
    let pace = Pace { run_ms: 20, cores: 2, ..Pace::default() };
    for rate in [60.0, 95.0, 130.0] {
        for rule in ["none", "fixed", "room", "step"] {
            let window = if rule == "none" { "step" } else { rule };
            let queue = format!("queue(name = \"orders\", window = {window:?}, most = 64)\n");
            let shop = Shop::consuming(&queue, pace, "orders");
            if rule != "none" {
                fill(&shop, 10_000, "view");
            }
            // Until the module has learned, nothing counts.
            sleep(Duration::from_secs(2));
            let acks = shop.broker.state().acks;
            let (good, nacked, sent) = open_loop(&shop.listen, rate, Duration::from_secs(10));
            let taken = shop.broker.state().acks - acks;
            println!(
                "gateways {rate:.0}/s, queue window {rule}: acked in time {:.3}, nacked {:.3}, deliveries acked {:.1}/s",
                f64::from(good) / f64::from(sent),
                f64::from(nacked) / f64::from(sent),
                taken as f64 / 10.0
            );
        }
    }
}

/// Acked within 3 s, nacked, sent.
fn open_loop(listen: &str, rate: f64, span: Duration) -> (u32, u32, u32) {
    let (good, nacked) = (AtomicU32::new(0), AtomicU32::new(0));
    let connections = 8;
    let per = (rate * span.as_secs_f64() / f64::from(connections)) as u32;
    let gap = Duration::from_secs_f64(f64::from(connections) / rate);
    std::thread::scope(|scope| {
        for connection in 0..connections {
            let (good, nacked) = (&good, &nacked);
            scope.spawn(move || {
                let mut stream = TcpStream::connect(listen).expect("it listens");
                stream.set_nodelay(true).expect("a mode");
                stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a limit");
                let mut read = BufReader::new(stream.try_clone().expect("a handle"));
                let begun = Instant::now() + gap.mul_f64(f64::from(connection) / f64::from(connections));
                scope.spawn(move || {
                    let (mut line, mut seen) = (String::new(), 0);
                    while seen < per && read.read_line(&mut line).is_ok_and(|n| n > 0) {
                        let Some(id) = line
                            .split("\"id\":")
                            .nth(1)
                            .and_then(|rest| rest.split(',').next()?.parse::<u64>().ok())
                        else {
                            line.clear();
                            continue;
                        };
                        let due = begun + gap.mul_f64((id % 1_000_000) as f64);
                        if line.contains("\"result\"") && due.elapsed() < Duration::from_secs(3) {
                            good.fetch_add(1, Ordering::Relaxed);
                        } else if line.contains("-32011") {
                            nacked.fetch_add(1, Ordering::Relaxed);
                        }
                        seen += 1;
                        line.clear();
                    }
                });
                for n in 0..per {
                    sleep((begun + gap * n).saturating_duration_since(Instant::now()));
                    let id = (u64::from(connection) + 1) * 1_000_000 + u64::from(n);
                    stream.write_all(request(id, "view").as_bytes()).expect("it reads");
                }
            });
        }
    });
    (good.into_inner(), nacked.into_inner(), per * connections)
}

/// From the broker's return to the first delivery, at the shop's spread of 30 ms and at the default of 8 s.
fn comes_back() {
    for (spread, tries) in [(0.03, 5), (8.0, 3)] {
        let mut took = Vec::new();
        for _ in 0..tries {
            let mut shop = Shop::new(FREE, Pace::default());
            shop.spread_s = spread;
            shop.broker.declare("dead", None);
            shop.broker.declare("orders", None);
            shop.start();
            shop.broker.until(LONG, |state| state.consumed("orders"));
            shop.broker.stop();
            sleep(Duration::from_millis(500));
            shop.broker.restart();
            shop.publish("orders", "view", "first", Sent::default());
            let back = Instant::now();
            shop.broker.until(LONG, |state| state.acks >= 1);
            took.push(back.elapsed().as_millis());
        }
        took.sort_unstable();
        println!("spread_s {spread}: first delivery acked {took:?} ms after the broker's return");
    }
}
