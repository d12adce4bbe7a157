//! The runtime of one server: line protocol, numbered notices with replay, runs that last as long as they are
//! told and make a call each if they are told to.

use crate::{Chance, Record};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct RunPlan {
    /// Time of a run before its call, and after it, in milliseconds.
    pub work_ms: RangeInclusive<u64>,
    /// Whether each run makes one call.
    pub calls: bool,
    /// First characters of ids that never came to this process: starts of such requests are not carried out.
    pub unknown_ids: Option<&'static str>,
}

/// A reply that the server gave to a run.
pub struct Given {
    pub id: String,
    pub body: Vec<u8>,
}

#[derive(Default)]
pub struct RuntimeState {
    link: Option<TcpStream>,
    notices: Vec<(u64, Vec<u8>)>,
    /// Bodies of the requests that were started, by id.
    pub started: BTreeMap<String, Vec<u8>>,
    pub completed: u64,
    /// Number of starts that were not carried out.
    pub unknown: u64,
    pub given: Vec<Given>,
    running: BTreeSet<String>,
    stopped: BTreeSet<String>,
    over: BTreeSet<String>,
    waiting: BTreeSet<String>,
    replies: BTreeMap<String, Vec<u8>>,
}

type Shared = Arc<(Mutex<RuntimeState>, Condvar)>;

pub struct Runtime {
    pub address: SocketAddr,
    pub shared: Shared,
}

impl RuntimeState {
    /// The platform tells that a request is over, answered or given up: its run ends at its call.
    pub fn request_over(&mut self, id: &str) {
        if self.over.insert(id.into()) && self.waiting.contains(id) {
            self.stopped.insert(id.into());
            self.end(id, "cancelled", b"");
        }
    }

    fn send(&mut self, bytes: &[u8]) {
        if self.link.as_mut().is_some_and(|link| link.write_all(bytes).is_err()) {
            self.link = None;
        }
    }

    fn notice(&mut self, text: impl FnOnce(u64) -> Vec<u8>) {
        let number = self.notices.len() as u64 + 1;
        let bytes = text(number);
        self.send(&bytes);
        self.notices.push((number, bytes));
    }

    fn end(&mut self, id: &str, how: &str, result: &[u8]) {
        self.running.remove(id);
        self.waiting.remove(id);
        self.notice(|number| {
            let mut line = format!("end {number} {id} {how} 1 {}\r\n", result.len()).into_bytes();
            line.extend_from_slice(result);
            line.extend_from_slice(b"\r\n");
            line
        });
    }
}

impl Runtime {
    /// See `RuntimeState::request_over`.
    pub fn request_over(&self, id: &str) {
        self.shared.0.lock().expect("the state").request_over(id);
        self.shared.1.notify_all();
    }

    pub fn start(plan: RunPlan, record: Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared: Shared = Arc::default();
        let accepted = shared.clone();
        let started = Instant::now();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (plan, shared, record) = (plan.clone(), accepted.clone(), record.clone());
                spawn(move || serve(stream, &plan, &shared, &record, started));
            }
        });
        Self { address, shared }
    }
}

fn serve(stream: TcpStream, plan: &RunPlan, shared: &Shared, record: &Record, started: Instant) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|count| count > 0) {
        let words: Vec<String> = line.split_whitespace().map(String::from).collect();
        line.clear();
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let mut body = Vec::new();
        if let ["start" | "give", .., length] = words[..] {
            body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            body.truncate(body.len() - 2);
        }
        let mut state = shared.0.lock().expect("the state");
        match words[..] {
            ["sync", last] => {
                let last: u64 = last.parse().unwrap_or(0);
                state.link = stream.try_clone().ok();
                // It was up before the server, and is warm.
                let up_ms = 60_000 + started.elapsed().as_millis();
                state.send(format!("ready hot {up_ms}\r\n").as_bytes());
                let after: Vec<u8> = (state.notices.iter())
                    .filter(|(number, _)| *number > last)
                    .flat_map(|(_, bytes)| bytes.clone())
                    .collect();
                state.send(&after);
            }
            ["gauges", tag] => {
                let on_cores = state.running.len() - state.waiting.len();
                state.send(format!("load {tag} 0.2 {on_cores} 0.1 2\r\n").as_bytes());
            }
            ["start", id, class, _] => {
                if plan.unknown_ids.is_some_and(|unknown| id.starts_with(unknown)) {
                    state.unknown += 1;
                    state.send(format!("nack start {id}\r\n").as_bytes());
                    continue;
                }
                if state.running.contains(id) {
                    continue;
                }
                if state.started.contains_key(id) || state.over.contains(id) {
                    state.end(id, "unknown", b"");
                    continue;
                }
                record.line(format!("runtime: start {id} {class} {}", String::from_utf8_lossy(&body)));
                state.started.insert(id.into(), body.clone());
                state.running.insert(id.into());
                let work = Chance::new(state.started.len() as u64).draw(plan.work_ms.clone());
                let run_plan = (Duration::from_millis(work), plan.calls);
                let (shared, record, id) = (shared.clone(), record.clone(), id.to_string());
                spawn(move || run(&shared, run_plan, &record, &id, &body));
            }
            ["give", id, _] => {
                state.given.push(Given { id: id.into(), body: body.clone() });
                if state.waiting.remove(id) {
                    state.replies.insert(id.into(), body);
                    shared.1.notify_all();
                }
            }
            ["stop", id] if state.running.contains(id) => {
                record.line(format!("runtime: stop {id}"));
                state.stopped.insert(id.into());
                state.end(id, "cancelled", b"");
                shared.1.notify_all();
            }
            _ => {}
        }
    }
}

fn run(shared: &Shared, (work, calls): (Duration, bool), record: &Record, id: &str, body: &[u8]) {
    sleep(work);
    let mut result = format!("done: {}", String::from_utf8_lossy(body));
    let mut state = shared.0.lock().expect("the state");
    if calls && state.over.contains(id) && !state.stopped.contains(id) {
        state.stopped.insert(id.into());
        state.end(id, "cancelled", b"");
    }
    if calls && !state.stopped.contains(id) {
        state.waiting.insert(id.into());
        let call = format!("note {}", String::from_utf8_lossy(body));
        state.notice(|number| format!("wants {number} {id} {}\r\n{call}\r\n", call.len()).into_bytes());
        while !state.replies.contains_key(id) && !state.stopped.contains(id) {
            state = shared.1.wait(state).expect("the state");
        }
        if let Some(reply) = state.replies.remove(id) {
            result += &format!(" with {}", String::from_utf8_lossy(&reply));
        }
        drop(state);
        sleep(work);
        state = shared.0.lock().expect("the state");
    }
    if !state.stopped.contains(id) {
        record.line(format!("runtime: end {id} complete {result}"));
        state.completed += 1;
        state.end(id, "complete", result.as_bytes());
    }
}
