//! A worker process: reads the platform's lines, runs each request for a while on a number of cores, asks for one
//! dependency call if configured to, keeps its notices for a link that reconnects, and counts the runs of each body.

use crate::arrival::ArrivalReader;
use crate::{WRITE_TIMEOUT, now_ms};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How often the cores are simulated.
const TICK: Duration = Duration::from_millis(1);
/// A run that no server has claimed for so long ends at its call.
const ORPHAN_TIMEOUT: Duration = Duration::from_millis(300);
/// Notices kept for a link that reconnects.
const NOTICE_CAPACITY: usize = 4096;

/// How requests run here.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSettings {
    /// Time of a run on a core of its own, in milliseconds.
    pub run_ms: u64,
    /// Whether each run makes a dependency call.
    pub makes_calls: bool,
    /// Every nth run ends in an error; 0 stands for none.
    pub fail_every: u64,
    /// Cores that the runs share.
    pub cores: usize,
    /// A run that waits for its call this long after it began ends there, in milliseconds; 0 stands for never.
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
    remaining_ms: f64,
    waits_for_call: bool,
    call_requested: bool,
    /// Since when no server that is known to run it has a link; its requests are over.
    orphaned_at: Option<Instant>,
    began_at: Instant,
}

/// What the worker runs and has counted.
#[derive(Default)]
pub struct WorkerState {
    /// How requests run now.
    pub settings: WorkerSettings,
    /// When the starts of the runs of each body can have come at the earliest, in Unix milliseconds.
    pub runs: BTreeMap<Vec<u8>, Vec<u64>>,
    /// Runs that ended.
    pub ended: u64,
    /// When each request's run was started, in Unix milliseconds.
    pub started: BTreeMap<String, u64>,
    /// The highest number of concurrent runs so far.
    pub max_concurrent_runs: usize,
    running: Vec<Run>,
    notices: VecDeque<(u64, Vec<u8>)>,
    last_notice_number: u64,
    link: Option<TcpStream>,
    /// Closes every link that is opened.
    pub refuses_links: bool,
    /// Keeps neither runs nor ids, for long runs.
    pub discards_history: bool,
}

/// A worker process on a loopback address.
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    worker_state: Arc<Mutex<WorkerState>>,
}

impl Worker {
    /// Starts on this address.
    ///
    /// # Panics
    ///
    /// Where the address is not a loopback address, or is taken.
    pub fn start(address: &str, settings: WorkerSettings) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let address = listener.local_addr().expect("an address");
        assert!(address.ip().is_loopback(), "test doubles stay on loopback");
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
                worker_state.lock().expect("no panic before").advance(elapsed.as_secs_f64() * 1000.0);
                drop(worker_state);
                sleep(TICK);
            }
        });
        Self { address, worker_state }
    }

    /// Its state, locked.
    pub fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.worker_state.lock().expect("no panic before")
    }
}

impl WorkerState {
    /// Whether nothing runs.
    pub fn idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Breaks the link; its server connects again.
    pub fn break_link(&mut self) {
        if let Some(link) = self.link.take() {
            // The peer may have closed it.
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
        // A start that is sent once more after a break is the same run.
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

    /// The cores work on what is running and not at a call, each on an equal share.
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
                // Its request is over: it ends at its call.
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

    /// Carries out a command that came over this link.
    fn handle_command(&mut self, words: &[&str], body: Vec<u8>, arrived_after_ms: u64, link: &TcpStream) {
        match *words {
            ["sync", last] => {
                let last_received: u64 = last.parse().unwrap_or(0);
                if last_received == 0 {
                    // A new life of the server; one that knows a run sends its start once more.
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
        let mut worker_state = worker_state.lock().expect("no panic before");
        if worker_state.refuses_links {
            return;
        }
        worker_state.handle_command(&words, body, arrived_after_ms, stream);
        line.clear();
    }
}
