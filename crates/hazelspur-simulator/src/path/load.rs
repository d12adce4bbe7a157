//! An open loop: each request goes out at its time, whatever became of those before, and its latency counts from
//! that time, so that a stall is met by all that arrive in it. Called by `command` and by tests; decides
//! nothing about servers, and ends by itself within the plan's length and `last_answer_timeout`.

use crate::path::plan::Arrival;
use anyhow::Context;
use hazelspur::Duration;
use hdrhistogram::Histogram;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration as StdDuration, Instant};

/// Requests open on a connection, by the protocol.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Connections of one play, those made anew with them; past these requests are not sent.
const MAX_CONNECTIONS: usize = 4096;
/// Unread bytes of a connection; more is no answer of ours.
const MAX_UNREAD: usize = 1 << 20;
/// Timeout of a connect.
const CONNECT_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// Timeout of a write.
const WRITE_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// How often a reader looks whether it is to end, and the end whether all is answered.
const READ_POLL_PERIOD: StdDuration = StdDuration::from_millis(50);
/// Between two checks whether all answers came.
const ANSWER_POLL_PERIOD: StdDuration = StdDuration::from_millis(2);
/// The last part of a wait is spun, since sleeps end late.
const SPIN_PERIOD: StdDuration = StdDuration::from_micros(150);
/// Longest latency told.
const MAX_LATENCY_US: u64 = 600_000_000;

/// What an answer says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Acked,
    Refused,
    /// The server does not know its request class or its tenant.
    Unknown,
    Failed,
}

/// What a line from the other side means.
pub enum Message {
    Answer(usize, Answer),
    /// Nothing more may be sent on this connection.
    Closing,
    Other,
}

/// How requests are said on a connection; numbers are places in the plan.
pub trait WireProtocol: Send + Sync {
    /// What goes out first on a connection.
    fn greeting(&self) -> Vec<u8>;
    fn encode_request(&self, number: usize, arrival: &Arrival) -> Vec<u8>;
    /// The first whole message and its length; `None` while it is not all there.
    fn decode_message(&self, unread: &[u8]) -> Option<(usize, Message)>;
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// No connection had a place for it.
    Unsent,
    Open(usize),
    /// Its connection ended without its answer.
    Broken,
    /// When it was answered, since the beginning.
    Answered(Answer, Duration),
}

#[derive(Default)]
struct Connection {
    open: usize,
    /// Whether requests may still go out on it.
    accepts_requests: bool,
}

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
    state.lock().expect("no panic before")
}

/// Counts of fates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub planned: usize,
    pub acked: usize,
    pub refused: usize,
    pub unknown: usize,
    pub failed: usize,
    pub broken: usize,
    pub unanswered: usize,
    pub unsent: usize,
}

impl OutcomeCounts {
    /// Adds the counts of another counts.
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

    /// Of the planned requests.
    pub fn share_of_planned(&self, count: usize) -> f64 {
        count as f64 / self.planned.max(1) as f64
    }
}

/// A play that is over.
pub struct LoadResult {
    pub counts: OutcomeCounts,
    /// Microseconds from each request's fixed arrival time to its answer; what was broken, not sent or never answered
    /// counts with the time until the end of the play. Other answers than acks are only in the counts.
    pub latency_us: Histogram<u64>,
    /// How late this tool itself sent, in microseconds: part of the latency.
    pub send_delay_us: Histogram<u64>,
    pub duration: StdDuration,
}

/// An empty histogram of microseconds.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds that fit")
}

struct LoadGenerator<'a> {
    protocol: &'a Arc<dyn WireProtocol>,
    address: SocketAddr,
    started_at: Instant,
    state: Arc<Mutex<RunState>>,
    /// The link of each place, and its stream.
    slots: Vec<Option<(usize, TcpStream)>>,
    readers: Vec<JoinHandle<()>>,
}

impl LoadGenerator<'_> {
    fn connect(&mut self, slot: usize) -> anyhow::Result<()> {
        anyhow::ensure!(self.readers.len() < MAX_CONNECTIONS, "{MAX_CONNECTIONS} connections were made");
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

    /// Sends at the first place from this one on that has room; false where none has.
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
                // What was written may still be answered: the reader settles it.
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

/// Plays a plan on so many connections and waits at most `last_answer_timeout` for the last answers.
///
/// # Errors
/// Where nobody listens at the address at the beginning.
pub fn run_plan(
    protocol: &Arc<dyn WireProtocol>,
    address: SocketAddr,
    plan: &[Arrival],
    connections: usize,
    last_answer_timeout: StdDuration,
) -> anyhow::Result<LoadResult> {
    anyhow::ensure!(address.ip().is_loopback(), "only on loopback");
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
    // The connections stand before the first request is due; their time is not part of anyone's latency.
    generator.started_at = Instant::now() + READ_POLL_PERIOD;
    for slot in 0..generator.slots.len() {
        generator.connect(slot).with_context(|| format!("no connection to {address}"))?;
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
