//! Selects the queued request that runs next, once another run may start.

use crate::request::{Request, RunLength};
use crate::request_table::RequestTable;
use crate::scheduling::class_profile::ClassProfiles;
use crate::scheduling::queue_order;
use crate::{RequestId, Timestamp};

/// Maximum share of the cores that long runs take while short ones wait.
const MAX_LONG_RUN_SHARE_OF_CORES: f64 = 0.5;

/// Inputs of the rule besides the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NextRunRule<'a> {
    /// Present time.
    pub(crate) now: Timestamp,
    /// Cores of the worker process.
    pub(crate) cores: f64,
    /// Whether the circuit breaker of the dependency is open.
    pub(crate) is_breaker_open: bool,
    /// Free memory, in kB.
    pub(crate) free_memory_kb: f64,
    /// Memory of a running request divided by that of a queued one.
    pub(crate) run_memory_factor: f64,
    /// Profiles of the request classes.
    pub(crate) profiles: &'a ClassProfiles,
}

impl NextRunRule<'_> {
    /// Returns the request that runs next.
    pub(crate) fn choose(&self, requests: &RequestTable) -> Option<RequestId> {
        let short = self.first_runnable(requests, RunLength::Short);
        let long = self.first_runnable(requests, RunLength::Long);
        let (Some(short), Some(long)) = (short, long) else {
            return short.or(long).map(|request| request.id);
        };
        let is_long_better = queue_order::compare(long, short).is_lt();
        let runs_long = is_long_better && self.may_start_long_run(requests);
        Some(if runs_long { long.id } else { short.id })
    }

    fn may_start_long_run(&self, requests: &RequestTable) -> bool {
        let long_runs = requests.running().filter(|request| request.run_length == RunLength::Long);
        (long_runs.count() as f64) < self.cores * MAX_LONG_RUN_SHARE_OF_CORES
    }

    fn first_runnable<'r>(&self, requests: &'r RequestTable, length: RunLength) -> Option<&'r Request> {
        requests.queue(length).find(|request| self.is_runnable(request))
    }

    fn is_runnable(&self, request: &Request) -> bool {
        let extra_memory_kb = request.size_kb * (self.run_memory_factor - 1.0);
        let fits_in_memory = request.is_paused() || extra_memory_kb <= self.free_memory_kb;
        let is_blocked = self.is_breaker_open && self.needs_call(request);
        request.is_admitted && !is_blocked && fits_in_memory && self.now < request.deadline
    }

    /// Returns whether the request is expected to make a dependency call and fails without it.
    fn needs_call(&self, request: &Request) -> bool {
        !request.allows_degraded_response()
            && self.profiles.expected_call_time_s(request.class_id) > Some(0.0)
    }
}
