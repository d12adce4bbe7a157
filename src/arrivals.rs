//! The last received requests: their rate, their clients, and their expected run times.

use crate::last_seen::LastSeen;
use crate::rejection::RECENT_REQUEST_CAPACITY;
use crate::statistics::{SampleWindow, effective_count, mean};
use crate::{ClientId, Duration, Timestamp};
use std::collections::BTreeMap;

/// A received request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Time of receipt.
    pub(crate) at: Timestamp,
    /// Client that sent the request.
    pub(crate) client: ClientId,
    /// Time since the client's previous request, in seconds; infinite for a new client.
    pub(crate) gap_s: f64,
    /// Expected run time, in seconds.
    pub(crate) expected_run_s: f64,
}

/// The last received requests, and the time of the last request of each client.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentArrivals {
    window: SampleWindow<Arrival, RECENT_REQUEST_CAPACITY>,
    clients: LastSeen<ClientId>,
}

impl RecentArrivals {
    /// Records a received request. When the table of clients is full, those idle for `client_idle_timeout`
    /// are removed first.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        client: ClientId,
        expected_run_s: f64,
        client_idle_timeout: Duration,
    ) {
        let last = self.clients.record(client, now, client_idle_timeout);
        let gap_s = last.map_or(f64::INFINITY, |last| (now - last).secs());
        self.window.push(Arrival { at: now, client, gap_s, expected_run_s });
    }

    /// Returns the number of requests kept.
    pub(crate) fn len(&self) -> usize {
        self.window.len()
    }

    /// Iterates from the oldest request to the newest.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Arrival> + '_ {
        self.window.iter()
    }

    /// Returns the time since the oldest request kept; zero before the first request.
    pub(crate) fn observed(&self, now: Timestamp) -> Duration {
        self.window.oldest().map_or(Duration::ZERO, |arrival| now - arrival.at)
    }

    /// Returns the mean expected run time, in seconds; infinite before the first request.
    pub(crate) fn mean_expected_run_s(&self) -> f64 {
        mean(self.window.iter().map(|arrival| arrival.expected_run_s)).unwrap_or(f64::INFINITY)
    }

    /// Returns the mean time between two requests of a client, in seconds.
    pub(crate) fn mean_gap_s(&self, now: Timestamp, client: ClientId) -> f64 {
        let count = self.window.iter().filter(|arrival| arrival.client == client).count();
        self.observed(now).secs() / count.max(1) as f64
    }

    /// Returns the number of clients, weighted by their requests: two equal clients count as 2, a heavy and a
    /// light one as little more than 1.
    pub(crate) fn effective_clients(&self) -> f64 {
        let mut requests: BTreeMap<ClientId, f64> = BTreeMap::new();
        for arrival in self.window.iter() {
            *requests.entry(arrival.client).or_default() += 1.0;
        }
        effective_count(requests.into_values())
    }
}
