//! Derives the guidance for the admission controller from the state of the fleet: shares of limits, the
//! share of rejected requests and the state of the circuit breaker. Returns the values that have changed
//! and those that apply once a lease expires. Server and simulator share this code, so that their
//! controllers get the same guidance.

use crate::node::{Clocks, FleetNode};
use crate::quota::LimitId;
use hazelspur::{GuidanceKey, Timestamp};
use std::collections::BTreeMap;

/// Largest relative growth at which a value counts as unchanged. A lower value always counts as changed,
/// because the controller must not use more than the lease allows.
const UNCHANGED_GROWTH: f64 = 0.01;
/// Smallest magnitude used as the base of relative growth; below it, the allowed growth is constant.
const MIN_MAGNITUDE: f64 = 1e-3;

/// A guidance value that has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuidanceChange {
    /// The value's key.
    pub key: GuidanceKey,
    /// The new value; `None` withdraws it.
    pub value: Option<f64>,
}

/// A guidance value that applies after a lease has expired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueAfterExpiry {
    /// The value's key.
    pub key: GuidanceKey,
    /// The guaranteed minimum of the limit that governs it.
    pub value: f64,
}

/// The guidance values that apply once the first lease in force expires.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseExpiry {
    /// Time of the expiry, by the monotonic clock.
    pub at: Timestamp,
    /// Values that apply from then on.
    pub values: Vec<ValueAfterExpiry>,
}

/// Guidance to be given to the admission controller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GuidanceUpdate {
    /// Values that have changed since the last update.
    pub changes: Vec<GuidanceChange>,
    /// Values that apply once a lease expires; none while there is no lease.
    pub expiry: Option<LeaseExpiry>,
}

/// A shared limit and the guidance value that it governs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuidedLimit {
    /// The limit.
    pub limit: LimitId,
    /// The key of the guidance value.
    pub key: GuidanceKey,
}

/// Computes guidance updates, and remembers which values the admission controller was last given.
#[derive(Clone, Debug)]
pub struct Guidance {
    /// Whether guidance includes the circuit breaker and the load reports of other servers.
    coordinated: bool,
    limits: Vec<GuidedLimit>,
    last_given: BTreeMap<GuidanceKey, f64>,
}

impl Guidance {
    /// Creates guidance that covers `limits` and, if `coordinated`, also the circuit breaker and the load
    /// reports of other servers.
    pub fn new(coordinated: bool, limits: Vec<GuidedLimit>) -> Self {
        Self { coordinated, limits, last_given: BTreeMap::new() }
    }

    /// Forgets which values were last given, so that the next update contains all of them. To be called
    /// after a lease has expired, because the controller then uses other values.
    pub fn forget(&mut self) {
        self.last_given.clear();
    }

    /// Returns the guidance that the controller is to be given at `now`, and remembers it as given.
    pub fn next_update(&mut self, now: Clocks, node: &FleetNode) -> GuidanceUpdate {
        let current = self.current(now, node);
        let changed = |key: &GuidanceKey, value: f64| {
            self.last_given.get(key).is_none_or(|last_given| is_changed(*last_given, value))
        };
        let changed_values = current.iter().filter(|(key, value)| changed(key, **value));
        let mut changes: Vec<GuidanceChange> =
            changed_values.map(|(key, value)| GuidanceChange { key: *key, value: Some(*value) }).collect();
        let withdrawn = self.last_given.keys().filter(|key| !current.contains_key(*key));
        changes.extend(withdrawn.map(|key| GuidanceChange { key: *key, value: None }));
        for change in &changes {
            match change.value {
                Some(value) => self.last_given.insert(change.key, value),
                None => self.last_given.remove(&change.key),
            };
        }
        GuidanceUpdate { changes, expiry: self.expiry(now, node) }
    }

    fn current(&self, now: Clocks, node: &FleetNode) -> BTreeMap<GuidanceKey, f64> {
        let mut current = BTreeMap::new();
        if let Some(quota) = &node.quota {
            let amount = |guided: &GuidedLimit| quota.share(now.monotonic, guided.limit).amount;
            current.extend(self.limits.iter().map(|guided| (guided.key, amount(guided))));
        }
        if self.coordinated {
            if let Some(aggregated) = node.aggregated_load() {
                current.insert(GuidanceKey::RejectedShare, aggregated.rejected_fraction);
            }
            if !node.breaker.is_closed() {
                current.insert(GuidanceKey::BreakerOpen, 1.0);
            }
        }
        current
    }

    fn expiry(&self, now: Clocks, node: &FleetNode) -> Option<LeaseExpiry> {
        let quota = node.quota.as_ref()?;
        let mut expiry: Option<LeaseExpiry> = None;
        for guided in &self.limits {
            let share = quota.share(now.monotonic, guided.limit);
            let Some(at) = share.expires else { continue };
            let expiry = expiry.get_or_insert(LeaseExpiry { at, values: Vec::new() });
            expiry.at = at.min(expiry.at);
            expiry.values.push(ValueAfterExpiry { key: guided.key, value: share.guaranteed });
        }
        expiry
    }
}

fn is_changed(last_given: f64, value: f64) -> bool {
    value < last_given || value - last_given > UNCHANGED_GROWTH * last_given.abs().max(MIN_MAGNITUDE)
}
