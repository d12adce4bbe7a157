//! How long a member stays suspected: Lifeguard's timeout, which shrinks with each independent accuser.

/// Lifeguard's alpha: the shortest timeout in periods, over the decimal logarithm of the fleet's size.
const MIN_PERIODS_PER_LOG_SIZE: f64 = 4.0;
/// Lifeguard's beta: the longest timeout over the shortest.
const MAX_OVER_MIN: f64 = 6.0;
/// Accusers besides the first that make the timeout the shortest.
pub(super) const MAX_CONFIRMATIONS: usize = 3;

/// The timeout in periods, in a table of `others` members, with `accusers` in all.
pub(super) fn timeout_periods(others: usize, accusers: usize) -> f64 {
    let fleet_size = others as f64 + 1.0;
    let min = MIN_PERIODS_PER_LOG_SIZE * fleet_size.log10().max(1.0);
    // Too few others could confirm the suspicion: waiting for them is of no use.
    if others < MAX_CONFIRMATIONS + 2 {
        return min;
    }
    let max = MAX_OVER_MIN * min;
    let confirmations = accusers.saturating_sub(1).min(MAX_CONFIRMATIONS) as f64;
    let confirmed_part = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
    (max - (max - min) * confirmed_part).max(min)
}
