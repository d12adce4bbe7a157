//! Keeps the last report of each server and aggregates the recent ones: the median of each site, then the
//! median of the sites, so that one server, one faulty core or one site moves the result by one place at
//! most. A report older than the table's maximum age does not count.

use super::{PeerLoadReport, UNREACHABLE_FRACTION};
use crate::names::{MemberName, SiteName};
use hazelspur::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Reporters below which the table concludes nothing.
const MIN_REPORTERS: usize = 3;

/// What the recent reports say together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AggregatedLoad {
    /// Latency of calls over the best that is remembered; none where too few report it.
    #[serde(rename = "pace")]
    pub latency_ratio: Option<f64>,
    /// Share of calls that did not reach the dependency, 0 to 1.
    #[serde(rename = "unreached")]
    pub unreachable_fraction: f64,
    /// Share of requests that servers rejected, 0 to 1.
    #[serde(rename = "refused")]
    pub rejected_fraction: f64,
    /// Servers whose reports count.
    #[serde(rename = "voices")]
    pub reporters: usize,
    /// Sites of these servers.
    pub sites: usize,
    /// Age of the oldest report that counts, in milliseconds.
    #[serde(rename = "oldest_ms")]
    pub oldest_age_ms: u64,
}

impl AggregatedLoad {
    /// Whether most servers do not reach the dependency.
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

/// The last report of each server, with its age.
#[derive(Clone, Debug)]
pub struct LoadReportTable {
    max_age: Duration,
    capacity: usize,
    reports: BTreeMap<MemberName, StoredReport>,
    /// Reports with figures outside their ranges, since the start.
    pub invalid_reports: u64,
}

impl LoadReportTable {
    /// An empty table for up to `capacity` servers; reports older than `max_age` do not count.
    pub fn new(capacity: usize, max_age: Duration) -> Self {
        Self { max_age, capacity, reports: BTreeMap::new(), invalid_reports: 0 }
    }

    /// Stores a report that came from `reporter` itself just now. An invalid one removes the reporter's last
    /// one too.
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

    /// The aggregate of the recent reports; `None` where there are fewer than three.
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

fn median_of_sites(
    sites: &BTreeMap<SiteName, Vec<PeerLoadReport>>,
    value_of: impl Fn(&PeerLoadReport) -> Option<f32>,
) -> Option<f64> {
    let site_median =
        |reports: &Vec<PeerLoadReport>| median(reports.iter().filter_map(&value_of).map(f64::from).collect());
    median(sites.values().filter_map(site_median).collect())
}

/// The median; of an even number of values the mean of the two in the middle.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    let upper = *values.get(middle)?;
    Some(if values.len().is_multiple_of(2) { (values[middle - 1] + upper) / 2.0 } else { upper })
}
