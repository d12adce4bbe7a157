//! The order of the run queues: value per expected work, in steps, so that near equals run by their
//! objectives.

use crate::config::settings::ValueUnit;
use crate::request::Request;
use std::cmp::Ordering;

/// How much more a request of an active session counts.
const ACTIVE_SESSION_FACTOR: f64 = 1.5;
/// Steps of the rank for each doubling of the value.
const RANK_STEPS_PER_OCTAVE: f64 = 2.0;

/// What makes the value of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestValue {
    /// The class's weight.
    pub(crate) priority_weight: f64,
    /// Whether the request's session is active.
    pub(crate) has_active_session: bool,
    /// What the tenant's quota leaves of the value, from 0 to 1.
    pub(crate) quota_factor: f64,
    /// Run time expected, in seconds.
    pub(crate) expected_run_s: f64,
    /// In what the operator counts value.
    pub(crate) unit: ValueUnit,
}

impl RequestValue {
    /// The rank: the logarithm of value per expected work, in whole steps. Where the operator counts value by
    /// work, requests of any length are worth the same per unit of work.
    pub(crate) fn rank(&self) -> f64 {
        let session_factor = if self.has_active_session { ACTIVE_SESSION_FACTOR } else { 1.0 };
        let weight = self.priority_weight * session_factor;
        let work = match self.unit {
            ValueUnit::Work => 1.0,
            ValueUnit::Request => self.expected_run_s,
        };
        (RANK_STEPS_PER_OCTAVE * (weight * self.quota_factor / work).log2()).round()
    }
}

/// Which of two requests runs first: paused ones, then the higher rank, the earlier objective, the earlier
/// arrival.
pub(crate) fn compare(a: &Request, b: &Request) -> Ordering {
    let by_pause = b.is_paused().cmp(&a.is_paused());
    let by_rank = b.rank.total_cmp(&a.rank);
    let by_objective = a.objective_at.cmp(&b.objective_at);
    by_pause.then(by_rank).then(by_objective).then(a.sequence.cmp(&b.sequence))
}
