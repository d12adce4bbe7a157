//! A server's cores: what runs shares them equally (processor sharing), and past a crowd of so many times the
//! cores less gets done, by the crowd over that bound.

use hazelspur::{RequestId, Timestamp};
use std::collections::BTreeMap;

/// The cores of one server and the requests on them.
#[derive(Clone, Debug)]
pub struct Cores {
    pub cores: f64,
    /// Past so many running requests for each core everything gets slower.
    pub contention_threshold_per_core: f64,
    /// 1 for a well machine; 0.2 for one that is slow by 5.
    pub speed: f64,
    /// Seconds of work left of each.
    running: BTreeMap<RequestId, f64>,
    since: Timestamp,
}

impl Cores {
    /// Idle cores at full speed.
    pub fn new(cores: f64, contention_threshold_per_core: f64) -> Self {
        Self {
            cores,
            contention_threshold_per_core,
            speed: 1.0,
            running: BTreeMap::new(),
            since: Timestamp::default(),
        }
    }

    /// How many requests run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Whether a request runs.
    pub fn is_running(&self, request: RequestId) -> bool {
        self.running.contains_key(&request)
    }

    /// Work done for each running request in a second.
    fn share(&self) -> f64 {
        let running = self.running.len().max(1) as f64;
        let crowd = (running / (self.cores * self.contention_threshold_per_core)).max(1.0);
        (self.cores / running).min(1.0) * self.speed / crowd
    }

    fn pass(&mut self, now: Timestamp) {
        let done = (now - self.since).secs() * self.share();
        self.running.values_mut().for_each(|left| *left -= done);
        self.since = now;
    }

    /// Starts this many core seconds of work for a request.
    pub fn start(&mut self, now: Timestamp, request: RequestId, work: f64) {
        self.pass(now);
        self.running.insert(request, work);
    }

    /// Takes a request off the cores; returns whether it ran.
    pub fn remove(&mut self, now: Timestamp, request: RequestId) -> bool {
        self.pass(now);
        self.running.remove(&request).is_some()
    }

    /// Those whose work is done.
    pub fn take_finished(&mut self, now: Timestamp) -> Vec<RequestId> {
        self.pass(now);
        let done: Vec<RequestId> =
            self.running.iter().filter(|(_, left)| **left <= 1e-9).map(|(request, _)| *request).collect();
        for request in &done {
            self.running.remove(request);
        }
        done
    }

    /// When the next one is done, if nothing changes.
    pub fn next_finish(&self) -> Option<Timestamp> {
        let least = self.running.values().copied().min_by(f64::total_cmp)?;
        // A microsecond more, so that it is over then.
        let after = (least.max(0.0) / self.share().max(1e-9) * 1e6).ceil().min(1e15) as u64 + 1;
        Some(self.since + hazelspur::Duration::from_us(after))
    }
}
