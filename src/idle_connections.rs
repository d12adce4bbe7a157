//! How long idle connections stay open.
//!
//! An open connection costs some of the cores and a place in a table; a new one costs work once. The timeout
//! is the one that would have cost least for the last requests. Guards against tables full of clients that
//! don't come back. While all cores are taken all connections are kept, since a full table turns attempts
//! away unread, which stops retry storms; this does harm where most clients are new.

use crate::Duration;
use crate::arrivals::{Arrival, RecentArrivals};
use crate::statistics::SAMPLE_CAPACITY;

/// A new connection costs as much as an open one in this time, in seconds, while all cores are free.
const CONNECTION_COST_S: f64 = 20.0;
/// From this share of ticks with saturated cores, all connections are kept.
const KEEP_ALL_CORE_SATURATION: f64 = 0.5;
/// The shortest timeout, in seconds; each longer one is twice as long.
const MIN_TIMEOUT_S: f64 = 4.0;
/// The number of timeouts to choose from.
const TIMEOUT_STEPS: u32 = 4;
/// Requests from which a timeout can be chosen.
const MIN_ARRIVALS: usize = SAMPLE_CAPACITY;

/// The idle timeout that was set last.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdleTimeout {
    timeout_s: f64,
}

impl IdleTimeout {
    /// The timeout to set, if it changes. `client_idle_timeout` is when clients close idle connections
    /// themselves, zero where that is not known.
    pub(crate) fn update(
        &mut self,
        arrivals: &RecentArrivals,
        core_saturation: f64,
        rejected_share: f64,
        client_idle_timeout: Duration,
    ) -> Option<Duration> {
        if arrivals.len() < MIN_ARRIVALS {
            return None;
        }
        let free_core_factor = (1.0 - core_saturation / KEEP_ALL_CORE_SATURATION).max(0.0);
        let cost_per_s = free_core_factor * (1.0 / CONNECTION_COST_S + rejected_share);
        let timeout_s = cheapest_timeout_s(arrivals, cost_per_s)?;
        let timeout = Duration::from_secs(timeout_s);
        let is_client_timeout_known = client_idle_timeout > Duration::ZERO;
        let timeout = if is_client_timeout_known { client_idle_timeout.min(timeout) } else { timeout };
        let previous_s = std::mem::replace(&mut self.timeout_s, timeout_s);
        (previous_s != timeout_s).then_some(timeout)
    }
}

/// The timeout with the least cost for these requests; of equal ones the longest.
fn cheapest_timeout_s(arrivals: &RecentArrivals, cost_per_s: f64) -> Option<f64> {
    let cost = |timeout_s: f64| {
        let gap_cost = |arrival: Arrival| {
            let is_reopened = arrival.gap_s > timeout_s;
            arrival.gap_s.min(timeout_s) * cost_per_s + f64::from(u8::from(is_reopened))
        };
        arrivals.iter().map(gap_cost).sum::<f64>()
    };
    let timeouts = (0..TIMEOUT_STEPS).rev().map(|step| MIN_TIMEOUT_S * f64::from(1 << step));
    timeouts.min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
}
