//! A runtime as the protocol page describes it: it runs what it is told to on a few cores that all runs
//! share, numbers its notices, keeps the last 4,000 and sends those again that a new link has not read.
//! Ids are those of deliveries, which the runtime cannot know beforehand, so it takes any id once.

use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

struct Run {
    body: Vec<u8>,
    remaining: f64,
    began: Instant,
}

struct State {
    name: String,
    record: Record,
    began: Instant,
    cores: usize,
    run_ms: f64,
    running: BTreeMap<String, Run>,
    over: BTreeSet<String>,
    notices: VecDeque<(u64, Vec<u8>)>,
    last_notice: u64,
    link: Option<TcpStream>,
    /// Bodies of the runs that were started, in order.
    started: Vec<Vec<u8>>,
    completed: Vec<Vec<u8>>,
}

pub struct Worker {
    pub address: SocketAddr,
    pub cores: usize,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

impl Worker {
    /// Starts a runtime whose runs take `run_ms` on a core of their own.
    pub fn start(record: &Record, name: &str, cores: usize, run_ms: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            name: name.into(),
            record: record.clone(),
            began: Instant::now(),
            cores,
            run_ms: run_ms as f64,
            running: BTreeMap::new(),
            over: BTreeSet::new(),
            notices: VecDeque::new(),
            last_notice: 0,
            link: None,
            started: Vec::new(),
            completed: Vec::new(),
        }));
        let accept_state = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = accept_state.clone();
                std::thread::spawn(move || serve(&state, stream));
            }
        });
        let tick_state = state.clone();
        std::thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                std::thread::sleep(Duration::from_millis(2));
                let now = Instant::now();
                lock(&tick_state).advance((now - last).as_secs_f64() * 1e3);
                last = now;
            }
        });
        Ok(Self { address, cores, state })
    }

    /// Returns the bodies of all runs that were started, in order.
    pub fn started(&self) -> Vec<Vec<u8>> {
        lock(&self.state).started.clone()
    }

    /// Returns the bodies of all runs that were completed, in order.
    pub fn completed(&self) -> Vec<Vec<u8>> {
        lock(&self.state).completed.clone()
    }
}

/// The result that a run makes for a body.
pub fn result_of(body: &[u8]) -> Vec<u8> {
    [b"result of ", body].concat()
}

impl State {
    fn send(&mut self, bytes: &[u8]) {
        if let Some(link) = &mut self.link
            && link.write_all(bytes).is_err()
        {
            self.link = None;
        }
    }

    fn notice(&mut self, write: impl FnOnce(u64) -> Vec<u8>) {
        self.last_notice += 1;
        let bytes = write(self.last_notice);
        self.notices.push_back((self.last_notice, bytes.clone()));
        if self.notices.len() > 4000 {
            self.notices.pop_front();
        }
        self.send(&bytes);
    }

    fn end(&mut self, id: &str, how: &str, ms: u128, result: &[u8]) {
        self.over.insert(id.to_string());
        self.notice(|number| {
            let mut bytes = format!("end {number} {id} {how} {ms} {}\r\n", result.len()).into_bytes();
            bytes.extend(result);
            bytes.extend(b"\r\n");
            bytes
        });
    }

    fn advance(&mut self, elapsed_ms: f64) {
        if self.running.is_empty() {
            return;
        }
        let speed = (self.cores as f64 / self.running.len() as f64).min(1.0);
        let mut ended = Vec::new();
        for (id, run) in &mut self.running {
            run.remaining -= elapsed_ms * speed;
            if run.remaining <= 0.0 {
                ended.push(id.clone());
            }
        }
        for id in ended {
            let Some(run) = self.running.remove(&id) else { continue };
            let text = String::from_utf8_lossy(&run.body).into_owned();
            self.record.add(format!("{}: run of {text:?} complete", self.name));
            let result = result_of(&run.body);
            self.completed.push(run.body);
            self.end(&id, "complete", run.began.elapsed().as_millis(), &result);
        }
    }

    fn command(&mut self, words: &[&str], body: Vec<u8>) -> bool {
        match words {
            ["sync", last] => {
                let Ok(last) = last.parse::<u64>() else { return false };
                let up = self.began.elapsed().as_millis();
                self.send(format!("ready hot {up}\r\n").as_bytes());
                let missed: Vec<Vec<u8>> =
                    self.notices.iter().filter(|(n, _)| *n > last).map(|(_, bytes)| bytes.clone()).collect();
                for bytes in missed {
                    self.send(&bytes);
                }
            }
            ["start", id, class, _length] => {
                if self.running.contains_key(*id) {
                    return true;
                }
                if self.over.contains(*id) {
                    self.end(id, "unknown", 0, &[]);
                    return true;
                }
                let text = String::from_utf8_lossy(&body).into_owned();
                self.record.add(format!("{}: run of {text:?} as {class} started", self.name));
                self.started.push(body.clone());
                let run = Run { body, remaining: self.run_ms, began: Instant::now() };
                self.running.insert(id.to_string(), run);
            }
            ["stop", id] => {
                if let Some(run) = self.running.remove(*id) {
                    let text = String::from_utf8_lossy(&run.body).into_owned();
                    self.record.add(format!("{}: run of {text:?} stopped", self.name));
                    self.end(id, "cancelled", run.began.elapsed().as_millis(), &[]);
                }
            }
            ["give", _id, _length] => {}
            ["gauges", tag] => {
                let busy = self.running.len().min(self.cores) as f64 / self.cores as f64;
                let line = format!("load {tag} {busy:.2} {} 0.1 4\r\n", self.running.len());
                self.send(line.as_bytes());
            }
            _ => return false,
        }
        true
    }
}

fn serve(state: &Mutex<State>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (Ok(link), Ok(own)) = (stream.try_clone(), stream.try_clone()) else { return };
    {
        let mut state = lock(state);
        if let Some(before) = state.link.replace(link) {
            let _ = before.shutdown(Shutdown::Both);
        }
    }
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            break;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let mut body = Vec::new();
        if matches!(words.first(), Some(&"start" | &"give")) {
            let Some(length) = words.last().and_then(|length| length.parse::<usize>().ok()) else { break };
            body = vec![0; length + 2];
            if reader.read_exact(&mut body).is_err() {
                break;
            }
            body.truncate(length);
        }
        if !lock(state).command(&words, body) {
            break;
        }
    }
    let _ = own.shutdown(Shutdown::Both);
}
