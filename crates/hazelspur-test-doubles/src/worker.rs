//! A worker that speaks the platform's line protocol with its server.
//!
//! It runs each request for a configured time on simulated cores, asks for one dependency call for each run
//! if configured to, and answers with notices. Recent notices are kept and sent again when the server
//! reconnects. It records the starts of the runs of each request body.

use crate::arrival::ArrivalReader;
use crate::{WRITE_TIMEOUT, now_ms};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Time between two steps of the simulated cores.
const TICK: Duration = Duration::from_millis(1);
/// Time after which an orphaned run that waits for its call is cancelled.
const ORPHAN_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of recent notices that are kept for a server that reconnects.
const NOTICE_CAPACITY: usize = 4096;

/// Time, cores, calls and failures of the runs.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSettings {
    /// Time that a run takes on a core of its own, in milliseconds.
    pub run_ms: u64,
    /// Whether each run makes a dependency call.
    pub makes_calls: bool,
    /// Interval of failures: every nth run ends in an error; with 0 none does.
    pub fail_every: u64,
    /// Number of cores that the runs share.
    pub cores: usize,
    /// Time after the start of a run, in milliseconds, from which on the run is cancelled if it waits for its
    /// call; 0 stands for no such time.
    pub call_deadline_ms: u64,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        Self { run_ms: 0, makes_calls: false, fail_every: 0, cores: 2, call_deadline_ms: 0 }
    }
}

struct Run {
    id: String,
    body: Vec<u8>,
    /// Time that the run still needs on a core of its own.
    remaining_ms: f64,
    waits_for_call: bool,
    /// Whether the call was asked for; true from the start for a run without a call.
    call_requested: bool,
    /// Time at which a server connected that knows of no earlier notice, as after a restart. `None` before
    /// that, and again once the server has sent the start of the run once more.
    orphaned_at: Option<Instant>,
    began_at: Instant,
}

/// Current runs, and counts of earlier ones.
#[derive(Default)]
pub struct WorkerState {
    /// Settings for runs from now on.
    pub settings: WorkerSettings,
    /// Earliest possible arrival of the start command of each run, by request body, in Unix milliseconds.
    pub runs: BTreeMap<Vec<u8>, Vec<u64>>,
    /// Number of runs that completed or failed; cancelled ones are not counted.
    pub ended: u64,
    /// Time at which the worker handled the start command of each run, by request id, in Unix milliseconds.
    pub started: BTreeMap<String, u64>,
    /// Highest number of concurrent runs so far.
    pub max_concurrent_runs: usize,
    running: Vec<Run>,
    /// Recent notices, by number.
    notices: VecDeque<(u64, Vec<u8>)>,
    last_notice_number: u64,
    /// Connection of the server; `None` while there is none.
    link: Option<TcpStream>,
    /// Whether each connection is closed at the next line that is read on it.
    pub refuses_links: bool,
    /// Whether `runs` and `started` are left empty, so that memory stays bounded in long tests.
    pub discards_history: bool,
}

/// A worker on a loopback address, with threads of its own.
pub struct Worker {
    /// Address on which it listens.
    pub address: SocketAddr,
    worker_state: Arc<Mutex<WorkerState>>,
}

impl Worker {
    /// Starts a worker that listens on this address.
    ///
    /// # Panics
    ///
    /// Panics if the address is not a loopback address or is in use.
    pub fn start(address: &str, settings: WorkerSettings) -> Self {
        let listener = TcpListener::bind(address).expect("address is free");
        let address = listener.local_addr().expect("valid address");
        assert!(address.ip().is_loopback(), "address of a test double is not a loopback address");
        let worker_state = Arc::new(Mutex::new(WorkerState { settings, ..WorkerState::default() }));
        let accept_state = worker_state.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let link_state = accept_state.clone();
                spawn(move || serve(&link_state, &stream));
            }
        });
        let weak_state = Arc::downgrade(&worker_state);
        spawn(move || {
            let mut last_tick = Instant::now();
            while let Some(worker_state) = weak_state.upgrade() {
                let elapsed = std::mem::replace(&mut last_tick, Instant::now()).elapsed();
                worker_state.lock().expect("lock is not poisoned").advance(elapsed.as_secs_f64() * 1000.0);
                drop(worker_state);
                sleep(TICK);
            }
        });
        Self { address, worker_state }
    }

    /// Returns the state, locked until the guard is dropped.
    pub fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.worker_state.lock().expect("lock is not poisoned")
    }
}

impl WorkerState {
    /// Returns whether nothing runs.
    pub fn idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Breaks the connection of the server, which is expected to connect again.
    pub fn break_link(&mut self) {
        if let Some(link) = self.link.take() {
            // Shutdown fails if the peer has closed the connection already.
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    fn send(&mut self, bytes: &[u8]) {
        if let Some(link) = &mut self.link
            && link.write_all(bytes).is_err()
        {
            self.link = None;
        }
    }

    fn send_notice(&mut self, format_notice: impl FnOnce(u64) -> Vec<u8>) {
        self.last_notice_number += 1;
        let bytes = format_notice(self.last_notice_number);
        self.send(&bytes);
        self.notices.push_back((self.last_notice_number, bytes));
        if self.notices.len() > NOTICE_CAPACITY {
            self.notices.pop_front();
        }
    }

    fn start_run(&mut self, id: &str, body: Vec<u8>, arrived_after_ms: u64) {
        // After a reconnect the server sends the start of a run that it knows once more: it is the same run.
        if self.started.contains_key(id) {
            let run = self.running.iter_mut().find(|run| run.id == id);
            run.into_iter().for_each(|run| run.orphaned_at = None);
            return;
        }
        if !self.discards_history {
            self.started.insert(id.into(), now_ms());
            self.runs.entry(body.clone()).or_default().push(arrived_after_ms);
        }
        let calls = self.settings.makes_calls;
        let remaining_ms = self.settings.run_ms as f64;
        self.running.push(Run {
            id: id.into(),
            body,
            remaining_ms,
            waits_for_call: false,
            call_requested: !calls,
            orphaned_at: None,
            began_at: Instant::now(),
        });
        self.max_concurrent_runs = self.max_concurrent_runs.max(self.running.len());
        if self.settings.run_ms == 0 {
            self.advance(0.0);
        }
    }

    /// Advances the runs that don't wait for a call, each by an equal share of the cores, and ends those that
    /// are done. `elapsed_ms` is the time since the last step.
    fn advance(&mut self, elapsed_ms: f64) {
        let computing = self.running.iter().filter(|run| !run.waits_for_call).count().max(1);
        let share = (self.settings.cores as f64 / computing as f64).min(1.0);
        let call_deadline = Duration::from_millis(self.settings.call_deadline_ms);
        let mut index = 0;
        while index < self.running.len() {
            let run = &mut self.running[index];
            let overdue = call_deadline > Duration::ZERO && run.began_at.elapsed() >= call_deadline;
            if run.waits_for_call
                && (overdue || run.orphaned_at.is_some_and(|since| since.elapsed() >= ORPHAN_TIMEOUT))
            {
                // The server has given the request up, so no result of the call will come.
                let id = self.running.swap_remove(index).id;
                self.send_notice(|number| format!("end {number} {id} cancelled 0 0\r\n\r\n").into_bytes());
                continue;
            }
            if run.waits_for_call {
                index += 1;
                continue;
            }
            run.remaining_ms -= elapsed_ms * share;
            if run.remaining_ms > 0.0 {
                index += 1;
            } else if run.call_requested {
                let run = self.running.swap_remove(index);
                self.finish_run(&run);
            } else {
                (run.waits_for_call, run.call_requested) = (true, true);
                let id = run.id.clone();
                self.send_notice(|number| format!("wants {number} {id} 4\r\nnote\r\n").into_bytes());
                index += 1;
            }
        }
    }

    fn finish_run(&mut self, run: &Run) {
        self.ended += 1;
        let failed = self.settings.fail_every > 0 && self.ended.is_multiple_of(self.settings.fail_every);
        let (outcome, result) = if failed { ("error", Vec::new()) } else { ("complete", run.body.clone()) };
        let (id, ms) = (run.id.clone(), self.settings.run_ms);
        self.send_notice(|number| {
            let mut line = format!("end {number} {id} {outcome} {ms} {}\r\n", result.len()).into_bytes();
            line.extend_from_slice(&result);
            line.extend_from_slice(b"\r\n");
            line
        });
    }

    /// Carries out a command that the server sent over this connection.
    fn handle_command(&mut self, words: &[&str], body: Vec<u8>, arrived_after_ms: u64, link: &TcpStream) {
        match *words {
            ["sync", last] => {
                let last_received: u64 = last.parse().unwrap_or(0);
                if last_received == 0 {
                    // A new incarnation of the server. One that knows a run sends its start once more.
                    self.running.iter_mut().for_each(|run| run.orphaned_at = Some(Instant::now()));
                }
                self.link = link.try_clone().ok();
                self.send(b"ready hot 60000\r\n");
                let repeated: Vec<u8> = self
                    .notices
                    .iter()
                    .filter(|(number, _)| *number > last_received)
                    .flat_map(|(_, bytes)| bytes.clone())
                    .collect();
                self.send(&repeated);
            }
            ["gauges", tag] => {
                let computing = self.running.iter().filter(|run| !run.waits_for_call).count();
                let load = format!("load {tag} 0.1 {computing} 0.0 1\r\n");
                self.send(load.as_bytes());
            }
            ["start", id, ..] => self.start_run(id, body, arrived_after_ms),
            ["give", id, _] => {
                if let Some(run) = self.running.iter_mut().find(|run| run.id == id) {
                    run.waits_for_call = false;
                }
                if self.settings.run_ms == 0 {
                    self.advance(0.0);
                }
            }
            ["stop", id] => self.cancel_run(id),
            _ => self.send(b"info 0 not understood\r\n"),
        }
    }

    fn cancel_run(&mut self, id: &str) {
        if let Some(index) = self.running.iter().position(|run| run.id == id) {
            self.running.swap_remove(index);
            let id = id.to_string();
            self.send_notice(|number| format!("end {number} {id} cancelled 0 0\r\n\r\n").into_bytes());
        }
    }
}

fn serve(worker_state: &Mutex<WorkerState>, stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let mut reader = BufReader::new(ArrivalReader::new(stream));
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|count| count > 0) {
        let words: Vec<String> = line.split_whitespace().map(str::to_string).collect();
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let mut body = Vec::new();
        if let ["start" | "give", .., length] = words[..] {
            body = vec![0; length.parse::<usize>().unwrap_or(0).min(1 << 20) + 2];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            body.truncate(body.len() - 2);
        }
        let arrived_after_ms = reader.get_ref().arrived_after_ms();
        let mut worker_state = worker_state.lock().expect("lock is not poisoned");
        if worker_state.refuses_links {
            return;
        }
        worker_state.handle_command(&words, body, arrived_after_ms, stream);
        line.clear();
    }
}
