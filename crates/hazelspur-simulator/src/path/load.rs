//! An open-loop load generator: each request is sent at its planned time, whatever became of those before,
//! and its latency counts from that time, so that a stall counts for all requests that arrive during it.
//! Input is a plan of arrivals, output are latencies and outcomes. A run ends after the plan's length and the
//! timeout for last answers.

use crate::path::plan::Arrival;
use anyhow::Context;
use hazelspur::Duration;
use hdrhistogram::Histogram;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration as StdDuration, Instant};

/// Greatest number of open requests on a connection that the protocol allows.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Greatest number of connections that one run opens, reconnects included; requests that need more are not
/// sent.
const MAX_CONNECTIONS: usize = 4096;
/// Greatest number of bytes buffered without a complete message; beyond it the peer breaks the protocol and
/// the connection is given up.
const MAX_UNREAD: usize = 1 << 20;
const CONNECT_TIMEOUT: StdDuration = StdDuration::from_millis(500);
const WRITE_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// Interval at which a reader checks whether the run is over; also the lead time of the first request.
const READ_POLL_PERIOD: StdDuration = StdDuration::from_millis(50);
/// Interval between two checks whether all answers have come.
const ANSWER_POLL_PERIOD: StdDuration = StdDuration::from_millis(2);
/// Last part of a wait, which is a busy loop because sleeps end late.
const SPIN_PERIOD: StdDuration = StdDuration::from_micros(150);
/// Greatest latency that a histogram holds; longer ones are recorded as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Kind of an answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request was run.
    Acked,
    /// The server rejected the request.
    Refused,
    /// The server does not know the request class or the tenant.
    Unknown,
    /// Any other error, or from a server an answer with a body that differs from the request's.
    Failed,
}

/// A message from the peer.
pub enum Message {
    /// Answer to the request with this index in the plan.
    Answer(usize, Answer),
    /// Nothing more may be sent on this connection.
    Closing,
    /// Any other message, which is ignored.
    Other,
}

/// Encoding of requests and decoding of answers on a connection; `number` is the index of a request in the
/// plan.
pub trait WireProtocol: Send + Sync {
    /// Returns the bytes that open a connection.
    fn greeting(&self) -> Vec<u8>;
    /// Returns the bytes of a request.
    fn encode_request(&self, number: usize, arrival: &Arrival) -> Vec<u8>;
    /// Decodes the first message and returns its length in bytes; `None` while it is incomplete.
    fn decode_message(&self, unread: &[u8]) -> Option<(usize, Message)>;
}

/// Outcome of a request, as known so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// Not sent yet, or no connection had room for it.
    Unsent,
    /// Sent on the connection with this index, and not answered yet.
    Open(usize),
    /// Unanswered when its connection ended.
    Broken,
    /// Answered, at this time since the start of the run.
    Answered(Answer, Duration),
}

#[derive(Default)]
struct Connection {
    /// Number of open requests.
    open: usize,
    /// Whether requests may still be sent on it.
    accepts_requests: bool,
}

/// State shared by the sender and the readers.
struct RunState {
    outcomes: Vec<Outcome>,
    connections: Vec<Connection>,
    finished: bool,
}

impl RunState {
    fn record_answer(&mut self, connection: usize, number: usize, answer: Answer, at: Duration) {
        if let Some(outcome) = self.outcomes.get_mut(number)
            && *outcome == Outcome::Open(connection)
        {
            *outcome = Outcome::Answered(answer, at);
            self.connections[connection].open -= 1;
        }
    }

    fn record_end(&mut self, connection: usize) {
        self.connections[connection] = Connection::default();
        let unanswered = self.outcomes.iter_mut().filter(|outcome| **outcome == Outcome::Open(connection));
        unanswered.for_each(|outcome| *outcome = Outcome::Broken);
    }
}

fn lock(state: &Mutex<RunState>) -> MutexGuard<'_, RunState> {
    state.lock().expect("no thread panics while it holds the lock")
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests of the plan, the sum of all other counts.
    pub planned: usize,
    /// Requests that were run.
    pub acked: usize,
    /// Requests that the server rejected.
    pub refused: usize,
    /// Requests whose class or tenant the server does not know.
    pub unknown: usize,
    /// Requests answered with another error or with a different body.
    pub failed: usize,
    /// Requests unanswered when their connection ended.
    pub broken: usize,
    /// Requests still open at the end of the run.
    pub unanswered: usize,
    /// Requests for which no connection had room.
    pub unsent: usize,
}

impl OutcomeCounts {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.planned += other.planned;
        self.acked += other.acked;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.broken += other.broken;
        self.unanswered += other.unanswered;
        self.unsent += other.unsent;
    }

    /// Returns `count` as a share of the planned requests.
    pub fn share_of_planned(&self, count: usize) -> f64 {
        count as f64 / self.planned.max(1) as f64
    }
}

/// Result of a finished run.
pub struct LoadResult {
    /// Number of requests by outcome.
    pub counts: OutcomeCounts,
    /// Microseconds from each request's planned arrival to its ack. A request that was broken, unsent or
    /// unanswered counts with the time until the end of the run. Answers other than acks are only in
    /// `counts`.
    pub latency_us: Histogram<u64>,
    /// Microseconds by which the load generator sent each request late, which are part of its latency.
    pub send_delay_us: Histogram<u64>,
    /// Time from the start of the plan until the last answer or the timeout.
    pub duration: StdDuration,
}

/// Returns an empty histogram of microseconds.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds of the histogram are valid")
}

/// Sender of one run, with its connections.
struct LoadGenerator<'a> {
    protocol: &'a Arc<dyn WireProtocol>,
    address: SocketAddr,
    started_at: Instant,
    state: Arc<Mutex<RunState>>,
    /// Index of the current connection in each slot, and its stream.
    slots: Vec<Option<(usize, TcpStream)>>,
    readers: Vec<JoinHandle<()>>,
}

impl LoadGenerator<'_> {
    fn connect(&mut self, slot: usize) -> anyhow::Result<()> {
        anyhow::ensure!(
            self.readers.len() < MAX_CONNECTIONS,
            "limit of {MAX_CONNECTIONS} connections reached"
        );
        let mut stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_read_timeout(Some(READ_POLL_PERIOD))?;
        stream.write_all(&self.protocol.greeting())?;
        let reader_stream = stream.try_clone()?;
        let connection = {
            let mut state = lock(&self.state);
            state.connections.push(Connection { open: 0, accepts_requests: true });
            state.connections.len() - 1
        };
        self.slots[slot] = Some((connection, stream));
        let (state, protocol, started_at) = (self.state.clone(), self.protocol.clone(), self.started_at);
        self.readers
            .push(spawn(move || read_answers(&state, &*protocol, connection, reader_stream, started_at)));
        Ok(())
    }

    /// Sends a request on the first slot with room, starting at `first_slot`; returns false if no slot has
    /// room.
    fn send(&mut self, first_slot: usize, number: usize, arrival: &Arrival) -> bool {
        let bytes = self.protocol.encode_request(number, arrival);
        let count = self.slots.len();
        for slot in (0..count).map(|i| (first_slot + i) % count) {
            let accepts_requests =
                |state: &RunState, connection: usize| state.connections[connection].accepts_requests;
            let usable = self.slots[slot]
                .as_ref()
                .is_some_and(|(connection, _)| accepts_requests(&lock(&self.state), *connection));
            if !usable && self.connect(slot).is_err() {
                continue;
            }
            let Some((connection, stream)) = &mut self.slots[slot] else { continue };
            {
                let mut state = lock(&self.state);
                if state.connections[*connection].open >= MAX_OPEN_REQUESTS {
                    continue;
                }
                state.connections[*connection].open += 1;
                state.outcomes[number] = Outcome::Open(*connection);
            }
            if stream.write_all(&bytes).is_err() {
                // The peer may still answer what was written, so the reader decides the outcome.
                lock(&self.state).connections[*connection].accepts_requests = false;
                let _ = stream.shutdown(Shutdown::Write);
            }
            return true;
        }
        false
    }
}

fn read_answers(
    state: &Mutex<RunState>,
    protocol: &dyn WireProtocol,
    connection: usize,
    mut stream: TcpStream,
    started_at: Instant,
) {
    let (mut unread, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    loop {
        match stream.read(&mut chunk) {
            Ok(count @ 1..) => {
                let at = Duration::from_us(started_at.elapsed().as_micros() as u64);
                unread.extend_from_slice(&chunk[..count]);
                while let Some((length, message)) = protocol.decode_message(&unread) {
                    unread.drain(..length);
                    match message {
                        Message::Answer(number, answer) => {
                            lock(state).record_answer(connection, number, answer, at)
                        }
                        Message::Closing => lock(state).connections[connection].accepts_requests = false,
                        Message::Other => {}
                    }
                }
                if unread.len() > MAX_UNREAD {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if lock(state).finished {
                    break;
                }
            }
            Ok(0) | Err(_) => break,
        }
    }
    let mut state = lock(state);
    if !state.finished {
        state.record_end(connection);
    }
}

fn wait_until(due: Instant) {
    while let remaining = due.saturating_duration_since(Instant::now())
        && !remaining.is_zero()
    {
        if remaining > SPIN_PERIOD { sleep(remaining - SPIN_PERIOD) } else { std::hint::spin_loop() }
    }
}

/// Sends the requests of a plan over this many connections and waits at most `last_answer_timeout` for the
/// last answers.
///
/// # Errors
/// Returns an error if the address is not on loopback or does not accept the first connections.
pub fn run_plan(
    protocol: &Arc<dyn WireProtocol>,
    address: SocketAddr,
    plan: &[Arrival],
    connections: usize,
    last_answer_timeout: StdDuration,
) -> anyhow::Result<LoadResult> {
    anyhow::ensure!(address.ip().is_loopback(), "address {address} is not on loopback");
    let state =
        RunState { outcomes: vec![Outcome::Unsent; plan.len()], connections: Vec::new(), finished: false };
    let mut generator = LoadGenerator {
        protocol,
        address,
        started_at: Instant::now(),
        state: Arc::new(Mutex::new(state)),
        slots: (0..connections.max(1)).map(|_| None).collect(),
        readers: Vec::new(),
    };
    // Connections are opened before the first request is due, so that latencies do not include the connects.
    generator.started_at = Instant::now() + READ_POLL_PERIOD;
    for slot in 0..generator.slots.len() {
        generator.connect(slot).with_context(|| format!("cannot connect to {address}"))?;
    }
    let mut send_delay_us = latency_histogram();
    wait_until(generator.started_at);
    for (number, arrival) in plan.iter().enumerate() {
        let due = generator.started_at + StdDuration::from_micros(arrival.at.us());
        wait_until(due);
        send_delay_us.saturating_record(due.elapsed().as_micros() as u64);
        generator.send(number, number, arrival);
    }
    let give_up_at = Instant::now() + last_answer_timeout;
    let open = |state: &RunState| state.outcomes.iter().any(|outcome| matches!(outcome, Outcome::Open(_)));
    while Instant::now() < give_up_at && open(&lock(&generator.state)) {
        sleep(ANSWER_POLL_PERIOD);
    }
    let duration = generator.started_at.elapsed();
    let outcomes = {
        let mut state = lock(&generator.state);
        state.finished = true;
        std::mem::take(&mut state.outcomes)
    };
    generator.slots.iter().flatten().for_each(|(_, stream)| drop(stream.shutdown(Shutdown::Both)));
    generator.readers.into_iter().for_each(|reader| drop(reader.join()));
    Ok(LoadResult {
        counts: count_outcomes(&outcomes),
        latency_us: latencies(&outcomes, plan, duration),
        send_delay_us,
        duration,
    })
}

fn count_outcomes(outcomes: &[Outcome]) -> OutcomeCounts {
    let mut counts = OutcomeCounts { planned: outcomes.len(), ..OutcomeCounts::default() };
    for outcome in outcomes {
        *match outcome {
            Outcome::Unsent => &mut counts.unsent,
            Outcome::Open(_) => &mut counts.unanswered,
            Outcome::Broken => &mut counts.broken,
            Outcome::Answered(Answer::Acked, _) => &mut counts.acked,
            Outcome::Answered(Answer::Refused, _) => &mut counts.refused,
            Outcome::Answered(Answer::Unknown, _) => &mut counts.unknown,
            Outcome::Answered(Answer::Failed, _) => &mut counts.failed,
        } += 1;
    }
    counts
}

fn latencies(outcomes: &[Outcome], plan: &[Arrival], duration: StdDuration) -> Histogram<u64> {
    let mut histogram = latency_histogram();
    for (outcome, arrival) in outcomes.iter().zip(plan) {
        let end_us = match outcome {
            Outcome::Answered(Answer::Acked, at) => at.us(),
            Outcome::Answered(..) => continue,
            Outcome::Unsent | Outcome::Open(_) | Outcome::Broken => duration.as_micros() as u64,
        };
        histogram.saturating_record(end_us.saturating_sub(arrival.at.us()));
    }
    histogram
}
