//! The control plane's list: a server is on it for 3 s after a report; gateways read it late.

use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

/// Between two reports of a server.
pub const REPORT_PERIOD: Duration = Duration::from_ms(800);
/// How long a server stays listed after a report.
const LISTING_DURATION: Duration = Duration::from_ms(3000);
/// Reports kept for each server.
const MAX_REPORTS: usize = 16;

/// The server list as gateways read it.
#[derive(Clone, Debug)]
pub struct ServerList {
    reports: Vec<VecDeque<Timestamp>>,
    pub delay: Duration,
}

impl ServerList {
    /// A list that gateways read `delay` later.
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

    /// Whether gateways see it now.
    pub fn is_listed(&self, now: Timestamp, server: usize) -> bool {
        let read_at = now.saturating_sub(self.delay);
        self.reports[server].iter().any(|report| *report <= read_at && *report + LISTING_DURATION > read_at)
    }
}
