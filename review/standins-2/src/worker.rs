//! A runtime as the protocol page describes it: it runs what it is told to on a few cores that all runs
//! share, asks for calls at moments of each run's own, numbers its notices, keeps the last 4,000 and sends
//! those again that a new link has not read. It takes any id once. It carries out each command as soon as it
//! has read it, and loses none that it has read when its link breaks.

use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, mpsc};
use std::time::{Duration, Instant};

/// Longest time for which a run waits at a call; its request is over by then.
const LONGEST_CALL: Duration = Duration::from_secs(6);

/// How runs go.
#[derive(Clone, Copy, Default)]
pub struct Work {
    pub cores: usize,
    /// Time that a run takes on a core of its own, in milliseconds.
    pub run_ms: u64,
    /// Calls of each run.
    pub calls: usize,
}

struct Run {
    body: Vec<u8>,
    remaining: f64,
    began: Instant,
    /// What remains at each call that is still to be asked for, the last call first.
    call_points: Vec<f64>,
    /// Number of the call that the run waits for, and since when.
    waits: Option<(usize, Instant)>,
    /// Replies to its calls, as the server gave them.
    replies: Vec<Vec<u8>>,
}

struct State {
    name: String,
    record: Record,
    began: Instant,
    work: Work,
    random: u64,
    running: BTreeMap<String, Run>,
    over: BTreeSet<String>,
    notices: VecDeque<(u64, Vec<u8>)>,
    last_notice: u64,
    link: Option<Link>,
    /// Pause between the two pieces in which notices arrive; whole without one.
    piece_gap: Option<Duration>,
    /// Bodies of the runs that were started, in order.
    started: Vec<Vec<u8>>,
    completed: Vec<Vec<u8>>,
    /// Replies that were given for another call than the one that the run waited for.
    wrong_replies: Vec<String>,
}

/// The server's link, and what is to be written to it.
struct Link {
    stream: TcpStream,
    out: mpsc::Sender<(Vec<u8>, Option<Duration>)>,
}

impl Link {
    fn new(stream: TcpStream, mut writer: TcpStream) -> Self {
        let (out, pieces) = mpsc::channel::<(Vec<u8>, Option<Duration>)>();
        std::thread::spawn(move || {
            for (bytes, gap) in pieces {
                let (head, tail) = bytes.split_at(if gap.is_some() { bytes.len() / 2 } else { bytes.len() });
                let is_written = writer.write_all(head).is_ok() && {
                    gap.into_iter().for_each(std::thread::sleep);
                    writer.write_all(tail).is_ok()
                };
                if !is_written {
                    return;
                }
            }
        });
        Self { stream, out }
    }
}

pub struct Worker {
    pub address: SocketAddr,
    pub work: Work,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

impl Worker {
    pub fn start(record: &Record, name: &str, work: Work) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            name: name.into(),
            record: record.clone(),
            began: Instant::now(),
            work,
            random: 0x9e37_79b9_7f4a_7c15,
            running: BTreeMap::new(),
            over: BTreeSet::new(),
            notices: VecDeque::new(),
            last_notice: 0,
            link: None,
            piece_gap: None,
            started: Vec::new(),
            completed: Vec::new(),
            wrong_replies: Vec::new(),
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
        Ok(Self { address, work, state })
    }

    /// Has notices arrive in two pieces from now on.
    pub fn send_in_pieces(&self, gap: Duration) {
        lock(&self.state).piece_gap = Some(gap);
    }

    /// Returns whether a server has connected.
    pub fn is_linked(&self) -> bool {
        lock(&self.state).link.is_some()
    }

    /// Breaks the link; the server is expected to connect again.
    pub fn break_link(&self) {
        let mut state = lock(&self.state);
        if let Some(link) = state.link.take() {
            state.record.add(format!("{}: the link breaks", state.name));
            let _ = link.stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns what was given for another call than the one that a run waited for.
    pub fn wrong_replies(&self) -> Vec<String> {
        lock(&self.state).wrong_replies.clone()
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

/// The result that a run without calls makes for a body.
pub fn result_of(body: &[u8]) -> Vec<u8> {
    [b"result of ", body].concat()
}

/// The body of a run's call.
pub fn call_of(body: &[u8], number: usize) -> Vec<u8> {
    [body, format!(", call {}", number + 1).as_bytes()].concat()
}

/// The ledger's reply to a call.
pub fn reply_to(call: &[u8]) -> Vec<u8> {
    [b"reply to ", call].concat()
}

impl State {
    fn send(&mut self, bytes: &[u8], gap: Option<Duration>) {
        if let Some(link) = &self.link {
            // A link that broke is replaced by the server.
            let _ = link.out.send((bytes.to_vec(), gap));
        }
    }

    /// Returns a number from 0 to under 1.
    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn notice(&mut self, write: impl FnOnce(u64) -> Vec<u8>) {
        self.last_notice += 1;
        let bytes = write(self.last_notice);
        self.notices.push_back((self.last_notice, bytes.clone()));
        if self.notices.len() > 4000 {
            self.notices.pop_front();
        }
        let gap = self.piece_gap;
        self.send(&bytes, gap);
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
        let on_cores = self.running.values().filter(|run| run.waits.is_none()).count();
        let speed = (self.work.cores as f64 / on_cores.max(1) as f64).min(1.0);
        let (mut ended, mut calling, mut given_up) = (Vec::new(), Vec::new(), Vec::new());
        for (id, run) in &mut self.running {
            if let Some((_, since)) = run.waits {
                if since.elapsed() >= LONGEST_CALL {
                    given_up.push(id.clone());
                }
                continue;
            }
            run.remaining -= elapsed_ms * speed;
            if run.call_points.last().is_some_and(|point| run.remaining <= *point) {
                run.call_points.pop();
                let number = self.work.calls - run.call_points.len() - 1;
                run.waits = Some((number, Instant::now()));
                calling.push((id.clone(), call_of(&run.body, number)));
            } else if run.remaining <= 0.0 {
                ended.push(id.clone());
            }
        }
        for (id, call) in calling {
            self.notice(|number| {
                let mut bytes = format!("wants {number} {id} {}\r\n", call.len()).into_bytes();
                bytes.extend(call);
                bytes.extend(b"\r\n");
                bytes
            });
        }
        for id in given_up {
            self.running.remove(&id);
            self.end(&id, "cancelled", 0, &[]);
        }
        for id in ended {
            let Some(run) = self.running.remove(&id) else { continue };
            let text = String::from_utf8_lossy(&run.body).into_owned();
            self.record.add(format!("{}: run of {text:?} complete", self.name));
            let mut result = result_of(&run.body);
            for reply in &run.replies {
                result.extend([b"; ", reply.as_slice()].concat());
            }
            self.completed.push(run.body);
            self.end(&id, "complete", run.began.elapsed().as_millis(), &result);
        }
    }

    /// Takes the reply to a run's call.
    fn give(&mut self, id: &str, reply: Vec<u8>) {
        let Some(run) = self.running.get_mut(id) else { return };
        let Some((number, _)) = run.waits.take() else { return };
        let expected = reply_to(&call_of(&run.body, number));
        if reply != expected {
            let (expected, reply) = (String::from_utf8_lossy(&expected), String::from_utf8_lossy(&reply));
            let line = format!("the run waits for {expected:?} and is given {reply:?}");
            self.record.add(format!("{}: {line}", self.name));
            self.wrong_replies.push(line);
        }
        run.replies.push(reply);
    }

    fn command(&mut self, words: &[&str], body: Vec<u8>) -> bool {
        match words {
            ["sync", last] => {
                let Ok(last) = last.parse::<u64>() else { return false };
                let up = self.began.elapsed().as_millis();
                self.send(format!("ready hot {up}\r\n").as_bytes(), None);
                let missed: Vec<Vec<u8>> =
                    self.notices.iter().filter(|(n, _)| *n > last).map(|(_, bytes)| bytes.clone()).collect();
                let gap = self.piece_gap;
                for bytes in missed {
                    self.send(&bytes, gap);
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
                let run_ms = self.work.run_ms as f64;
                let mut call_points: Vec<f64> = (0..self.work.calls).map(|_| self.draw() * run_ms).collect();
                call_points.sort_by(f64::total_cmp);
                let run = Run {
                    body,
                    remaining: run_ms,
                    began: Instant::now(),
                    call_points,
                    waits: None,
                    replies: Vec::new(),
                };
                self.running.insert(id.to_string(), run);
            }
            ["stop", id] => {
                if let Some(run) = self.running.remove(*id) {
                    let text = String::from_utf8_lossy(&run.body).into_owned();
                    self.record.add(format!("{}: run of {text:?} stopped", self.name));
                    self.end(id, "cancelled", run.began.elapsed().as_millis(), &[]);
                }
            }
            ["give", id, _length] => self.give(id, body),
            ["gauges", tag] => {
                let on_cores = self.running.values().filter(|run| run.waits.is_none()).count();
                let busy = on_cores.min(self.work.cores) as f64 / self.work.cores as f64;
                self.send(format!("load {tag} {busy:.2} {on_cores} 0.1 4\r\n").as_bytes(), None);
            }
            _ => return false,
        }
        true
    }
}

fn serve(state: &Mutex<State>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (Ok(link), Ok(writer), Ok(own)) = (stream.try_clone(), stream.try_clone(), stream.try_clone()) else {
        return;
    };
    if let Some(before) = lock(state).link.replace(Link::new(link, writer)) {
        let _ = before.stream.shutdown(Shutdown::Both);
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
