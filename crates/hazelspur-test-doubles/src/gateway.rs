//! A gateway that sends requests to servers over JSON-RPC, retries rejected ones, and records each attempt
//! with all responses to it.
//!
//! It runs on one thread. JSON is read and written by a library, so that a mistake in the project's own
//! parser can't cancel out.

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

/// Pause between two rounds of reading and sending.
const TICK: Duration = Duration::from_millis(1);
/// Longest time until a connection is established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest incomplete line of a connection, in bytes; no server sends longer ones, so the connection is
/// closed.
const MAX_UNREAD_BYTES: usize = 1 << 20;
/// Number of open requests on a connection that the protocol allows.
const MAX_OPEN_REQUESTS: usize = 32;

/// Choice of servers, request rate, and handling of rejections.
#[derive(Clone, Copy, Debug)]
pub struct GatewaySettings {
    /// Whether the server is chosen by a hash of the request's name instead of in turn.
    pub by_request_hash: bool,
    /// Highest number of attempts after the first.
    pub retries: u32,
    /// Whether a rejected request is retried, at a server that has not been tried if there is one.
    pub retries_elsewhere: bool,
    /// Whether a retry waits for the time that the rejection states, and is left out if the rejection forbids
    /// it.
    pub obeys_retry_after: bool,
    /// New requests per second.
    pub requests_per_s: f64,
    /// Age of the list of servers that the gateway sees, in milliseconds; for the `ServerLister` to apply.
    pub list_age_ms: u64,
    /// Timeout of an attempt, in milliseconds.
    pub timeout_ms: u64,
}

impl GatewaySettings {
    /// Returns the JSON-RPC request of one attempt.
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

/// Kind of a final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The request succeeded.
    Succeeded,
    /// The request was rejected and never ran.
    Rejected,
    /// The request failed, or the response is a second one to the same attempt.
    Failed,
}

/// One attempt at a request, with its responses.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Name of the request, which is its body too.
    pub request: String,
    /// Id of the attempt on the wire.
    pub attempt_id: String,
    /// Request class.
    pub request_class: &'static str,
    /// Number of the server.
    pub server: usize,
    /// Time of sending, in Unix milliseconds.
    pub sent_ms: u64,
    /// Time at which the response is due, in Unix milliseconds.
    pub due_ms: u64,
    /// All final responses, each with its time of arrival in Unix milliseconds.
    pub responses: Vec<(Response, u64)>,
    /// Time at which the connection ended without a response, in Unix milliseconds; `None` while it has not.
    pub disconnected_ms: Option<u64>,
    /// Whether the connection ended without a response after a goodbye message or an error about the
    /// connection.
    pub crossed_goodbye: bool,
    /// Whether a successful response carried other data than the request's body, which every run returns.
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

/// Names of the request classes that the gateway sends.
pub const REQUEST_CLASSES: [&str; 3] = ["view", "set-qty", "book"];

struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
    /// Attempts without a response: index into all attempts, by JSON-RPC id.
    open_attempts: BTreeMap<u64, usize>,
    /// Attempts with a response, likewise; kept until the connection ends, to recognize second responses.
    answered_attempts: BTreeMap<u64, usize>,
    /// JSON-RPC id of the last request.
    last_id: u64,
    /// Whether the server has announced that it closes the connection; no request is sent on it any more.
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

/// Function that returns the numbers of the servers that the gateway may choose from now.
pub type ServerLister = Box<dyn Fn() -> Vec<usize> + Send>;

/// A gateway with a thread of its own.
pub struct Gateway {
    stop: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    thread: Option<JoinHandle<()>>,
}

impl Gateway {
    /// Starts a gateway that sends at once. `servers` holds the address of each server, by number;
    /// `list_servers` returns the numbers of those to choose from.
    ///
    /// # Panics
    ///
    /// Panics if an address is not a loopback address.
    pub fn start(
        gateway_number: usize,
        settings: GatewaySettings,
        servers: Vec<SocketAddr>,
        list_servers: ServerLister,
        seed: u64,
    ) -> Self {
        assert!(
            servers.iter().all(|address| address.ip().is_loopback()),
            "address of a test double is not a loopback address"
        );
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

    /// Stops creating requests; those created already are retried, and responses are still read.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Returns all attempts so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().expect("lock is not poisoned").clone()
    }

    /// Stops creating requests, waits until no attempt is open or the wait has timed out, and returns all
    /// attempts.
    pub fn finish(&mut self) -> Vec<Attempt> {
        self.stop();
        let _ = self.thread.take().map(JoinHandle::join);
        self.attempts()
    }
}

/// A request that waits for its next attempt or for the response to its last one.
struct PendingRequest {
    /// Time of the next attempt, in Unix milliseconds; `u64::MAX` while an attempt is open.
    send_at_ms: u64,
    request: String,
    request_class: &'static str,
    tried_servers: BTreeSet<usize>,
    retries_left: u32,
    /// Index of the last attempt.
    last_attempt: Option<usize>,
}

/// State of the gateway's thread.
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
            // Responses are due within the timeout; those that are missing 6 s later are not waited for.
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

    /// Returns the server for the next attempt, one that has not been tried if possible; `None` if none is
    /// listed.
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
            // Without a connection nothing can have run, so a retry is safe.
            pending.tried_servers.insert(server);
            return self.schedule_retry(now, pending);
        }
        let Some(connection) = self.connections.get_mut(&server) else { return };
        // The time at the start of the round may be old by now: threads of a busy machine run late.
        let now = now_ms();
        connection.last_id += 1;
        let attempt_id = format!("{:08x}{:08x}", self.random_numbers.draw(), self.random_numbers.draw());
        let line =
            self.settings.request_line(self.gateway_number, connection.last_id, now, &attempt_id, &pending);
        let written = (&connection.stream).write_all(format!("{line}\n").as_bytes());
        let attempt_index = {
            let mut attempts = self.attempts.lock().expect("lock is not poisoned");
            attempts.push(Attempt::new(&pending, attempt_id, server, now, now + self.settings.timeout_ms));
            attempts.len() - 1
        };
        pending.tried_servers.insert(server);
        pending.last_attempt = Some(attempt_index);
        connection.open_attempts.insert(connection.last_id, attempt_index);
        self.pending.push(PendingRequest { send_at_ms: u64::MAX, ..pending });
        // If the server has closed the connection, the bytes that it sent before are still to be read. Only a
        // line that may have been written in part ends the connection at once.
        if written.is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
            self.connection_lost(now, server);
        }
    }

    /// Returns whether a connection to this server can carry one more request; connects if there is none.
    fn connect(&mut self, server: usize) -> bool {
        if self.connections.get(&server).is_some_and(|connection| {
            !connection.closing && connection.open_attempts.len() < MAX_OPEN_REQUESTS
        }) {
            return true;
        }
        // A connection with open attempts still has to be read to its end.
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

    /// Schedules the next attempt at a request that never ran or may run again, if it has retries left.
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
                let mut attempts = self.attempts.lock().expect("lock is not poisoned");
                (attempts[attempt_index].disconnected_ms, attempts[attempt_index].crossed_goodbye) =
                    (Some(now), connection.closing);
                attempts[attempt_index].request_class == "view"
            };
            let pending = self.take_pending(attempt_index);
            // The request may have run, so only a class that may run again is retried.
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
            // The lines come first: responses and a goodbye message may have arrived together with the end.
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
            // An error without an id is about the connection: the server closes it, and requests that it has
            // not read get no response.
            connection.closing |= message["error"].is_object();
            return;
        };
        let Some(attempt_index) = connection.open_attempts.remove(&id) else {
            if let Some(attempt_index) = connection.answered_attempts.get(&id) {
                // A second response is a failure, whatever it says.
                self.attempts.lock().expect("lock is not poisoned")[*attempt_index]
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
            let mut attempts = self.attempts.lock().expect("lock is not poisoned");
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
