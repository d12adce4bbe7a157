//! Shares by themselves as the fleet grows: what the divider has to do, and how long shares take to settle.

use super::Links;
use super::points::Point;
use crate::studies::shares::{Case, Fault, run_case};

/// One trouble of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct SharesCase {
    pub servers: usize,
    pub limits: usize,
    pub fault: Fault,
    pub seed: u64,
    pub links: Links,
}

/// The figures of one trouble. Settling is from the beginning of the trouble; where regions were apart, from
/// their healing.
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
