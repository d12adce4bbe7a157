//! The leases of one lessee and limit that have not expired. The lessee uses one of them at a time, so the
//! largest counts.

use hazelspur::Timestamp;

/// Leases that are remembered one by one; more are merged into one.
const MAX_OUTSTANDING: usize = 6;

#[derive(Clone, Copy, Debug)]
struct Lease {
    amount: f64,
    expires: Timestamp,
}

impl Lease {
    fn covers(&self, other: &Self) -> bool {
        self.amount >= other.amount && self.expires >= other.expires
    }
}

/// Leases that have not expired.
#[derive(Clone, Debug, Default)]
pub(super) struct OutstandingLeases(Vec<Lease>);

impl OutstandingLeases {
    /// What the lessee may use now.
    pub(super) fn amount(&self, now: Timestamp) -> f64 {
        self.0.iter().filter(|lease| now < lease.expires).map(|lease| lease.amount).fold(0.0, f64::max)
    }

    /// Adds a lease. A lease that another one covers is not kept.
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

    /// Reduces all leases to what the lessee retains; work that it began under more goes on until
    /// `residual_end`.
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
