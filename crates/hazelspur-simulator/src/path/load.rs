//! An open loop: each request goes out at its time, whatever became of those before, and its latency counts from
//! that time, so that a stall is met by all that arrive in it. Called by `command` and by tests; decides
//! nothing about servers, and ends by itself within the plan's length and `patience`.

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
const MAX_LINKS: usize = 4096;
/// Unread bytes of a connection; more is no answer of ours.
const MAX_UNREAD: usize = 1 << 20;
/// Timeout of a connect.
const CONNECT_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// Timeout of a write.
const WRITE_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// How often a reader looks whether it is to end, and the end whether all is answered.
const LOOK: StdDuration = StdDuration::from_millis(50);
/// Between two checks whether all answers came.
const END_LOOK: StdDuration = StdDuration::from_millis(2);
/// The last part of a wait is spun, since sleeps end late.
const SPUN: StdDuration = StdDuration::from_micros(150);
/// Longest latency told.
const LONGEST_US: u64 = 600_000_000;

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
enum Fate {
    /// No connection had a place for it.
    Unsent,
    Open(usize),
    /// Its connection ended without its answer.
    Broken,
    /// When it was answered, since the beginning.
    Answered(Answer, Duration),
}

#[derive(Default)]
struct Link {
    open: usize,
    /// Whether requests may still go out on it.
    takes: bool,
}

struct Record {
    fates: Vec<Fate>,
    links: Vec<Link>,
    over: bool,
}

impl Record {
    fn answered(&mut self, link: usize, number: usize, answer: Answer, at: Duration) {
        if let Some(fate) = self.fates.get_mut(number)
            && *fate == Fate::Open(link)
        {
            *fate = Fate::Answered(answer, at);
            self.links[link].open -= 1;
        }
    }

    fn ended(&mut self, link: usize) {
        self.links[link] = Link::default();
        let lost = self.fates.iter_mut().filter(|fate| **fate == Fate::Open(link));
        lost.for_each(|fate| *fate = Fate::Broken);
    }
}

fn lock(record: &Mutex<Record>) -> MutexGuard<'_, Record> {
    record.lock().expect("no panic before")
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
    /// Adds the counts of another tally.
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
    pub tally: OutcomeCounts,
    /// Microseconds from each request's fixed arrival time to its answer; what was broken, not sent or never answered
    /// counts with the time until the end of the play. Other answers than acks are only in the tally.
    pub latency_us: Histogram<u64>,
    /// How late this tool itself sent, in microseconds: part of the latency.
    pub send_delay_us: Histogram<u64>,
    pub duration: StdDuration,
}

/// An empty histogram of microseconds.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, 3).expect("bounds that fit")
}

struct Loop<'a> {
    wire: &'a Arc<dyn WireProtocol>,
    address: SocketAddr,
    began: Instant,
    record: Arc<Mutex<Record>>,
    /// The link of each place, and its stream.
    places: Vec<Option<(usize, TcpStream)>>,
    readers: Vec<JoinHandle<()>>,
}

impl Loop<'_> {
    fn connect(&mut self, place: usize) -> anyhow::Result<()> {
        anyhow::ensure!(self.readers.len() < MAX_LINKS, "{MAX_LINKS} connections were made");
        let mut stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_read_timeout(Some(LOOK))?;
        stream.write_all(&self.wire.greeting())?;
        let reading = stream.try_clone()?;
        let link = {
            let mut record = lock(&self.record);
            record.links.push(Link { open: 0, takes: true });
            record.links.len() - 1
        };
        self.places[place] = Some((link, stream));
        let (record, wire, began) = (self.record.clone(), self.wire.clone(), self.began);
        self.readers.push(spawn(move || read(&record, &*wire, link, reading, began)));
        Ok(())
    }

    /// Sends at the first place from this one on that has room; false where none has.
    fn send(&mut self, from: usize, number: usize, arrival: &Arrival) -> bool {
        let bytes = self.wire.encode_request(number, arrival);
        let count = self.places.len();
        for place in (0..count).map(|i| (from + i) % count) {
            let takes = |record: &Record, link: usize| record.links[link].takes;
            let kept = self.places[place].as_ref().is_some_and(|(link, _)| takes(&lock(&self.record), *link));
            if !kept && self.connect(place).is_err() {
                continue;
            }
            let Some((link, stream)) = &mut self.places[place] else { continue };
            {
                let mut record = lock(&self.record);
                if record.links[*link].open >= MAX_OPEN_REQUESTS {
                    continue;
                }
                record.links[*link].open += 1;
                record.fates[number] = Fate::Open(*link);
            }
            if stream.write_all(&bytes).is_err() {
                // What was written may still be answered: the reader settles it.
                lock(&self.record).links[*link].takes = false;
                let _ = stream.shutdown(Shutdown::Write);
            }
            return true;
        }
        false
    }
}

fn read(record: &Mutex<Record>, wire: &dyn WireProtocol, link: usize, mut stream: TcpStream, began: Instant) {
    let (mut unread, mut part) = (Vec::new(), [0; 16 * 1024]);
    loop {
        match stream.read(&mut part) {
            Ok(count @ 1..) => {
                let at = Duration::from_us(began.elapsed().as_micros() as u64);
                unread.extend_from_slice(&part[..count]);
                while let Some((used, message)) = wire.decode_message(&unread) {
                    unread.drain(..used);
                    match message {
                        Message::Answer(number, answer) => lock(record).answered(link, number, answer, at),
                        Message::Closing => lock(record).links[link].takes = false,
                        Message::Other => {}
                    }
                }
                if unread.len() > MAX_UNREAD {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if lock(record).over {
                    break;
                }
            }
            Ok(0) | Err(_) => break,
        }
    }
    let mut record = lock(record);
    if !record.over {
        record.ended(link);
    }
}

fn wait_until(due: Instant) {
    while let left = due.saturating_duration_since(Instant::now())
        && !left.is_zero()
    {
        if left > SPUN { sleep(left - SPUN) } else { std::hint::spin_loop() }
    }
}

/// Plays a plan on so many connections and waits at most `patience` for the last answers.
///
/// # Errors
/// Where nobody listens at the address at the beginning.
pub fn run_plan(
    wire: &Arc<dyn WireProtocol>,
    address: SocketAddr,
    plan: &[Arrival],
    connections: usize,
    patience: StdDuration,
) -> anyhow::Result<LoadResult> {
    anyhow::ensure!(address.ip().is_loopback(), "only on loopback");
    let record = Record { fates: vec![Fate::Unsent; plan.len()], links: Vec::new(), over: false };
    let mut played = Loop {
        wire,
        address,
        began: Instant::now(),
        record: Arc::new(Mutex::new(record)),
        places: (0..connections.max(1)).map(|_| None).collect(),
        readers: Vec::new(),
    };
    // The connections stand before the first request is due; their time is not part of anyone's latency.
    played.began = Instant::now() + LOOK;
    for place in 0..played.places.len() {
        played.connect(place).with_context(|| format!("no connection to {address}"))?;
    }
    let mut send_delay_us = latency_histogram();
    wait_until(played.began);
    for (number, arrival) in plan.iter().enumerate() {
        let due = played.began + StdDuration::from_micros(arrival.at.us());
        wait_until(due);
        send_delay_us.saturating_record(due.elapsed().as_micros() as u64);
        played.send(number, number, arrival);
    }
    let last = Instant::now() + patience;
    let open = |record: &Record| record.fates.iter().any(|fate| matches!(fate, Fate::Open(_)));
    while Instant::now() < last && open(&lock(&played.record)) {
        sleep(END_LOOK);
    }
    let duration = played.began.elapsed();
    let fates = {
        let mut record = lock(&played.record);
        record.over = true;
        std::mem::take(&mut record.fates)
    };
    played.places.iter().flatten().for_each(|(_, stream)| drop(stream.shutdown(Shutdown::Both)));
    played.readers.into_iter().for_each(|reader| drop(reader.join()));
    Ok(LoadResult {
        tally: tally(&fates),
        latency_us: latencies(&fates, plan, duration),
        send_delay_us,
        duration,
    })
}

fn tally(fates: &[Fate]) -> OutcomeCounts {
    let mut tally = OutcomeCounts { planned: fates.len(), ..OutcomeCounts::default() };
    for fate in fates {
        *match fate {
            Fate::Unsent => &mut tally.unsent,
            Fate::Open(_) => &mut tally.unanswered,
            Fate::Broken => &mut tally.broken,
            Fate::Answered(Answer::Acked, _) => &mut tally.acked,
            Fate::Answered(Answer::Refused, _) => &mut tally.refused,
            Fate::Answered(Answer::Unknown, _) => &mut tally.unknown,
            Fate::Answered(Answer::Failed, _) => &mut tally.failed,
        } += 1;
    }
    tally
}

fn latencies(fates: &[Fate], plan: &[Arrival], duration: StdDuration) -> Histogram<u64> {
    let mut all = latency_histogram();
    for (fate, arrival) in fates.iter().zip(plan) {
        let end_us = match fate {
            Fate::Answered(Answer::Acked, at) => at.us(),
            Fate::Answered(..) => continue,
            Fate::Unsent | Fate::Open(_) | Fate::Broken => duration.as_micros() as u64,
        };
        all.saturating_record(end_us.saturating_sub(arrival.at.us()));
    }
    all
}
