//! The times that the worker records for the starts of its runs.

use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::worker::{Worker, WorkerSettings};
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Waits until a request with this body has run and returns the earliest arrival of its start, in Unix
/// milliseconds.
fn earliest_start_ms(worker: &Worker, body: &[u8]) -> u64 {
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        if let Some(times) = worker.state().runs.get(body) {
            return times[0];
        }
        assert!(Instant::now() < deadline, "request did not run within 5 s");
        sleep(Duration::from_millis(1));
    }
}

fn send_start(link: &mut TcpStream, body: &str) {
    let line = format!("start {body} view {}\r\n{body}\r\n", body.len());
    link.write_all(line.as_bytes()).expect("worker reads");
}

/// Guards against a run that counts as late because the machine suspended the worker's threads: the locked
/// state stands for the suspension.
#[test]
fn start_read_late_counts_from_its_earliest_arrival() {
    let worker = Worker::start("127.0.0.1:0", WorkerSettings::default());
    let mut link = TcpStream::connect(worker.address).expect("worker listens");
    link.write_all(b"sync 0\r\n").expect("worker reads");
    let suspended_worker = worker.state();
    send_start(&mut link, "first");
    let sent_ms = now_ms();
    sleep(Duration::from_millis(100));
    send_start(&mut link, "second");
    sleep(Duration::from_millis(100));
    drop(suspended_worker);
    for body in ["first", "second"] {
        let start_ms = earliest_start_ms(&worker, body.as_bytes());
        assert!(start_ms <= sent_ms + 100, "{body} began {} ms after it was sent", start_ms - sent_ms);
    }
}

/// Guards against an earliest arrival that lies too far back: while nothing is suspended, a start that is
/// late by a few milliseconds must count as late.
#[test]
fn start_read_at_once_counts_from_its_sending() {
    let worker = Worker::start("127.0.0.1:0", WorkerSettings::default());
    let mut link = TcpStream::connect(worker.address).expect("worker listens");
    link.write_all(b"sync 0\r\n").expect("worker reads");
    let any_exact = (0..40).any(|n| {
        sleep(Duration::from_millis(20));
        let sent_ms = now_ms();
        let body = format!("run{n}");
        send_start(&mut link, &body);
        earliest_start_ms(&worker, body.as_bytes()) + 4 >= sent_ms
    });
    assert!(any_exact, "each of 40 starts counted from more than 4 ms before its sending");
}
