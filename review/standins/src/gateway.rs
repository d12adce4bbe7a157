//! A gateway: JSON-RPC 2.0 lines on one connection, requests sent at times of the caller's choice.

use crate::{base64, now_ms, unbase64};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(String),
}

#[derive(Default)]
struct State {
    answers: BTreeMap<u64, Vec<(Answer, u64)>>,
    closed: bool,
    farewell: bool,
}

pub struct Gateway {
    writer: TcpStream,
    shared: Arc<(Mutex<State>, Condvar)>,
    last_id: u64,
}

/// A request; `more` are further parameters as JSON text, each with a comma before it.
pub struct Request<'a> {
    pub req: &'a str,
    pub class: &'a str,
    pub owner: &'a str,
    pub timeout_ms: Option<u64>,
    pub need_kb: f64,
    pub body: &'a [u8],
    pub more: &'a str,
}

fn between<'a>(text: &'a str, from: &str, to: &str) -> Option<&'a str> {
    let start = text.find(from)? + from.len();
    Some(&text[start..start + text[start..].find(to)?])
}

impl Gateway {
    /// Connects, and tries again for up to 10 s while the server comes up.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let until = Instant::now() + Duration::from_secs(10);
        let stream = loop {
            match TcpStream::connect(address) {
                Ok(stream) => break stream,
                Err(_) if Instant::now() < until => sleep(Duration::from_millis(20)),
                Err(_) => return None,
            }
        };
        let _ = stream.set_nodelay(true);
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let (reading, reader) = (shared.clone(), stream.try_clone().ok()?);
        spawn(move || {
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                if line.contains("\"farewell\"") {
                    reading.0.lock().expect("the state").farewell = true;
                }
                let Some(id) = between(&line, "\"id\":", ",").and_then(|id| id.parse().ok()) else {
                    continue;
                };
                let answer = if line.contains("\"ready\":true") {
                    Answer::Served(b"ready".to_vec())
                } else if let Some(data) = between(&line, "\"result\":{\"data\":\"", "\"") {
                    Answer::Served(unbase64(data))
                } else if line.contains("\"code\":-32011") {
                    Answer::Refused
                } else {
                    Answer::Failed(line.clone())
                };
                let mut state = reading.0.lock().expect("the state");
                state.answers.entry(id).or_default().push((answer, now_ms()));
                reading.1.notify_all();
            }
            reading.0.lock().expect("the state").closed = true;
            reading.1.notify_all();
        });
        Some(Self { writer: stream, shared, last_id: 0 })
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Sends a request and returns its JSON-RPC id.
    pub fn send(&mut self, request: &Request<'_>) -> u64 {
        let id = self.next_id();
        let Request { req, class, owner, need_kb, more, .. } = request;
        let timeout = request.timeout_ms.map_or(String::new(), |ms| format!(",\"timeout\":{ms}"));
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{class}\",\"params\":{{\"req\":\"{req}\",\"ts\":{},\
             \"via\":1,\"owner\":\"{owner}\"{timeout},\"need\":{need_kb},\"level\":0.5{more},\"data\":\"{}\"}}}}\n",
            now_ms(),
            base64(request.body),
        );
        let _ = self.writer.write_all(line.as_bytes());
        id
    }

    /// Returns whether a new request may be sent: the connection is open and no farewell came on it.
    pub fn is_usable(&self) -> bool {
        let state = self.shared.0.lock().expect("the state");
        !state.closed && !state.farewell
    }

    /// Tells the server that nobody waits for a request any more.
    pub fn interrupt(&mut self, req: &str) {
        let line =
            format!("{{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{{\"req\":\"{req}\"}}}}\n");
        let _ = self.writer.write_all(line.as_bytes());
    }

    /// Returns the answers to a request so far, each with the Unix time of its arrival in milliseconds.
    pub fn answers(&self, id: u64) -> Vec<(Answer, u64)> {
        self.shared.0.lock().expect("the state").answers.get(&id).cloned().unwrap_or_default()
    }

    /// Waits for the first answer to a request.
    pub fn answer(&self, id: u64, at_most: Duration) -> Option<Answer> {
        let until = Instant::now() + at_most;
        let mut state = self.shared.0.lock().expect("the state");
        loop {
            if let Some(answers) = state.answers.get(&id) {
                return Some(answers[0].0.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if state.closed || left.is_zero() {
                return None;
            }
            state = self.shared.1.wait_timeout(state, left).expect("the state").0;
        }
    }

    /// Waits until a health check is answered well.
    pub fn wait_until_ready(&mut self, at_most: Duration) -> bool {
        let until = Instant::now() + at_most;
        while Instant::now() < until {
            let id = self.next_id();
            let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"check\"}}\n");
            if self.writer.write_all(line.as_bytes()).is_err() {
                return false;
            }
            let answer = self.answer(id, Duration::from_millis(500));
            if answer == Some(Answer::Served(b"ready".to_vec())) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }
}
