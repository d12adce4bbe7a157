//! Tenant quotas: a request of a tenant that exceeds its quota on this server has less value.

use crate::recently_seen::{RECENTLY_SEEN_CAPACITY, RecentlySeen};
use crate::statistics::SampleWindow;
use crate::{TenantId, Timestamp};

/// Number of recent arrival times kept for each tenant.
const ARRIVAL_CAPACITY: usize = 32;
/// Number of arrivals from which the request rate of a tenant is compared with its quota.
const MIN_ARRIVALS: usize = ARRIVAL_CAPACITY / 2;
/// Lower bound of the time over which the rate is computed for the quota, in seconds.
const MIN_QUOTA_PERIOD_S: f64 = 0.01;
/// Lower bound of the time over which the rate is computed for reports, in seconds.
const MIN_REPORT_PERIOD_S: f64 = 0.2;

type Arrivals = SampleWindow<Timestamp, ARRIVAL_CAPACITY>;

/// Recent arrivals of each tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantTraffic {
    arrivals: RecentlySeen<TenantId, Arrivals, RECENTLY_SEEN_CAPACITY>,
}

impl TenantTraffic {
    /// Records a request of a tenant with a quota and returns the factor on its value. `server_quota_per_s`
    /// is this server's part of the quota, in requests per second; `over_quota_value` is the value of a
    /// request past the quota over that of one within.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        tenant: TenantId,
        server_quota_per_s: f64,
        over_quota_value: f64,
    ) -> f64 {
        let arrivals = self.arrivals.touch(tenant);
        arrivals.push(now);
        let Some(oldest) = arrivals.oldest().filter(|_| arrivals.len() >= MIN_ARRIVALS) else { return 1.0 };
        let rate = arrivals.len() as f64 / (now - oldest).secs().max(MIN_QUOTA_PERIOD_S);
        let within_quota_share = (server_quota_per_s / rate).min(1.0);
        within_quota_share + (1.0 - within_quota_share) * over_quota_value
    }

    /// Returns the request rate of a tenant with a quota, in requests per second; zero for a tenant that is
    /// not known.
    pub(crate) fn rate_per_s(&self, now: Timestamp, tenant: TenantId) -> f64 {
        let Some(arrivals) = self.arrivals.get(&tenant) else { return 0.0 };
        arrivals
            .oldest()
            .map_or(0.0, |oldest| arrivals.len() as f64 / (now - oldest).secs().max(MIN_REPORT_PERIOD_S))
    }

    /// Removes the arrivals of a tenant.
    pub(crate) fn remove(&mut self, tenant: TenantId) {
        self.arrivals.remove(&tenant);
    }
}
