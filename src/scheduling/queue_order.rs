//! The order of the run queues: by value per expected work, in coarse steps, so that requests of nearly equal
//! value run in the order of their latency objectives.

use crate::Timestamp;
use crate::config::settings::ValueUnit;
use crate::request::Request;
use std::cmp::Ordering;

/// Factor on the value of a request whose session is active.
const ACTIVE_SESSION_FACTOR: f64 = 1.5;
/// Rank steps per doubling of the value.
const RANK_STEPS_PER_OCTAVE: f64 = 2.0;

/// Inputs of the rank of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestValue {
    /// Priority weight of the request class.
    pub(crate) priority_weight: f64,
    /// Whether the session of the request is active.
    pub(crate) has_active_session: bool,
    /// Share of the value that the tenant's quota leaves, from 0 to 1.
    pub(crate) quota_factor: f64,
    /// Expected run time, in seconds.
    pub(crate) expected_run_s: f64,
    /// Unit in which the operator counts the value of served requests.
    pub(crate) unit: ValueUnit,
}

impl RequestValue {
    /// Returns the rank: the logarithm of value per expected work, in whole steps. Where the operator counts
    /// value by work, a unit of work has the same value in requests of any length.
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

/// Position of a request in queue order; the least one runs first. Paused requests come first, then the
/// higher rank, the earlier end of the latency objective and the earlier receipt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuePosition {
    is_paused: bool,
    rank: f64,
    objective_at: Timestamp,
    sequence: u64,
}

impl QueuePosition {
    /// Returns the position of a request in its present state.
    pub(crate) fn of(request: &Request) -> Self {
        Self {
            is_paused: request.is_paused(),
            rank: request.rank,
            objective_at: request.objective_at,
            sequence: request.sequence,
        }
    }

    /// Returns the position of the request in the order of receipt.
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }
}

impl Ord for QueuePosition {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_pause = other.is_paused.cmp(&self.is_paused);
        let by_rank = other.rank.total_cmp(&self.rank);
        let by_objective = self.objective_at.cmp(&other.objective_at);
        by_pause.then(by_rank).then(by_objective).then(self.sequence.cmp(&other.sequence))
    }
}

impl PartialOrd for QueuePosition {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for QueuePosition {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for QueuePosition {}

/// Compares two requests by their positions; the lesser one runs first.
pub(crate) fn compare(a: &Request, b: &Request) -> Ordering {
    QueuePosition::of(a).cmp(&QueuePosition::of(b))
}
