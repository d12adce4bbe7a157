//! A gateway that sends requests to servers over JSON-RPC, retries where it is rejected, and records each attempt with
//! all responses to it. One thread; JSON by a library, so that a mistake in the project's own parser can't cancel out.

use crate::now_ms;
use hazelspur::pcg::Pcg;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// How often the gateway reads and sends.
const TICK: Duration = Duration::from_millis(1);
/// How long a dial may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Unread bytes of a connection; more is no server of ours.
const MAX_UNREAD_BYTES: usize = 1 << 20;
/// Requests open on a connection, by the protocol.
const MAX_OPEN: usize = 32;

/// How it picks servers, and what it does with a rejection.
#[derive(Clone, Copy, Debug)]
pub struct GatewaySettings {
    /// Picks the server by a hash of the request, not in turn.
    pub by_request_hash: bool,
    /// Attempts after the first.
    pub retries: u32,
    /// Retries a rejected request at the next server at once.
    pub retries_elsewhere: bool,
    /// Heeds Retry-After.
    pub obeys_retry_after: bool,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Age of its list of servers, in milliseconds.
    pub list_age_ms: u64,
    /// The timeout of an attempt, in milliseconds.
    pub timeout_ms: u64,
}

impl GatewaySettings {
    /// The JSON-RPC line of one attempt.
    fn line(&self, gateway: usize, id: u64, now: u64, req: &str, waiting: &Waiting) -> Value {
        let mut params = json!({"req": req, "ts": now, "via": gateway, "timeout": self.timeout_ms,
            "need": 24.5, "level": 0.5, "data": base64(waiting.request.as_bytes())});
        if waiting.kind == "set-qty" {
            params["opkey"] = waiting.request.clone().into();
        }
        json!({"jsonrpc": "2.0", "id": id, "method": waiting.kind, "params": params})
    }
}

/// A final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The request succeeded.
    Succeeded,
    /// It was rejected and never ran.
    Rejected,
    /// It failed.
    Failed,
}

/// One attempt at a request, with what came of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's name, which is its body too.
    pub request: String,
    /// The id of this attempt on the wire.
    pub attempt_id: String,
    /// The request class.
    pub request_class: &'static str,
    /// The server, by its number.
    pub server: usize,
    /// When it was sent, in Unix milliseconds.
    pub sent_ms: u64,
    /// When the response is due, in Unix milliseconds.
    pub due_ms: u64,
    /// All final responses that came, and when.
    pub responses: Vec<(Response, u64)>,
    /// When its connection ended before a response, in Unix milliseconds.
    pub disconnected_ms: Option<u64>,
    /// Whether it crossed the goodbye message of its connection.
    pub crossed_goodbye: bool,
    /// Whether a response came that no run can have made.
    pub corrupted: bool,
}

impl Attempt {
    fn sent(waiting: &Waiting, req: String, server: usize, sent_ms: u64, due_ms: u64) -> Self {
        Self {
            request: waiting.request.clone(),
            attempt_id: req,
            request_class: waiting.kind,
            server,
            sent_ms,
            due_ms,
            responses: Vec::new(),
            disconnected_ms: None,
            crossed_goodbye: false,
            corrupted: false,
        }
    }
}

/// Names of the request classes that it sends.
pub const REQUEST_CLASSES: [&str; 3] = ["view", "set-qty", "book"];

struct Link {
    stream: TcpStream,
    unread: Vec<u8>,
    /// Number on this connection, and which try.
    open: BTreeMap<u64, usize>,
    /// Those that have their answer; as many as the connection carried.
    answered: BTreeMap<u64, usize>,
    last: u64,
    going: bool,
}

impl Link {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unread: Vec::new(),
            open: BTreeMap::new(),
            answered: BTreeMap::new(),
            last: 0,
            going: false,
        }
    }
}

/// Gives the numbers of the servers that are listed now.
pub type ServerLister = Box<dyn Fn() -> Vec<usize> + Send>;

/// A gateway with a thread of its own.
pub struct Gateway {
    stop: Arc<AtomicBool>,
    tries: Arc<Mutex<Vec<Attempt>>>,
    thread: Option<JoinHandle<()>>,
}

impl Gateway {
    /// Starts sending. `servers` holds the address of each server; `list` names them by number.
    ///
    /// # Panics
    ///
    /// Where an address is not a loopback address.
    pub fn start(
        number: usize,
        habits: GatewaySettings,
        servers: Vec<SocketAddr>,
        list: ServerLister,
        seed: u64,
    ) -> Self {
        assert!(servers.iter().all(|at| at.ip().is_loopback()), "test doubles stay on loopback");
        let (stop, tries) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let mut desk = Desk {
            number,
            habits,
            servers,
            list,
            chance: Pcg::new(seed),
            links: BTreeMap::new(),
            waiting: Vec::new(),
            next_turn: 0,
            names: 0,
            tries: tries.clone(),
        };
        let stopped = stop.clone();
        let thread = spawn(move || desk.run(&stopped));
        Self { stop, tries, thread: Some(thread) }
    }

    /// Sends nothing new from now on, and goes on reading.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// All attempts so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.tries.lock().expect("no panic before").clone()
    }

    /// Waits until every attempt has its response or has timed out.
    pub fn finish(&mut self) -> Vec<Attempt> {
        self.stop();
        let _ = self.thread.take().map(JoinHandle::join);
        self.attempts()
    }
}

/// A request that is to be tried at some time.
struct Waiting {
    at_ms: u64,
    request: String,
    kind: &'static str,
    tried: BTreeSet<usize>,
    left: u32,
    last: Option<usize>,
}

struct Desk {
    number: usize,
    habits: GatewaySettings,
    servers: Vec<SocketAddr>,
    list: ServerLister,
    chance: Pcg,
    links: BTreeMap<usize, Link>,
    waiting: Vec<Waiting>,
    next_turn: usize,
    names: u64,
    tries: Arc<Mutex<Vec<Attempt>>>,
}

impl Desk {
    fn run(&mut self, stopped: &AtomicBool) {
        let began = now_ms();
        let mut sent = 0.0;
        let mut stopping: Option<u64> = None;
        loop {
            let now = now_ms();
            if stopping.is_none() && stopped.load(Ordering::Relaxed) {
                stopping = Some(now);
            }
            let owed = (now - began) as f64 / 1000.0 * self.habits.requests_per_s;
            while stopping.is_none() && sent < owed {
                sent += 1.0;
                self.begin(now);
            }
            self.read_all(now);
            let due: Vec<Waiting> = {
                let (due, rest) = std::mem::take(&mut self.waiting).into_iter().partition(|w| w.at_ms <= now);
                self.waiting = rest;
                due
            };
            due.into_iter().for_each(|waiting| self.send(now, waiting));
            let open = self.links.values().any(|link| !link.open.is_empty());
            // What has no answer long after it was due has none.
            let over = stopping.is_some_and(|at| now > at + self.habits.timeout_ms + 6000);
            if stopping.is_some() && (!open && self.waiting.is_empty() || over) {
                return;
            }
            sleep(TICK);
        }
    }

    fn begin(&mut self, now: u64) {
        self.names += 1;
        let request = format!("g{}-{}", self.number, self.names);
        let kind = REQUEST_CLASSES[self.chance.draw() as usize % REQUEST_CLASSES.len()];
        let left = self.habits.retries;
        self.waiting.push(Waiting { at_ms: now, request, kind, tried: BTreeSet::new(), left, last: None });
    }

    /// Which server is next for this request; none where none is listed.
    fn pick(&mut self, waiting: &Waiting) -> Option<usize> {
        let listed = (self.list)();
        let fresh: Vec<usize> = listed.iter().copied().filter(|of| !waiting.tried.contains(of)).collect();
        let from = if fresh.is_empty() { &listed } else { &fresh };
        if from.is_empty() {
            return None;
        }
        let turn = if self.habits.by_request_hash {
            waiting.request.bytes().fold(7usize, |h, b| h.wrapping_mul(31).wrapping_add(b.into()))
        } else {
            self.next_turn += 1;
            self.next_turn
        };
        Some(from[turn % from.len()])
    }

    fn send(&mut self, now: u64, mut waiting: Waiting) {
        let Some(server) = self.pick(&waiting) else { return };
        if !self.connect(server) {
            // A connection that never was proves that nothing ran.
            waiting.tried.insert(server);
            return self.again(now, waiting);
        }
        let Some(link) = self.links.get_mut(&server) else { return };
        // The loop's own time may be old by now: threads of a busy machine run late.
        let now = now_ms();
        link.last += 1;
        let req = format!("{:08x}{:08x}", self.chance.draw(), self.chance.draw());
        let line = self.habits.line(self.number, link.last, now, &req, &waiting);
        let wrote = (&link.stream).write_all(format!("{line}\n").as_bytes());
        let number = {
            let mut tries = self.tries.lock().expect("no panic before");
            tries.push(Attempt::sent(&waiting, req, server, now, now + self.habits.timeout_ms));
            tries.len() - 1
        };
        waiting.tried.insert(server);
        waiting.last = Some(number);
        link.open.insert(link.last, number);
        self.waiting.push(Waiting { at_ms: u64::MAX, ..waiting });
        // Where the other end is closed, what it sent before is still to be read; only a line that went out in part
        // breaks the connection at once.
        if wrote.is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
            self.broken(now, server);
        }
    }

    /// Whether there is a connection to this server that can carry one more request; dials where there is none.
    fn connect(&mut self, server: usize) -> bool {
        if self.links.get(&server).is_some_and(|link| !link.going && link.open.len() < MAX_OPEN) {
            return true;
        }
        // One that is closing still has to be read to its end.
        if self.links.get(&server).is_some_and(|link| !link.open.is_empty()) {
            return false;
        }
        let Ok(stream) = TcpStream::connect_timeout(&self.servers[server], CONNECT_TIMEOUT) else {
            return false;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_nonblocking(true);
        self.links.insert(server, Link::new(stream));
        true
    }

    /// Sets a request that never ran, or may run again, for its next try.
    fn again(&mut self, at_ms: u64, mut waiting: Waiting) {
        if waiting.left > 0 {
            waiting.left -= 1;
            waiting.at_ms = at_ms;
            self.waiting.push(waiting);
        }
    }

    fn broken(&mut self, now: u64, server: usize) {
        let now = now.max(now_ms());
        let Some(link) = self.links.remove(&server) else { return };
        for number in link.open.into_values() {
            let retryable = {
                let mut tries = self.tries.lock().expect("no panic before");
                (tries[number].disconnected_ms, tries[number].crossed_goodbye) = (Some(now), link.going);
                tries[number].request_class == "view"
            };
            let waiting = self.take_waiting(number);
            // Whether it ran nobody knows.
            waiting.filter(|_| retryable).into_iter().for_each(|waiting| self.again(now, waiting));
        }
    }

    fn take_waiting(&mut self, number: usize) -> Option<Waiting> {
        let at = self.waiting.iter().position(|waiting| waiting.last == Some(number))?;
        Some(self.waiting.swap_remove(at))
    }

    fn read_all(&mut self, now: u64) {
        let servers: Vec<usize> = self.links.keys().copied().collect();
        for server in servers {
            let mut part = [0; 16 * 1024];
            let mut ended = false;
            while let Some(link) = self.links.get_mut(&server).filter(|_| !ended) {
                match (&link.stream).read(&mut part) {
                    Ok(count @ 1..) => link.unread.extend_from_slice(&part[..count]),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Ok(0) | Err(_) => ended = true,
                }
            }
            let mut lines = Vec::new();
            if let Some(link) = self.links.get_mut(&server) {
                while let Some(end) = link.unread.iter().position(|b| *b == b'\n') {
                    lines.push(link.unread.drain(..=end).collect::<Vec<u8>>());
                }
                if link.unread.len() > MAX_UNREAD_BYTES {
                    self.broken(now, server);
                }
            }
            lines.into_iter().for_each(|line| self.take_line(now, server, &line));
            // Only now: answers and a farewell may have come together with the end.
            if ended {
                self.broken(now, server);
            }
            let done = |link: &Link| link.going && link.open.is_empty();
            if self.links.get(&server).is_some_and(done) {
                self.links.remove(&server);
            }
        }
    }

    fn take_line(&mut self, now: u64, server: usize, line: &[u8]) {
        let Some(link) = self.links.get_mut(&server) else { return };
        let message: Value = serde_json::from_slice(line).unwrap_or(Value::Null);
        if message["method"] == "farewell" {
            link.going = true;
            return;
        }
        let Some(number) = message["id"].as_u64() else {
            // An error about the connection itself: it closes, and what was not read is not answered.
            link.going |= message["error"].is_object();
            return;
        };
        let Some(of) = link.open.remove(&number) else {
            if let Some(of) = link.answered.get(&number) {
                // Its second answer, whatever it says.
                self.tries.lock().expect("no panic before")[*of].responses.push((Response::Failed, now));
            }
            return;
        };
        link.answered.insert(number, of);
        let number = of;
        let error = &message["error"];
        let answer = match error["code"].as_i64() {
            None => Response::Succeeded,
            Some(-32011) => Response::Rejected,
            Some(_) => Response::Failed,
        };
        {
            let mut tries = self.tries.lock().expect("no panic before");
            let of = &mut tries[number];
            of.responses.push((answer, now));
            let own = base64(of.request.as_bytes());
            of.corrupted |= answer == Response::Succeeded && message["result"]["data"].as_str() != Some(&own);
        }
        let Some(waiting) = self.take_waiting(number) else { return };
        if answer == Response::Rejected {
            let stay_away = error["data"]["holdoff"].as_f64().unwrap_or(0.0);
            let no_more = error["data"]["nomore"].as_i64() == Some(1);
            let wait = if self.habits.obeys_retry_after { stay_away as u64 } else { 0 };
            if self.habits.retries_elsewhere && !(self.habits.obeys_retry_after && no_more) {
                self.again(now + wait, waiting);
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}
