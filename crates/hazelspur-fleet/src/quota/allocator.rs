//! The allocator's table: each lessee's demands and the leases it may still use. Lease requests come in,
//! granted amounts go out.
//!
//! Invariant: the outstanding leases of a limit never exceed its shared pool. Until the leases of its
//! predecessor have expired, a new allocator grants each lessee no more than the lessee still holds.

use super::config::{LimitId, QuotaConfig, SharedLimit};
use super::fair_share::fair_level;
use super::message::LeaseRequest;
use super::outstanding::OutstandingLeases;
use crate::names::ProcessIncarnation;
use hazelspur::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Largest number of lessees for which fair levels and sums are recomputed with each request.
const MAX_LESSEES_FOR_EXACT_SUMS: usize = 48;
/// Shortest time between two recomputations with more lessees. In between, the sums only grow, so they stay
/// upper bounds.
const REFRESH_INTERVAL: Duration = Duration::from_ms(100);
/// Factor by which rounding up may raise a retained amount above the shared pool.
const ROUNDING_TOLERANCE: f64 = 1.001;
/// Time without a request after which a lessee counts as silent, as a fraction of the vote duration.
const SILENCE_FRACTION: f64 = 0.75;
/// Largest number of lessees in the table for each server that may exist: a restarted server is in the table
/// once more, as a new process incarnation, until the leases of the old one expire.
pub(super) const MAX_LESSEES_PER_SERVER: usize = 2;

/// The part of a lease request that concerns one limit.
#[derive(Clone, Copy)]
struct LimitRequest<'a> {
    now: Timestamp,
    config: &'a QuotaConfig,
    from: ProcessIncarnation,
    limit: LimitId,
    /// Amount that the lessee says it keeps using under earlier leases; not validated.
    retained: f32,
}

impl LimitRequest<'_> {
    fn shared_limit(&self) -> &SharedLimit {
        &self.config.limits[self.limit.0]
    }

    /// Returns when a lease granted now has expired and all work begun under it has ended.
    fn lease_expires(&self) -> Timestamp {
        self.now + self.config.lease_duration() + self.shared_limit().residual_duration
    }
}

/// A lessee's state in the queue for exclusive turns.
#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    /// Start of the wait; none while the lessee demands no turn.
    waiting_since: Option<Timestamp>,
    /// Start of the current turn; none while the lessee has no turn.
    granted_at: Option<Timestamp>,
}

/// A lessee's demand for one limit and its leases of that limit.
#[derive(Clone, Debug, Default)]
struct Demand {
    /// Demand beyond the guaranteed minimum.
    amount: f64,
    outstanding: OutstandingLeases,
    turn: Turn,
}

/// A lessee's entry in the allocator's table.
#[derive(Clone, Debug)]
struct Lessee {
    last_request_number: u32,
    last_request_at: Timestamp,
    /// One entry for each limit, in the order of the configuration.
    demands: Vec<Demand>,
}

/// The allocator's table of demands and outstanding leases.
#[derive(Clone, Debug)]
pub(super) struct Allocator {
    lessees: BTreeMap<ProcessIncarnation, Lessee>,
    /// Level of max-min fairness of each limit, as of the last recomputation.
    fair_levels: Vec<f64>,
    /// Upper bound of the sum of outstanding leases of each limit.
    outstanding_sums: Vec<f64>,
    refreshed_at: Timestamp,
    /// Time until which leases of the previous allocator may be in use.
    takeover_ends: Timestamp,
}

impl Allocator {
    pub(super) fn new(limits: usize, takeover_ends: Timestamp) -> Self {
        Self {
            lessees: BTreeMap::new(),
            fair_levels: vec![0.0; limits],
            outstanding_sums: vec![0.0; limits],
            refreshed_at: Timestamp::default(),
            takeover_ends,
        }
    }

    pub(super) fn lessees(&self) -> usize {
        self.lessees.len()
    }

    /// Returns the exact sum of the outstanding leases of a limit.
    pub(super) fn granted(&self, now: Timestamp, limit: usize) -> f64 {
        let demands = self.lessees.values().filter_map(|lessee| lessee.demands.get(limit));
        demands.map(|demand| demand.outstanding.amount(now)).sum()
    }

    /// Grants leases for the configured lease duration and returns the amount of each shared pool, in the
    /// order of the limits. Returns `None` for a request that is malformed or not newer than the lessee's
    /// last one, and for a new lessee while the table is full.
    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        config: &QuotaConfig,
        from: ProcessIncarnation,
        request: &LeaseRequest,
    ) -> Option<Vec<f32>> {
        let limits = config.limits.len();
        let has_valid_lengths = request.demands.len() == limits && request.retained.len() == limits;
        if !has_valid_lengths || !self.has_capacity_for(now, config, from) {
            return None;
        }
        let lessee = self.lessees.entry(from).or_insert_with(|| Lessee::new(now, limits));
        if request.number <= lessee.last_request_number {
            return None;
        }
        lessee.update(now, config, request);
        self.refresh(now, config);
        let limit_request = |index| {
            let retained = request.retained[index];
            LimitRequest { now, config, from, limit: LimitId(index), retained }
        };
        Some((0..limits).map(|index| self.grant_limit(&limit_request(index))).collect())
    }

    fn has_capacity_for(&mut self, now: Timestamp, config: &QuotaConfig, from: ProcessIncarnation) -> bool {
        if self.lessees.contains_key(&from) {
            return true;
        }
        self.remove_silent(now, config);
        self.lessees.len() < config.max_servers * MAX_LESSEES_PER_SERVER
    }

    fn grant_limit(&mut self, request: &LimitRequest) -> f32 {
        let LimitRequest { now, config, from, limit, retained } = *request;
        let pool = config.shared_pool(limit);
        let demand = &self.lessees[&from].demands[limit.0];
        let (demanded, outstanding_amount) = (demand.amount, demand.outstanding.amount(now));
        let unallocated = (pool - self.outstanding_sums[limit.0]).max(0.0);
        let fair_amount = demanded.min(self.fair_levels[limit.0]).min(outstanding_amount + unallocated);
        let in_takeover = now < self.takeover_ends;
        let valid_retained = valid_amount(retained, pool * ROUNDING_TOLERANCE);
        let amount = match request.shared_limit().max_turn {
            Some(_) if in_takeover => {
                f64::from(u8::from(valid_retained >= 1.0 && outstanding_amount + unallocated >= 1.0))
            }
            Some(max_turn) => self.grant_turn(request, max_turn, unallocated),
            None if in_takeover => fair_amount.min(valid_retained),
            None => fair_amount,
        };
        // The message must not grant more than the table records, so the `f32` is rounded down.
        let granted = rounded_down(amount);
        self.record_lease(request, f64::from(granted));
        granted
    }

    fn record_lease(&mut self, request: &LimitRequest, amount: f64) {
        let LimitRequest { now, from, limit, .. } = *request;
        let Some(lessee) = self.lessees.get_mut(&from) else { return };
        let outstanding = &mut lessee.demands[limit.0].outstanding;
        let before = outstanding.amount(now);
        outstanding.add(now, amount, request.lease_expires());
        self.outstanding_sums[limit.0] += outstanding.amount(now) - before;
    }

    /// Returns 1 if the lessee has or gets an exclusive turn, otherwise 0. A turn lasts `max_turn` at most;
    /// an unallocated turn goes to the lessee that has waited longest.
    fn grant_turn(&mut self, request: &LimitRequest, max_turn: Duration, unallocated: f64) -> f64 {
        let LimitRequest { now, from, limit, .. } = *request;
        let demand = &self.lessees[&from].demands[limit.0];
        let Some(waiting_since) = demand.turn.waiting_since else { return 0.0 };
        if let Some(granted_at) = demand.turn.granted_at {
            let turn_ended = now - granted_at >= max_turn;
            if turn_ended {
                self.set_turn(from, limit, Turn { waiting_since: Some(now), granted_at: None });
            }
            return if turn_ended { 0.0 } else { 1.0 };
        }
        // A lessee gets no new turn before the lease of its last turn has expired.
        let still_uses_last_turn = demand.outstanding.amount(now) >= 1.0;
        if still_uses_last_turn
            || unallocated < (self.lessees_waiting_ahead(from, limit, waiting_since) + 1) as f64
        {
            return 0.0;
        }
        self.set_turn(from, limit, Turn { waiting_since: Some(waiting_since), granted_at: Some(now) });
        1.0
    }

    fn lessees_waiting_ahead(
        &self,
        from: ProcessIncarnation,
        limit: LimitId,
        waiting_since: Timestamp,
    ) -> usize {
        let is_ahead = |(other, lessee): &(&ProcessIncarnation, &Lessee)| {
            let turn = lessee.demands[limit.0].turn;
            **other != from
                && turn.granted_at.is_none()
                && turn.waiting_since.is_some_and(|since| (since, **other) < (waiting_since, from))
        };
        self.lessees.iter().filter(is_ahead).count()
    }

    fn set_turn(&mut self, lessee: ProcessIncarnation, limit: LimitId, turn: Turn) {
        if let Some(lessee) = self.lessees.get_mut(&lessee) {
            lessee.demands[limit.0].turn = turn;
        }
    }

    /// Recomputes fair levels and sums, unless there are many lessees and the last recomputation is recent.
    fn refresh(&mut self, now: Timestamp, config: &QuotaConfig) {
        if self.lessees.len() > MAX_LESSEES_FOR_EXACT_SUMS && now - self.refreshed_at < REFRESH_INTERVAL {
            return;
        }
        self.refreshed_at = now;
        self.remove_silent(now, config);
        for index in 0..config.limits.len() {
            self.outstanding_sums[index] = self.granted(now, index);
            let recent =
                self.lessees.values().filter(|lessee| now - lessee.last_request_at < config.vote_duration);
            let demands = recent.map(|lessee| lessee.demands[index].amount).collect();
            self.fair_levels[index] = fair_level(config.shared_pool(LimitId(index)), demands);
        }
    }

    /// Removes silent lessees that have no outstanding leases. Those that have some stay in the table but
    /// lose their place in the queue for turns.
    fn remove_silent(&mut self, now: Timestamp, config: &QuotaConfig) {
        let silent_after = config.vote_duration.scaled(SILENCE_FRACTION);
        self.lessees.retain(|_, lessee| {
            let silent = now - lessee.last_request_at >= silent_after;
            if silent {
                lessee.demands.iter_mut().for_each(|demand| demand.turn = Turn::default());
            }
            !silent || lessee.demands.iter().any(|demand| demand.outstanding.amount(now) > 0.0)
        });
    }
}

impl Lessee {
    fn new(now: Timestamp, limits: usize) -> Self {
        Self { last_request_number: 0, last_request_at: now, demands: vec![Demand::default(); limits] }
    }

    fn update(&mut self, now: Timestamp, config: &QuotaConfig, request: &LeaseRequest) {
        (self.last_request_number, self.last_request_at) = (request.number, now);
        for (index, limit) in config.limits.iter().enumerate() {
            let demanded = f64::from(request.demands[index]);
            let demanded = if demanded.is_finite() { demanded.clamp(0.0, limit.total) } else { 0.0 };
            let beyond_minimum = (demanded - config.guaranteed_minimum(LimitId(index))).max(0.0);
            self.demands[index].update(now, limit, beyond_minimum, f64::from(request.retained[index]));
        }
    }
}

impl Demand {
    fn update(&mut self, now: Timestamp, limit: &SharedLimit, amount: f64, retained: f64) {
        self.amount = amount;
        // An invalid retained amount releases nothing.
        if retained.is_finite() && retained >= 0.0 {
            self.outstanding.reduce(now, retained, now + limit.residual_duration);
        }
        if limit.max_turn.is_some() {
            let waits = amount >= 1.0;
            self.turn.waiting_since = waits.then(|| self.turn.waiting_since.unwrap_or(now));
            if self.outstanding.amount(now) < 1.0 {
                self.turn.granted_at = None;
            }
        }
    }
}

/// Returns the retained amount if it is from 0 to `max`, otherwise 0.
fn valid_amount(retained: f32, max: f64) -> f64 {
    let retained = f64::from(retained);
    if (0.0..=max).contains(&retained) { retained } else { 0.0 }
}

/// Returns the largest `f32` that is not above the amount; 0 for a negative amount.
fn rounded_down(amount: f64) -> f32 {
    let amount = amount.max(0.0);
    let nearest = amount as f32;
    if f64::from(nearest) > amount { f32::from_bits(nearest.to_bits().saturating_sub(1)) } else { nearest }
}
