//! Totals over the in-flight requests, kept up to date as requests come, change and go.
//!
//! Sums are kept in integers: a sum of floating-point numbers to which terms are added and from which they
//! are subtracted would drift away from the sum of the remaining terms.

use crate::request::{Request, RequestState};

/// Units of a sum per second or per kilobyte.
const SUM_UNITS: f64 = 1e12;
/// Microseconds per second.
const US_PER_S: f64 = 1e6;

/// Totals over the requests of a table.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTotals {
    counts: [u64; RequestState::COUNT],
    /// Sizes of the requests without memory of a run, in units.
    waiting_size: u128,
    /// Sizes of the requests whose run takes memory, in units.
    run_size: u128,
    /// Expected run time of the requests in the run queues, in units.
    queued_run_time: u128,
    /// Latency objectives of all requests, in microseconds.
    latency_objective_us: u128,
}

impl RequestTotals {
    /// Adds a request.
    pub(crate) fn add(&mut self, request: &Request) {
        self.counts[request.state as usize] += 1;
        *self.size_of_kind(request.state) += units(request.size_kb);
        if request.state.is_queued() {
            self.queued_run_time += units(request.expected_run_s);
        }
        self.latency_objective_us += u128::from(request.class.latency_objective.us());
    }

    /// Subtracts a request that was added in its present state.
    pub(crate) fn subtract(&mut self, request: &Request) {
        self.counts[request.state as usize] -= 1;
        *self.size_of_kind(request.state) -= units(request.size_kb);
        if request.state.is_queued() {
            self.queued_run_time -= units(request.expected_run_s);
        }
        self.latency_objective_us -= u128::from(request.class.latency_objective.us());
    }

    /// Returns the number of requests in a state.
    pub(crate) fn count(&self, state: RequestState) -> u64 {
        self.counts[state as usize]
    }

    /// Returns the size of all requests without memory of a run, in kB.
    pub(crate) fn waiting_kb(&self) -> f64 {
        self.waiting_size as f64 / SUM_UNITS
    }

    /// Returns the size of all requests whose run takes memory, started or paused, in kB.
    pub(crate) fn run_kb(&self) -> f64 {
        self.run_size as f64 / SUM_UNITS
    }

    /// Returns the expected run time of the requests in the run queues, in seconds.
    pub(crate) fn queued_run_s(&self) -> f64 {
        self.queued_run_time as f64 / SUM_UNITS
    }

    /// Returns the mean latency objective of all requests, in seconds; `None` without requests.
    pub(crate) fn mean_latency_objective_s(&self) -> Option<f64> {
        let requests: u64 = self.counts.iter().sum();
        (requests > 0).then(|| self.latency_objective_us as f64 / US_PER_S / requests as f64)
    }

    fn size_of_kind(&mut self, state: RequestState) -> &mut u128 {
        match state {
            RequestState::Queued | RequestState::AwaitingOriginal => &mut self.waiting_size,
            _ => &mut self.run_size,
        }
    }
}

/// Returns a size in kB or a time in seconds in units, at most `u64::MAX`; zero for a negative figure.
fn units(figure: f64) -> u128 {
    u128::from((figure * SUM_UNITS) as u64)
}
