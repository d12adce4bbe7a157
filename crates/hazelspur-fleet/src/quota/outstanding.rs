//! The leases of one limit that the allocator has granted to one lessee and that have not expired. The lessee
//! uses one of them at a time, and the allocator doesn't know which, so the largest counts.

use hazelspur::Timestamp;

/// Largest number of leases that are recorded separately; more are merged into one that covers them all.
const MAX_OUTSTANDING: usize = 6;

#[derive(Clone, Copy, Debug)]
struct Lease {
    amount: f64,
    expires: Timestamp,
}

impl Lease {
    /// Returns whether this lease allows at least as much for at least as long as `other`.
    fn covers(&self, other: &Self) -> bool {
        self.amount >= other.amount && self.expires >= other.expires
    }
}

/// Leases of one lessee and limit that may still be in use.
#[derive(Clone, Debug, Default)]
pub(super) struct OutstandingLeases(Vec<Lease>);

impl OutstandingLeases {
    /// Returns the largest amount that the lessee may be using at `now`.
    pub(super) fn amount(&self, now: Timestamp) -> f64 {
        self.0.iter().filter(|lease| now < lease.expires).map(|lease| lease.amount).fold(0.0, f64::max)
    }

    /// Adds a lease and drops leases that have expired or that another one covers.
    pub(super) fn add(&mut self, now: Timestamp, amount: f64, expires: Timestamp) {
        let new = Lease { amount, expires };
        self.0.retain(|lease| now < lease.expires && !new.covers(lease));
        if !self.0.iter().any(|lease| lease.covers(&new)) {
            self.0.push(new);
        }
        if self.0.len() > MAX_OUTSTANDING {
            let empty = Lease { amount: 0.0, expires };
            let merged = self.0.iter().fold(empty, |merged, lease| Lease {
                amount: f64::max(merged.amount, lease.amount),
                expires: merged.expires.max(lease.expires),
            });
            self.0 = vec![merged];
        }
    }

    /// Reduces all leases to the amount that the lessee retains. The surplus counts until `residual_end`,
    /// because work that began under it may go on until then.
    pub(super) fn reduce(&mut self, now: Timestamp, retained: f64, residual_end: Timestamp) {
        let leases = std::mem::take(&mut self.0);
        for lease in leases.into_iter().filter(|lease| now < lease.expires) {
            if lease.amount > retained {
                self.add(now, lease.amount, lease.expires.min(residual_end));
                self.add(now, retained, lease.expires);
            } else {
                self.add(now, lease.amount, lease.expires);
            }
        }
    }
}
