//! Max-min fairness ("water filling"): no server gets more by demanding more than the level at which all
//! demands together fill the pool.

use super::config::SharedLimit;

/// The level at which demands, each capped at it, fill a pool; infinite where all demands fit.
pub fn fair_level(pool: f64, mut demands: Vec<f64>) -> f64 {
    demands.sort_by(f64::total_cmp);
    let (mut remaining, mut others) = (pool, demands.len());
    for demand in demands {
        if demand * others as f64 >= remaining {
            return remaining / others as f64;
        }
        remaining -= demand;
        others -= 1;
    }
    f64::INFINITY
}

/// The fair share of each server if all demands were known at once, guaranteed minimums included.
pub fn fair_shares(limit: &SharedLimit, max_servers: usize, demands: &[f64]) -> Vec<f64> {
    let minimum = limit.guaranteed_minimum(max_servers);
    let beyond_minimum: Vec<f64> = demands.iter().map(|demand| (demand - minimum).max(0.0)).collect();
    let level = fair_level(limit.shared_pool(), beyond_minimum.clone());
    beyond_minimum.into_iter().map(|demand| minimum + demand.min(level)).collect()
}
