//! Model of the server list of the control plane. A server is listed for 3 s after each of its reports;
//! gateways read the list with a constant delay.

use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

/// Time between two reports of a server.
pub const REPORT_PERIOD: Duration = Duration::from_ms(800);
/// Time for which a server stays listed after a report.
const LISTING_DURATION: Duration = Duration::from_ms(3000);
/// Number of reports kept for each server; they must cover the delay and `LISTING_DURATION`.
const MAX_REPORTS: usize = 16;

/// The server list as gateways read it.
#[derive(Clone, Debug)]
pub struct ServerList {
    /// Times of the last reports of each server, oldest first.
    reports: Vec<VecDeque<Timestamp>>,
    /// Age of the list when gateways read it.
    pub delay: Duration,
}

impl ServerList {
    /// Returns an empty list of `servers` servers that gateways read with this delay.
    pub fn new(servers: usize, delay: Duration) -> Self {
        Self { reports: vec![VecDeque::new(); servers], delay }
    }

    /// Records a server's report.
    pub fn record_report(&mut self, now: Timestamp, server: usize) {
        let reports = &mut self.reports[server];
        reports.push_back(now);
        if reports.len() > MAX_REPORTS {
            reports.pop_front();
        }
    }

    /// Returns whether the list that gateways read now contains the server.
    pub fn is_listed(&self, now: Timestamp, server: usize) -> bool {
        let read_at = now.saturating_sub(self.delay);
        self.reports[server].iter().any(|report| *report <= read_at && *report + LISTING_DURATION > read_at)
    }
}
