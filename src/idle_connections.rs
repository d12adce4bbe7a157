//! The idle timeout of client connections.
//!
//! An open connection takes core time and a table entry for as long as it is open; a new one costs work once.
//! The timeout chosen is the one that would have cost least for the last requests. It guards against tables
//! full of clients that do not come back. While all cores are taken, all connections are kept: a full table
//! turns connection attempts away unread, which stops retry storms. This does harm where most clients are
//! new.

use crate::Duration;
use crate::arrivals::{Arrival, RecentArrivals};
use crate::statistics::SAMPLE_CAPACITY;

/// Time after which an idle open connection has cost as much as opening a new one, in seconds, while all
/// cores are free.
const CONNECTION_COST_S: f64 = 20.0;
/// Share of ticks with all cores taken from which all connections are kept.
const KEEP_ALL_CORE_SATURATION: f64 = 0.5;
/// Shortest timeout, in seconds; each longer one is twice as long as the one before.
const MIN_TIMEOUT_S: f64 = 4.0;
/// Number of timeouts from which one is chosen.
const TIMEOUT_STEPS: u32 = 4;
/// Number of received requests from which a timeout is chosen.
const MIN_ARRIVALS: usize = SAMPLE_CAPACITY;

/// The idle timeout that was chosen last; zero before the first choice.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdleTimeout {
    timeout_s: f64,
}

impl IdleTimeout {
    /// Returns the timeout to set, if the chosen one has changed. `client_idle_timeout` is the time after
    /// which clients close idle connections themselves, zero where it is unknown; the timeout to set is no
    /// longer than it.
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

/// Returns the timeout with the least cost for these requests, in seconds; of equal ones the longest.
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
