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
    work_left_s: BTreeMap<RequestId, f64>,
    advanced_to: Timestamp,
}

impl Cores {
    /// Idle cores at full speed.
    pub fn new(cores: f64, contention_threshold_per_core: f64) -> Self {
        Self {
            cores,
            contention_threshold_per_core,
            speed: 1.0,
            work_left_s: BTreeMap::new(),
            advanced_to: Timestamp::default(),
        }
    }

    /// How many requests run.
    pub fn running_count(&self) -> usize {
        self.work_left_s.len()
    }

    /// Whether a request runs.
    pub fn is_running(&self, request: RequestId) -> bool {
        self.work_left_s.contains_key(&request)
    }

    /// Work done for each running request in a second.
    fn speed_per_request(&self) -> f64 {
        let running = self.work_left_s.len().max(1) as f64;
        let contention = (running / (self.cores * self.contention_threshold_per_core)).max(1.0);
        (self.cores / running).min(1.0) * self.speed / contention
    }

    fn advance(&mut self, now: Timestamp) {
        let done = (now - self.advanced_to).secs() * self.speed_per_request();
        self.work_left_s.values_mut().for_each(|left| *left -= done);
        self.advanced_to = now;
    }

    /// Starts this many core seconds of work for a request.
    pub fn start(&mut self, now: Timestamp, request: RequestId, work_s: f64) {
        self.advance(now);
        self.work_left_s.insert(request, work_s);
    }

    /// Takes a request off the cores; returns whether it ran.
    pub fn remove(&mut self, now: Timestamp, request: RequestId) -> bool {
        self.advance(now);
        self.work_left_s.remove(&request).is_some()
    }

    /// Those whose work is done.
    pub fn take_finished(&mut self, now: Timestamp) -> Vec<RequestId> {
        self.advance(now);
        let done: Vec<RequestId> =
            self.work_left_s.iter().filter(|(_, left)| **left <= 1e-9).map(|(request, _)| *request).collect();
        for request in &done {
            self.work_left_s.remove(request);
        }
        done
    }

    /// When the next one is done, if nothing changes.
    pub fn next_finish(&self) -> Option<Timestamp> {
        let least_work_s = self.work_left_s.values().copied().min_by(f64::total_cmp)?;
        // A microsecond more, so that it is over then.
        let after_us =
            (least_work_s.max(0.0) / self.speed_per_request().max(1e-9) * 1e6).ceil().min(1e15) as u64 + 1;
        Some(self.advanced_to + hazelspur::Duration::from_us(after_us))
    }
}
