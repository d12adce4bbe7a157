//! Clients that send at full speed, slowly or by hundreds: other clients are answered in time, and the memory
//! of the process stays within its limit.

mod helpers;

use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::worker::WorkerSettings;
use helpers::Testbed;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time for which the client of a request waits for its answer, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 4000;
/// Same as `REQUEST_TIMEOUT_MS`.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(REQUEST_TIMEOUT_MS);
/// Number of the first request of a flood; the usual client's numbers are lower.
const FIRST_FLOOD_NUMBER: u64 = 1_000_000;
/// Number of requests in one part of a flood.
const REQUESTS_PER_PART: u64 = 200;
/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// Number of clients that hold unfinished requests, all that 512 descriptors leave room for.
const HUNDREDS: usize = 360;
/// Time within which a server must serve.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time by which an answer may be later than its deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// Length of each flood.
const FLOOD_TIME: Duration = Duration::from_secs(1);
/// Limit of the private memory, in kB: half of what the smallest process may take.
const MEMORY_LIMIT_KB: u64 = 16 * 1024;
/// Pause between two requests of the usual client.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Returns the line of a request, sent now, with its number as JSON-RPC id and request id.
fn request(number: u64, class: &str, extra_params: &str) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{number},"method":"{class}","params":{{"req":"{number:016x}","ts":{},"via":1,"timeout":{REQUEST_TIMEOUT_MS},"need":20.5,"level":0.5,"data":"aGVsbG8="{extra_params}}}}}"#,
        now_ms()
    ) + "\n"
}

/// Returns the private memory of a process, in kB: that of its data without its program, whose size depends on
/// the build.
fn private_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("line is present");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Asserts that the private memory of the server is within its limit.
fn assert_memory(testbed: &Testbed, name: &str) {
    let memory_kb = private_memory_kb(testbed.process_id());
    assert!(memory_kb < MEMORY_LIMIT_KB, "{name}: {memory_kb} kB");
}

/// Answer to a request of the usual client.
#[derive(Debug)]
struct Answer {
    is_success: bool,
    /// Time from the request to the answer.
    time: Duration,
}

/// A client that sends one request after another and waits for each answer.
struct UsualClient {
    stream: BufReader<TcpStream>,
    last_number: u64,
}

impl UsualClient {
    /// Connects a client and waits until it is served.
    fn connect_served(testbed: &Testbed) -> Self {
        let stream = TcpStream::connect(&testbed.listen).expect("server listens");
        stream.set_read_timeout(Some(START_TIMEOUT)).expect("timeout is set");
        let mut client = Self { stream: BufReader::new(stream), last_number: 0 };
        let deadline = Instant::now() + START_TIMEOUT;
        while !client.send().is_success {
            assert!(Instant::now() < deadline, "not served in time");
        }
        client
    }

    fn send(&mut self) -> Answer {
        self.last_number += 1;
        let sent_at = Instant::now();
        let line = request(self.last_number, "view", "");
        let mut answer = String::new();
        // A connection that fails counts as no answer.
        let _ = self.stream.get_mut().write_all(line.as_bytes());
        let _ = self.stream.read_line(&mut answer);
        Answer { is_success: answer.contains("\"result\""), time: sent_at.elapsed() }
    }

    /// Sends requests until `until`. Returns the slowest answer, or the first that is no success.
    fn send_until(&mut self, until: Instant) -> Answer {
        let mut slowest = self.send();
        while slowest.is_success && Instant::now() < until {
            std::thread::sleep(REQUEST_PAUSE);
            let answer = self.send();
            if !answer.is_success || answer.time > slowest.time {
                slowest = answer;
            }
        }
        slowest
    }
}

/// Starts a server with the limits of the smallest process.
fn start() -> Testbed {
    let mut testbed = Testbed::new("", WorkerSettings { run_ms: 2, ..WorkerSettings::default() });
    testbed.limits = "{\"sockets\":512,\"memory_mb\":32}".into();
    testbed.start();
    let deadline = Instant::now() + START_TIMEOUT;
    while TcpStream::connect(&testbed.listen).is_err() {
        assert!(Instant::now() < deadline, "server does not listen in time");
        std::thread::sleep(Duration::from_millis(5));
    }
    testbed
}

/// Input of one kind; the number is new for each part.
struct Flood {
    name: &'static str,
    part: fn(u64) -> String,
}

/// Returns a part of requests that each have a number of their own.
fn requests(first: u64, line: fn(u64) -> String) -> String {
    (first..first + REQUESTS_PER_PART).map(line).collect()
}

/// Kinds of input that one client sends at full speed.
const FLOODS: [Flood; 8] = [
    Flood {
        name: "health checks",
        part: |_| "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n".repeat(1000),
    },
    Flood {
        name: "interrupts",
        part: |_| "{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":1}}\n".repeat(1000),
    },
    Flood { name: "empty lines", part: |_| "\n".repeat(64 * 1024) },
    Flood { name: "idempotent requests", part: |first| requests(first, |n| request(n, "view", "")) },
    Flood { name: "non-idempotent requests", part: |first| requests(first, |n| request(n, "book", "")) },
    Flood {
        name: "requests with new keys",
        part: |first| requests(first, |n| request(n, "set-qty", &format!(",\"opkey\":\"{n}\""))),
    },
    Flood {
        name: "requests of new clients and users",
        part: |first| {
            requests(first, |n| {
                let line = request(n, "view", &format!(",\"subject\":\"{n}\""));
                line.replace("\"via\":1", &format!("\"via\":{n}"))
            })
        },
    },
    Flood {
        name: "requests, every other of an unknown class",
        part: |first| requests(first, |n| request(n, if n % 2 == 0 { "view" } else { "nothing" }, "")),
    },
];

/// Connects to the server and reads and discards whatever it sends.
fn connect_reading(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("server listens");
    stream.set_write_timeout(Some(Duration::from_millis(100))).expect("timeout is set");
    let mut reader = stream.try_clone().expect("stream is cloned");
    std::thread::spawn(move || while matches!(reader.read(&mut [0; 64 * 1024]), Ok(1..)) {});
    stream
}

/// Sends input at full speed until `stop`, on a new connection whenever the server closes one.
fn send_flood(address: &str, stop: &AtomicBool, flood: &Flood) {
    let (mut stream, mut next_number) = (connect_reading(address), FIRST_FLOOD_NUMBER);
    let (mut part, mut written) = (Vec::new(), 0);
    while !stop.load(Ordering::Relaxed) {
        if written == part.len() {
            part = (flood.part)(next_number).into_bytes();
            next_number += REQUESTS_PER_PART;
            written = 0;
        }
        match stream.write(&part[written..]) {
            Ok(count) => written += count,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => {
                stream = connect_reading(address);
                written = part.len();
            }
        }
    }
}

/// Guards against answers that come late or never, and against memory that grows, while one client sends
/// small or unsound input at full speed, also under ever new names. The worker knows no request of this
/// client, so that its connections are blocked after a few errors.
#[test]
fn others_are_answered_in_time_while_an_unknown_client_sends_at_full_speed() {
    for flood in &FLOODS {
        let testbed = start();
        let mut client = UsualClient::connect_served(&testbed);
        let stop = AtomicBool::new(false);
        let slowest = std::thread::scope(|scope| {
            scope.spawn(|| send_flood(&testbed.listen, &stop, flood));
            let slowest = client.send_until(Instant::now() + FLOOD_TIME);
            stop.store(true, Ordering::Relaxed);
            slowest
        });
        let is_in_time = slowest.is_success && slowest.time <= REQUEST_TIMEOUT + ANSWER_SLACK;
        assert!(is_in_time, "{}: {slowest:?}", flood.name);
        assert_memory(&testbed, flood.name);
    }
}

/// Guards against memory past the limit while hundreds of clients each hold a large part of a request open:
/// slowly written, stopped half way, or of very many short fields.
#[test]
fn hundreds_of_unfinished_requests_stay_within_the_memory_limit() {
    let testbed = start();
    let mut client = UsualClient::connect_served(&testbed);
    let fields = "\"a\":1,".repeat(2800);
    let unfinished = format!("{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"view\",\"params\":{{{fields}");
    let unfinished = &unfinished.as_bytes()[..MAX_LINE_BYTES - 1];
    let mut clients: Vec<TcpStream> = (0..HUNDREDS).map(|_| connect_reading(&testbed.listen)).collect();
    // All but a sixteenth at once, the rest in small pieces.
    let (first, rest) = unfinished.split_at(unfinished.len() / 16 * 15);
    clients.iter_mut().for_each(|stream| _ = stream.write(first));
    for piece in rest.chunks(128) {
        clients.iter_mut().for_each(|stream| _ = stream.write(piece));
    }
    let slowest = client.send_until(Instant::now() + FLOOD_TIME);
    let is_in_time = slowest.is_success && slowest.time <= REQUEST_TIMEOUT + ANSWER_SLACK;
    assert!(is_in_time, "{slowest:?}");
    assert_memory(&testbed, "unfinished requests");
    // Complete lines of very many fields.
    clients.iter_mut().for_each(|stream| _ = stream.write(b"\n"));
    let slowest = client.send_until(Instant::now() + FLOOD_TIME);
    assert!(slowest.is_success && slowest.time <= REQUEST_TIMEOUT + ANSWER_SLACK, "{slowest:?}");
    assert_memory(&testbed, "requests of very many fields");
}
