//! What servers decided together, as guidance for the admission controller: which figures have changed, and
//! which apply when a lease expires. The server and the simulator give their controllers the same by this.

use crate::node::{Clocks, FleetNode};
use crate::quota::LimitId;
use hazelspur::{GuidanceKey, Timestamp};
use std::collections::BTreeMap;

/// Relative growth below which a figure counts as unchanged. A smaller figure always counts as changed,
/// because the controller must not use more than the lease allows.
const UNCHANGED_GROWTH: f64 = 0.01;
/// Magnitude below which growth is not relative any more.
const MIN_MAGNITUDE: f64 = 1e-3;

/// A changed figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuidanceChange {
    /// Which figure.
    pub key: GuidanceKey,
    /// Its value; `None` takes it back.
    pub value: Option<f64>,
}

/// The value of a figure after a lease has expired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueAfterExpiry {
    /// Which figure.
    pub key: GuidanceKey,
    /// The guaranteed minimum.
    pub value: f64,
}

/// What applies when the first lease in force expires.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseExpiry {
    /// When that is, by the monotonic clock.
    pub at: Timestamp,
    /// What applies from then on.
    pub values: Vec<ValueAfterExpiry>,
}

/// What the admission controller is to be given.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GuidanceUpdate {
    /// Figures that have changed since the last update.
    pub changes: Vec<GuidanceChange>,
    /// None where there is no lease.
    pub expiry: Option<LeaseExpiry>,
}

/// A shared limit and the figure that it governs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuidedLimit {
    /// The limit.
    pub limit: LimitId,
    /// The figure.
    pub key: GuidanceKey,
}

/// Remembers what the admission controller was given.
#[derive(Clone, Debug)]
pub struct Guidance {
    /// Whether the breaker and the load reports of others count.
    coordinated: bool,
    limits: Vec<GuidedLimit>,
    last_given: BTreeMap<GuidanceKey, f64>,
}

impl Guidance {
    /// Guidance by these limits, and if `coordinated` by the circuit breaker and the load reports.
    pub fn new(coordinated: bool, limits: Vec<GuidedLimit>) -> Self {
        Self { coordinated, limits, last_given: BTreeMap::new() }
    }

    /// Forgets what was given: after a lease has expired, the controller goes by other figures.
    pub fn forget(&mut self) {
        self.last_given.clear();
    }

    /// What the controller is to be given now.
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
