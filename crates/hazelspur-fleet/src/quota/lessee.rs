//! The lessee role of one server: its demands, the leases granted to it and the lease request that awaits an
//! answer. Demands and the allocator's answers come in, lease requests and shares go out.
//!
//! Invariant: a lease is counted from sending its request and is shortened by the largest clock drift, so the
//! lessee stops using it before the allocator considers it expired.

use super::CLOCK_DRIFT;
use super::config::{LimitId, QuotaConfig};
use super::manager::QuotaShare;
use super::message::{LeaseGrant, LeaseRequest};
use crate::names::MemberName;
use hazelspur::{Duration, Timestamp};

/// This server's demands, its leases and its last lease request.
#[derive(Clone, Debug)]
pub(super) struct Lessee {
    last_request_number: u32,
    pub(super) requested_at: Timestamp,
    requested_from: Option<MemberName>,
    /// Whether the last request was answered by a lease grant.
    pub(super) answered: bool,
    /// Whether the last request was sent to the allocator that another server had named.
    redirected: bool,
    /// Demand for each limit, guaranteed minimum included.
    demands: Vec<f64>,
    /// Leased amount of each shared pool.
    leased: Vec<f64>,
    leased_until: Timestamp,
    /// Whether there was a lease when `lease_change` was last called.
    had_lease: bool,
    /// The allocator, as far as this server knows.
    pub(super) allocator: Option<MemberName>,
    pub(super) next_request: Timestamp,
}

impl Lessee {
    pub(super) fn new(limits: usize, next_request: Timestamp) -> Self {
        Self {
            last_request_number: 0,
            requested_at: Timestamp::default(),
            requested_from: None,
            answered: false,
            redirected: false,
            demands: vec![0.0; limits],
            leased: vec![0.0; limits],
            leased_until: Timestamp::default(),
            had_lease: false,
            allocator: None,
            next_request,
        }
    }

    pub(super) fn set_demand(&mut self, config: &QuotaConfig, limit: LimitId, amount: f64) {
        if let Some(demand) = self.demands.get_mut(limit.0) {
            let total = config.limits[limit.0].total;
            *demand = if amount.is_finite() { amount.clamp(0.0, total) } else { 0.0 };
        }
    }

    pub(super) fn share(&self, now: Timestamp, config: &QuotaConfig, limit: LimitId) -> QuotaShare {
        let guaranteed = config.guaranteed_minimum(limit);
        let leased = self.leased.get(limit.0).copied().unwrap_or(0.0);
        let lease = if self.has_lease(now) { leased } else { 0.0 };
        let expires = self.has_lease(now).then_some(self.leased_until);
        QuotaShare { amount: guaranteed + lease, guaranteed, expires }
    }

    pub(super) fn has_lease(&self, now: Timestamp) -> bool {
        now < self.leased_until
    }

    /// Returns the expiry of the lease; `None` if there was no lease when `lease_change` was last called.
    pub(super) fn expires(&self) -> Option<Timestamp> {
        self.had_lease.then_some(self.leased_until)
    }

    /// Returns whether there is a lease at `now`, or `None` if that has not changed since the last call.
    pub(super) fn lease_change(&mut self, now: Timestamp) -> Option<bool> {
        let has_lease = self.has_lease(now);
        let changed = std::mem::replace(&mut self.had_lease, has_lease) != has_lease;
        changed.then_some(has_lease)
    }

    /// Creates the next lease request. From then on the server uses no more of its leases than it demands,
    /// so the allocator may grant the rest to others.
    pub(super) fn request(
        &mut self,
        now: Timestamp,
        config: &QuotaConfig,
        to: MemberName,
        retry_after: Duration,
        redirected: bool,
    ) -> LeaseRequest {
        self.release_surplus(now, config);
        self.redirected = redirected;
        self.last_request_number += 1;
        self.requested_at = now;
        self.requested_from = Some(to);
        self.answered = false;
        self.next_request = now + retry_after;
        LeaseRequest {
            number: self.last_request_number,
            demands: self.demands.iter().map(|demand| *demand as f32).collect(),
            retained: self.leased.iter().map(|amount| rounded_up(*amount)).collect(),
        }
    }

    fn release_surplus(&mut self, now: Timestamp, config: &QuotaConfig) {
        if !self.has_lease(now) {
            self.leased.fill(0.0);
        }
        for (index, leased) in self.leased.iter_mut().enumerate() {
            let beyond_minimum = self.demands[index] - config.guaranteed_minimum(LimitId(index));
            *leased = leased.min(beyond_minimum.max(0.0));
            if config.limits[index].max_turn.is_some() && *leased < 1.0 {
                *leased = 0.0;
            }
        }
    }

    /// Applies a lease grant if it is the first answer to the last request, and returns whether there is a
    /// lease at `now`. Ignores any other grant, and one with invalid amounts, and returns `false`.
    pub(super) fn receive_grant(
        &mut self,
        now: Timestamp,
        config: &QuotaConfig,
        from: MemberName,
        grant: &LeaseGrant,
    ) -> bool {
        let has_expected_length = grant.amounts.len() == self.leased.len();
        let is_valid =
            has_expected_length && grant.amounts.iter().all(|amount| amount.is_finite() && *amount >= 0.0);
        if !is_valid || !self.awaits(from, grant.number) {
            return false;
        }
        self.answered = true;
        self.allocator = Some(from);
        for (index, leased) in self.leased.iter_mut().enumerate() {
            *leased = f64::from(grant.amounts[index]).min(config.shared_pool(LimitId(index)));
        }
        let duration = Duration::from_ms(u64::from(grant.duration_ms)).min(config.lease_duration());
        self.leased_until = self.requested_at + duration.scaled(1.0 - CLOCK_DRIFT);
        self.has_lease(now)
    }

    /// Records the allocator that another server names. Returns that allocator if it is to be asked at
    /// once. A request that already followed a redirection is not redirected again, so that servers that
    /// name each other cause no loop.
    pub(super) fn receive_redirection(
        &mut self,
        from: MemberName,
        number: u32,
        allocator: Option<MemberName>,
    ) -> Option<MemberName> {
        if !self.awaits(from, number) {
            return None;
        }
        self.allocator = allocator;
        allocator.filter(|to| *to != from && !self.redirected)
    }

    fn awaits(&self, from: MemberName, number: u32) -> bool {
        number == self.last_request_number && !self.answered && self.requested_from == Some(from)
    }
}

/// Returns an `f32` that is above the amount, because the server must not use more than it reports to retain.
fn rounded_up(amount: f64) -> f32 {
    f32::from_bits((amount as f32).to_bits() + 1)
}
