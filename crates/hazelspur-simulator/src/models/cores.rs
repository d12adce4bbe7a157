//! Model of a server's cores. Running requests share the cores equally (processor sharing). Above a threshold
//! of running requests for each core, total throughput is divided by running requests over that threshold.

use hazelspur::{RequestId, Timestamp};
use std::collections::BTreeMap;

/// The cores of one server and the requests on them.
#[derive(Clone, Debug)]
pub struct Cores {
    /// Number of cores.
    pub cores: f64,
    /// Running requests for each core above which all requests slow down.
    pub contention_threshold_per_core: f64,
    /// Speed factor of the cores: 1 for a healthy machine, 0.2 for one that is five times slower.
    pub speed: f64,
    /// Core seconds of work left of each running request, as of `advanced_to`.
    work_left_s: BTreeMap<RequestId, f64>,
    advanced_to: Timestamp,
}

impl Cores {
    /// Returns idle cores at full speed.
    pub fn new(cores: f64, contention_threshold_per_core: f64) -> Self {
        Self {
            cores,
            contention_threshold_per_core,
            speed: 1.0,
            work_left_s: BTreeMap::new(),
            advanced_to: Timestamp::default(),
        }
    }

    /// Returns the number of running requests.
    pub fn running_count(&self) -> usize {
        self.work_left_s.len()
    }

    /// Returns whether a request is running.
    pub fn is_running(&self, request: RequestId) -> bool {
        self.work_left_s.contains_key(&request)
    }

    /// Returns the core seconds of work done for each running request in a second.
    fn speed_per_request(&self) -> f64 {
        let running = self.work_left_s.len().max(1) as f64;
        let contention = (running / (self.cores * self.contention_threshold_per_core)).max(1.0);
        (self.cores / running).min(1.0) * self.speed / contention
    }

    /// Subtracts the work done up to `now`.
    fn advance(&mut self, now: Timestamp) {
        let done = (now - self.advanced_to).secs() * self.speed_per_request();
        self.work_left_s.values_mut().for_each(|left| *left -= done);
        self.advanced_to = now;
    }

    /// Starts `work_s` core seconds of work for a request.
    pub fn start(&mut self, now: Timestamp, request: RequestId, work_s: f64) {
        self.advance(now);
        self.work_left_s.insert(request, work_s);
    }

    /// Removes a request from the cores, and returns whether it was running.
    pub fn remove(&mut self, now: Timestamp, request: RequestId) -> bool {
        self.advance(now);
        self.work_left_s.remove(&request).is_some()
    }

    /// Removes the requests whose work is done, and returns them.
    pub fn take_finished(&mut self, now: Timestamp) -> Vec<RequestId> {
        self.advance(now);
        let done: Vec<RequestId> =
            self.work_left_s.iter().filter(|(_, left)| **left <= 1e-9).map(|(request, _)| *request).collect();
        for request in &done {
            self.work_left_s.remove(request);
        }
        done
    }

    /// Returns when the next request finishes if nothing changes until then; `None` while the cores are idle.
    pub fn next_finish(&self) -> Option<Timestamp> {
        let least_work_s = self.work_left_s.values().copied().min_by(f64::total_cmp)?;
        // One microsecond more, so that rounding leaves no work at that time.
        let after_us =
            (least_work_s.max(0.0) / self.speed_per_request().max(1e-9) * 1e6).ceil().min(1e15) as u64 + 1;
        Some(self.advanced_to + hazelspur::Duration::from_us(after_us))
    }
}
