//! Max-min fairness ("water filling"): each server gets its demand, capped at the level at which all capped
//! demands together fill the pool. A server that demands more than the level gets no more than the level.

use super::config::SharedLimit;

/// Returns the level at which all demands, each capped at the level, fill the pool; infinite if all demands
/// together fit into the pool.
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

/// Returns the fair share of each server, guaranteed minimum included, if all demands were known at once.
pub fn fair_shares(limit: &SharedLimit, max_servers: usize, demands: &[f64]) -> Vec<f64> {
    let minimum = limit.guaranteed_minimum(max_servers);
    let beyond_minimum: Vec<f64> = demands.iter().map(|demand| (demand - minimum).max(0.0)).collect();
    let level = fair_level(limit.shared_pool(), beyond_minimum.clone());
    beyond_minimum.into_iter().map(|demand| minimum + demand.min(level)).collect()
}
