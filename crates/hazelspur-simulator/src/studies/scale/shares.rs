//! Shares by themselves as the fleet grows: what the divider has to do, and how long shares take to settle.

use super::Between;
use super::points::Point;
use crate::studies::shares::{Case, Trouble, play};

/// One trouble of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct SharesCase {
    pub servers: usize,
    pub limits: usize,
    pub trouble: Trouble,
    pub seed: u64,
    pub between: Between,
}

/// The figures of one trouble. Settling is from the beginning of the trouble; where regions were apart, from
/// their healing.
pub fn play_shares(case: &SharesCase) -> Vec<Point> {
    let SharesCase { servers, limits, trouble, seed, between } = *case;
    let outcome = play(&Case { servers, trouble, seed, limits, between: Some(between) });
    let point = |figure: &str, unit: &str, value: f64| {
        let figure = format!("shares.of_{limits}.{figure}");
        Point::of_servers(&figure, trouble.name(), unit, servers, seed, value)
    };
    let apart = trouble.apart().secs();
    vec![
        point("divider_messages_per_s", "1/s", outcome.divider),
        point("divider_bytes_per_s", "B/s", outcome.divider_bytes),
        point("settle_s", "s", (outcome.settled_s - apart).max(0.0)),
        point("most_in_force", "of the limit", outcome.most),
    ]
}
