//! The control plane's list: a server is on it for 3 s after a report; gateways read it late.

use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

pub const REPORT_EVERY: Duration = Duration::from_ms(800);
const LAPSE: Duration = Duration::from_ms(3000);
const KEPT: usize = 16;

#[derive(Clone, Debug)]
pub struct List {
    reports: Vec<VecDeque<Timestamp>>,
    pub late: Duration,
}

impl List {
    pub fn new(servers: usize, late: Duration) -> Self {
        Self { reports: vec![VecDeque::new(); servers], late }
    }

    pub fn report(&mut self, now: Timestamp, server: usize) {
        let reports = &mut self.reports[server];
        reports.push_back(now);
        if reports.len() > KEPT {
            reports.pop_front();
        }
    }

    /// Whether gateways see it now.
    pub fn shows(&self, now: Timestamp, server: usize) -> bool {
        let at = now.back(self.late);
        self.reports[server].iter().any(|report| *report <= at && *report + LAPSE > at)
    }
}
