//! Quota leases without the servers' other work, as the fleet grows: the allocator's traffic, and how long
//! quotas take to settle after a fault.

use super::Links;
use super::points::Point;
use crate::studies::shares::{Case, Fault, run_case};

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct SharesCase {
    /// Number of servers.
    pub servers: usize,
    /// Number of shared limits, all alike.
    pub limits: usize,
    /// Fault that is injected.
    pub fault: Fault,
    /// Seed of all random draws.
    pub seed: u64,
    /// Links between zones and regions.
    pub links: Links,
}

/// Runs one case, and returns its points. Settling is timed from the beginning of the fault; for a partition
/// of the regions, from its end.
pub fn run_shares_case(case: &SharesCase) -> Vec<Point> {
    let SharesCase { servers, limits, fault, seed, links } = *case;
    let outcome = run_case(&Case { servers, fault, seed, limits, links: Some(links) });
    let point = |figure: &str, unit: &str, value: f64| {
        let figure = format!("shares.of_{limits}.{figure}");
        Point::of_servers(&figure, fault.name(), unit, servers, seed, value)
    };
    let partition = fault.region_partition_duration().secs();
    vec![
        point("divider_messages_per_s", "1/s", outcome.allocator_messages_per_s),
        point("divider_bytes_per_s", "B/s", outcome.allocator_bytes_per_s),
        point("settle_s", "s", (outcome.settled_s - partition).max(0.0)),
        point("most_in_force", "of the limit", outcome.max_in_force),
    ]
}
