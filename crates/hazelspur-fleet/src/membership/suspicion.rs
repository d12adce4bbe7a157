//! The timeout of a suspicion, after which the member counts as dead. As in Lifeguard, it shrinks with each
//! independent accuser.

/// Ratio of the shortest timeout, in periods, to the decimal logarithm of the fleet's size; Lifeguard's
/// parameter alpha.
const MIN_PERIODS_PER_LOG_SIZE: f64 = 4.0;
/// Ratio of the longest timeout to the shortest; Lifeguard's parameter beta.
const MAX_OVER_MIN: f64 = 6.0;
/// Number of accusers besides the first at which the timeout is the shortest.
pub(super) const MAX_CONFIRMATIONS: usize = 3;

/// Returns the timeout in periods, given the number of other members in the table and the number of accusers
/// including the first.
pub(super) fn timeout_periods(others: usize, accusers: usize) -> f64 {
    let fleet_size = others as f64 + 1.0;
    let min = MIN_PERIODS_PER_LOG_SIZE * fleet_size.log10().max(1.0);
    // In a small fleet too few members could confirm the suspicion, so the longer timeout would only delay
    // it.
    if others < MAX_CONFIRMATIONS + 2 {
        return min;
    }
    let max = MAX_OVER_MIN * min;
    let confirmations = accusers.saturating_sub(1).min(MAX_CONFIRMATIONS) as f64;
    let confirmed_part = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
    (max - (max - min) * confirmed_part).max(min)
}
