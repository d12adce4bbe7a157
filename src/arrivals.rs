//! The last requests received: how fast they come, from which clients, and how long they are expected to run.

use crate::last_seen::LastSeen;
use crate::rejection::RECENT_REQUEST_CAPACITY;
use crate::statistics::{SampleWindow, effective_count, mean};
use crate::{ClientId, Duration, Timestamp};
use std::collections::BTreeMap;

/// One received request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// When it was received.
    pub(crate) at: Timestamp,
    /// The client that sent it.
    pub(crate) client: ClientId,
    /// Seconds since the client's request before it; infinite for a new client.
    pub(crate) gap_s: f64,
    /// Run time expected, in seconds.
    pub(crate) expected_run_s: f64,
}

/// The last requests received, and when each client sent its last one.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentArrivals {
    window: SampleWindow<Arrival, RECENT_REQUEST_CAPACITY>,
    clients: LastSeen<ClientId>,
}

impl RecentArrivals {
    /// Records a request. Clients idle for `client_idle_timeout` are forgotten first when memory for them is
    /// short.
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

    /// The number of requests remembered.
    pub(crate) fn len(&self) -> usize {
        self.window.len()
    }

    /// Iterates from the oldest request to the newest.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Arrival> + '_ {
        self.window.iter()
    }

    /// Time since the oldest request remembered.
    pub(crate) fn observed(&self, now: Timestamp) -> Duration {
        self.window.oldest().map_or(Duration::ZERO, |arrival| now - arrival.at)
    }

    /// The mean expected run time, in seconds; infinite before the first request.
    pub(crate) fn mean_expected_run_s(&self) -> f64 {
        mean(self.window.iter().map(|arrival| arrival.expected_run_s)).unwrap_or(f64::INFINITY)
    }

    /// The mean time between two requests of a client, in seconds.
    pub(crate) fn mean_gap_s(&self, now: Timestamp, client: ClientId) -> f64 {
        let count = self.window.iter().filter(|arrival| arrival.client == client).count();
        self.observed(now).secs() / count.max(1) as f64
    }

    /// Clients by weight: two equal ones count 2, a heavy and a light one little over 1.
    pub(crate) fn effective_clients(&self) -> f64 {
        let mut requests: BTreeMap<ClientId, f64> = BTreeMap::new();
        for arrival in self.window.iter() {
            *requests.entry(arrival.client).or_default() += 1.0;
        }
        effective_count(requests.into_values())
    }
}
