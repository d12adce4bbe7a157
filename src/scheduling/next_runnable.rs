//! Which queued request runs next, once another one may run.

use crate::request::{Request, RunLength};
use crate::request_table::RequestTable;
use crate::scheduling::class_profile::ClassProfiles;
use crate::scheduling::queue_order;
use crate::{RequestId, Timestamp};

/// Long runs take at most this share of the cores while short ones wait.
const MAX_LONG_RUN_SHARE_OF_CORES: f64 = 0.5;

/// The inputs of the rule besides the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NextRunRule<'a> {
    /// The time now.
    pub(crate) now: Timestamp,
    /// Cores of the runtime.
    pub(crate) cores: f64,
    /// Whether the dependency is known to be out of reach.
    pub(crate) is_breaker_open: bool,
    /// Memory that is free, in kB.
    pub(crate) free_memory_kb: f64,
    /// Memory of a running request over that of a queued one.
    pub(crate) run_memory_factor: f64,
    /// The profiles of the classes.
    pub(crate) profiles: &'a ClassProfiles,
}

impl NextRunRule<'_> {
    /// The request that runs next.
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

    /// Whether the request is expected to fail without the dependency.
    fn needs_call(&self, request: &Request) -> bool {
        !request.allows_degraded_response()
            && self.profiles.expected_call_time_s(request.class_id) > Some(0.0)
    }
}
