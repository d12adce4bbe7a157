//! Keeps the last load report of each server and aggregates the recent ones: the median of each site, then
//! the median of the sites, so that one server, one faulty core or one site shifts the result by one
//! position in the sorted values at most. A report older than the table's maximum age does not count.

use super::{PeerLoadReport, UNREACHABLE_FRACTION};
use crate::names::{MemberName, SiteName};
use hazelspur::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Smallest number of reporters for which the table returns an aggregate.
const MIN_REPORTERS: usize = 3;

/// The aggregate of the recent load reports of all servers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AggregatedLoad {
    /// Median of the latency ratios; none if too few servers report one.
    #[serde(rename = "pace")]
    pub latency_ratio: Option<f64>,
    /// Median of the shares of calls that did not reach the dependency, 0 to 1.
    #[serde(rename = "unreached")]
    pub unreachable_fraction: f64,
    /// Median of the shares of requests that servers rejected, 0 to 1.
    #[serde(rename = "refused")]
    pub rejected_fraction: f64,
    /// Number of servers whose reports count.
    #[serde(rename = "voices")]
    pub reporters: usize,
    /// Number of sites of these servers.
    pub sites: usize,
    /// Age of the oldest report that counts, in milliseconds.
    #[serde(rename = "oldest_ms")]
    pub oldest_age_ms: u64,
}

impl AggregatedLoad {
    /// Returns whether the aggregate shows the dependency as unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_fraction >= UNREACHABLE_FRACTION
    }
}

#[derive(Clone, Copy, Debug)]
struct StoredReport {
    site: SiteName,
    received_at: Timestamp,
    report: PeerLoadReport,
}

/// The last load report of each server and when it was received.
#[derive(Clone, Debug)]
pub struct LoadReportTable {
    max_age: Duration,
    capacity: usize,
    reports: BTreeMap<MemberName, StoredReport>,
    /// Number of reports received since the start that had a value outside its range.
    pub invalid_reports: u64,
}

impl LoadReportTable {
    /// Creates an empty table for up to `capacity` servers. Reports older than `max_age` do not count.
    pub fn new(capacity: usize, max_age: Duration) -> Self {
        Self { max_age, capacity, reports: BTreeMap::new(), invalid_reports: 0 }
    }

    /// Stores a report that `reporter` itself has sent. An invalid report is counted and also removes the
    /// reporter's previous one. While the table is full, a report of a new reporter is dropped.
    pub fn receive(&mut self, now: Timestamp, reporter: MemberName, site: SiteName, report: PeerLoadReport) {
        if !report.is_valid() {
            self.invalid_reports += 1;
            self.reports.remove(&reporter);
            return;
        }
        if self.reports.len() >= self.capacity && !self.reports.contains_key(&reporter) {
            self.remove_expired(now);
            if self.reports.len() >= self.capacity {
                return;
            }
        }
        self.reports.insert(reporter, StoredReport { site, received_at: now, report });
    }

    /// Returns the aggregate of the recent reports; `None` if there are fewer than `MIN_REPORTERS`.
    pub fn aggregate(&self, now: Timestamp) -> Option<AggregatedLoad> {
        let mut sites: BTreeMap<SiteName, Vec<PeerLoadReport>> = BTreeMap::new();
        let (mut reporters, mut oldest_age) = (0, Duration::ZERO);
        for stored in self.reports.values().filter(|stored| now - stored.received_at <= self.max_age) {
            sites.entry(stored.site).or_default().push(stored.report);
            reporters += 1;
            oldest_age = oldest_age.max(now - stored.received_at);
        }
        if reporters < MIN_REPORTERS {
            return None;
        }
        let ratio = |report: &PeerLoadReport| Some(report.latency_ratio).filter(|ratio| *ratio > 0.0);
        let reporters_with_ratio = sites.values().flatten().filter_map(ratio).count();
        Some(AggregatedLoad {
            latency_ratio: median_of_sites(&sites, ratio).filter(|_| reporters_with_ratio >= MIN_REPORTERS),
            unreachable_fraction: median_of_sites(&sites, |report| report.unreachable_fraction)
                .unwrap_or(0.0),
            rejected_fraction: median_of_sites(&sites, |report| Some(report.rejected_fraction))
                .unwrap_or(0.0),
            reporters,
            sites: sites.len(),
            oldest_age_ms: oldest_age.us() / 1000,
        })
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let max_age = self.max_age;
        self.reports.retain(|_, stored| now - stored.received_at <= max_age);
    }
}

/// Returns the median of the sites' medians of one value of the reports; `None` if no report has the value.
fn median_of_sites(
    sites: &BTreeMap<SiteName, Vec<PeerLoadReport>>,
    value_of: impl Fn(&PeerLoadReport) -> Option<f32>,
) -> Option<f64> {
    let site_median =
        |reports: &Vec<PeerLoadReport>| median(reports.iter().filter_map(&value_of).map(f64::from).collect());
    median(sites.values().filter_map(site_median).collect())
}

/// Returns the median, which for an even number of values is the mean of the two in the middle; `None`
/// without values.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    let upper = *values.get(middle)?;
    Some(if values.len().is_multiple_of(2) { (values[middle - 1] + upper) / 2.0 } else { upper })
}
