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
const MAX_OPEN_REQUESTS: usize = 32;

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
    fn request_line(
        &self,
        gateway_number: usize,
        id: u64,
        now_ms: u64,
        attempt_id: &str,
        pending: &PendingRequest,
    ) -> Value {
        let mut params = json!({"req": attempt_id, "ts": now_ms, "via": gateway_number, "timeout": self.timeout_ms,
            "need": 24.5, "level": 0.5, "data": base64(pending.request.as_bytes())});
        if pending.request_class == "set-qty" {
            params["opkey"] = pending.request.clone().into();
        }
        json!({"jsonrpc": "2.0", "id": id, "method": pending.request_class, "params": params})
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
    fn new(pending: &PendingRequest, attempt_id: String, server: usize, sent_ms: u64, due_ms: u64) -> Self {
        Self {
            request: pending.request.clone(),
            attempt_id,
            request_class: pending.request_class,
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

struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
    /// Number on this connection, and which try.
    open_attempts: BTreeMap<u64, usize>,
    /// Those that have their answer; as many as the connection carried.
    answered_attempts: BTreeMap<u64, usize>,
    last_id: u64,
    closing: bool,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unread: Vec::new(),
            open_attempts: BTreeMap::new(),
            answered_attempts: BTreeMap::new(),
            last_id: 0,
            closing: false,
        }
    }
}

/// Gives the numbers of the servers that are listed now.
pub type ServerLister = Box<dyn Fn() -> Vec<usize> + Send>;

/// A gateway with a thread of its own.
pub struct Gateway {
    stop: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    thread: Option<JoinHandle<()>>,
}

impl Gateway {
    /// Starts sending. `servers` holds the address of each server; `list` names them by number.
    ///
    /// # Panics
    ///
    /// Where an address is not a loopback address.
    pub fn start(
        gateway_number: usize,
        settings: GatewaySettings,
        servers: Vec<SocketAddr>,
        list_servers: ServerLister,
        seed: u64,
    ) -> Self {
        assert!(servers.iter().all(|address| address.ip().is_loopback()), "test doubles stay on loopback");
        let (stop, attempts) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let mut gateway_loop = GatewayLoop {
            gateway_number,
            settings,
            servers,
            list_servers,
            random_numbers: Pcg::new(seed),
            connections: BTreeMap::new(),
            pending: Vec::new(),
            next_turn: 0,
            request_count: 0,
            attempts: attempts.clone(),
        };
        let stopped = stop.clone();
        let thread = spawn(move || gateway_loop.run(&stopped));
        Self { stop, attempts, thread: Some(thread) }
    }

    /// Sends nothing new from now on, and goes on reading.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// All attempts so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().expect("no panic before").clone()
    }

    /// Waits until every attempt has its response or has timed out.
    pub fn finish(&mut self) -> Vec<Attempt> {
        self.stop();
        let _ = self.thread.take().map(JoinHandle::join);
        self.attempts()
    }
}

/// A request that is to be tried at some time.
struct PendingRequest {
    send_at_ms: u64,
    request: String,
    request_class: &'static str,
    tried_servers: BTreeSet<usize>,
    retries_left: u32,
    last_attempt: Option<usize>,
}

struct GatewayLoop {
    gateway_number: usize,
    settings: GatewaySettings,
    servers: Vec<SocketAddr>,
    list_servers: ServerLister,
    random_numbers: Pcg,
    connections: BTreeMap<usize, Connection>,
    pending: Vec<PendingRequest>,
    next_turn: usize,
    request_count: u64,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl GatewayLoop {
    fn run(&mut self, stopped: &AtomicBool) {
        let began_ms = now_ms();
        let mut created = 0.0;
        let mut stopped_at_ms: Option<u64> = None;
        loop {
            let now = now_ms();
            if stopped_at_ms.is_none() && stopped.load(Ordering::Relaxed) {
                stopped_at_ms = Some(now);
            }
            let due_count = (now - began_ms) as f64 / 1000.0 * self.settings.requests_per_s;
            while stopped_at_ms.is_none() && created < due_count {
                created += 1.0;
                self.create_request(now);
            }
            self.read_all(now);
            let due: Vec<PendingRequest> = {
                let (due, rest) = std::mem::take(&mut self.pending)
                    .into_iter()
                    .partition(|request| request.send_at_ms <= now);
                self.pending = rest;
                due
            };
            due.into_iter().for_each(|pending| self.send_attempt(now, pending));
            let any_open = self.connections.values().any(|connection| !connection.open_attempts.is_empty());
            // What has no answer long after it was due has none.
            let timed_out =
                stopped_at_ms.is_some_and(|stopped_ms| now > stopped_ms + self.settings.timeout_ms + 6000);
            if stopped_at_ms.is_some() && (!any_open && self.pending.is_empty() || timed_out) {
                return;
            }
            sleep(TICK);
        }
    }

    fn create_request(&mut self, now: u64) {
        self.request_count += 1;
        let request = format!("g{}-{}", self.gateway_number, self.request_count);
        let request_class = REQUEST_CLASSES[self.random_numbers.draw() as usize % REQUEST_CLASSES.len()];
        let retries_left = self.settings.retries;
        self.pending.push(PendingRequest {
            send_at_ms: now,
            request,
            request_class,
            tried_servers: BTreeSet::new(),
            retries_left,
            last_attempt: None,
        });
    }

    /// Which server is next for this request; none where none is listed.
    fn pick_server(&mut self, pending: &PendingRequest) -> Option<usize> {
        let listed = (self.list_servers)();
        let untried: Vec<usize> =
            listed.iter().copied().filter(|server| !pending.tried_servers.contains(server)).collect();
        let candidates = if untried.is_empty() { &listed } else { &untried };
        if candidates.is_empty() {
            return None;
        }
        let turn = if self.settings.by_request_hash {
            pending.request.bytes().fold(7usize, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()))
        } else {
            self.next_turn += 1;
            self.next_turn
        };
        Some(candidates[turn % candidates.len()])
    }

    fn send_attempt(&mut self, now: u64, mut pending: PendingRequest) {
        let Some(server) = self.pick_server(&pending) else { return };
        if !self.connect(server) {
            // A connection that never was proves that nothing ran.
            pending.tried_servers.insert(server);
            return self.schedule_retry(now, pending);
        }
        let Some(connection) = self.connections.get_mut(&server) else { return };
        // The loop's own time may be old by now: threads of a busy machine run late.
        let now = now_ms();
        connection.last_id += 1;
        let attempt_id = format!("{:08x}{:08x}", self.random_numbers.draw(), self.random_numbers.draw());
        let line =
            self.settings.request_line(self.gateway_number, connection.last_id, now, &attempt_id, &pending);
        let written = (&connection.stream).write_all(format!("{line}\n").as_bytes());
        let attempt_index = {
            let mut attempts = self.attempts.lock().expect("no panic before");
            attempts.push(Attempt::new(&pending, attempt_id, server, now, now + self.settings.timeout_ms));
            attempts.len() - 1
        };
        pending.tried_servers.insert(server);
        pending.last_attempt = Some(attempt_index);
        connection.open_attempts.insert(connection.last_id, attempt_index);
        self.pending.push(PendingRequest { send_at_ms: u64::MAX, ..pending });
        // Where the other end is closed, what it sent before is still to be read; only a line that went out in part
        // breaks the connection at once.
        if written.is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
            self.connection_lost(now, server);
        }
    }

    /// Whether there is a connection to this server that can carry one more request; dials where there is none.
    fn connect(&mut self, server: usize) -> bool {
        if self.connections.get(&server).is_some_and(|connection| {
            !connection.closing && connection.open_attempts.len() < MAX_OPEN_REQUESTS
        }) {
            return true;
        }
        // One that is closing still has to be read to its end.
        if self.connections.get(&server).is_some_and(|connection| !connection.open_attempts.is_empty()) {
            return false;
        }
        let Ok(stream) = TcpStream::connect_timeout(&self.servers[server], CONNECT_TIMEOUT) else {
            return false;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_nonblocking(true);
        self.connections.insert(server, Connection::new(stream));
        true
    }

    /// Sets a request that never ran, or may run again, for its next try.
    fn schedule_retry(&mut self, send_at_ms: u64, mut pending: PendingRequest) {
        if pending.retries_left > 0 {
            pending.retries_left -= 1;
            pending.send_at_ms = send_at_ms;
            self.pending.push(pending);
        }
    }

    fn connection_lost(&mut self, now: u64, server: usize) {
        let now = now.max(now_ms());
        let Some(connection) = self.connections.remove(&server) else { return };
        for attempt_index in connection.open_attempts.into_values() {
            let retryable = {
                let mut attempts = self.attempts.lock().expect("no panic before");
                (attempts[attempt_index].disconnected_ms, attempts[attempt_index].crossed_goodbye) =
                    (Some(now), connection.closing);
                attempts[attempt_index].request_class == "view"
            };
            let pending = self.take_pending(attempt_index);
            // Whether it ran nobody knows.
            pending.filter(|_| retryable).into_iter().for_each(|pending| self.schedule_retry(now, pending));
        }
    }

    fn take_pending(&mut self, attempt_index: usize) -> Option<PendingRequest> {
        let position = self.pending.iter().position(|pending| pending.last_attempt == Some(attempt_index))?;
        Some(self.pending.swap_remove(position))
    }

    fn read_all(&mut self, now: u64) {
        let servers: Vec<usize> = self.connections.keys().copied().collect();
        for server in servers {
            let mut chunk = [0; 16 * 1024];
            let mut ended = false;
            while let Some(connection) = self.connections.get_mut(&server).filter(|_| !ended) {
                match (&connection.stream).read(&mut chunk) {
                    Ok(count @ 1..) => connection.unread.extend_from_slice(&chunk[..count]),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Ok(0) | Err(_) => ended = true,
                }
            }
            let mut lines = Vec::new();
            if let Some(connection) = self.connections.get_mut(&server) {
                while let Some(end) = connection.unread.iter().position(|b| *b == b'\n') {
                    lines.push(connection.unread.drain(..=end).collect::<Vec<u8>>());
                }
                if connection.unread.len() > MAX_UNREAD_BYTES {
                    self.connection_lost(now, server);
                }
            }
            lines.into_iter().for_each(|line| self.handle_line(now, server, &line));
            // Only now: answers and a farewell may have come together with the end.
            if ended {
                self.connection_lost(now, server);
            }
            let drained = |connection: &Connection| connection.closing && connection.open_attempts.is_empty();
            if self.connections.get(&server).is_some_and(drained) {
                self.connections.remove(&server);
            }
        }
    }

    fn handle_line(&mut self, now: u64, server: usize, line: &[u8]) {
        let Some(connection) = self.connections.get_mut(&server) else { return };
        let message: Value = serde_json::from_slice(line).unwrap_or(Value::Null);
        if message["method"] == "farewell" {
            connection.closing = true;
            return;
        }
        let Some(id) = message["id"].as_u64() else {
            // An error about the connection itself: it closes, and what was not read is not answered.
            connection.closing |= message["error"].is_object();
            return;
        };
        let Some(attempt_index) = connection.open_attempts.remove(&id) else {
            if let Some(attempt_index) = connection.answered_attempts.get(&id) {
                // Its second answer, whatever it says.
                self.attempts.lock().expect("no panic before")[*attempt_index]
                    .responses
                    .push((Response::Failed, now));
            }
            return;
        };
        connection.answered_attempts.insert(id, attempt_index);
        let error = &message["error"];
        let response = match error["code"].as_i64() {
            None => Response::Succeeded,
            Some(-32011) => Response::Rejected,
            Some(_) => Response::Failed,
        };
        {
            let mut attempts = self.attempts.lock().expect("no panic before");
            let attempt = &mut attempts[attempt_index];
            attempt.responses.push((response, now));
            let expected_data = base64(attempt.request.as_bytes());
            attempt.corrupted |=
                response == Response::Succeeded && message["result"]["data"].as_str() != Some(&expected_data);
        }
        let Some(pending) = self.take_pending(attempt_index) else { return };
        if response == Response::Rejected {
            let retry_after_ms = error["data"]["holdoff"].as_f64().unwrap_or(0.0);
            let forbids_retry = error["data"]["nomore"].as_i64() == Some(1);
            let delay_ms = if self.settings.obeys_retry_after { retry_after_ms as u64 } else { 0 };
            if self.settings.retries_elsewhere && !(self.settings.obeys_retry_after && forbids_retry) {
                self.schedule_retry(now + delay_ms, pending);
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}
