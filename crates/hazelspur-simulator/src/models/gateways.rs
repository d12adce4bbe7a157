//! Gateways with habits: requests come by chance (a Poisson process), go to listed servers in turn or by what they
//! are about, and are tried again where they are refused.

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};

/// How a gateway treats rejected requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Tries after the first.
    pub max_retries: u32,
    /// A refused request goes on to the next server; otherwise it is over.
    pub retries_elsewhere: bool,
    /// It stays away as long as it is told to.
    pub obeys_server: bool,
}

impl RetryPolicy {
    /// A mixture, by the gateway's number.
    pub fn of_gateway(gateway: usize) -> Self {
        Self {
            max_retries: [0, 1, 2, 4][gateway % 4],
            retries_elsewhere: !gateway.is_multiple_of(3),
            obeys_server: gateway % 4 < 2,
        }
    }
}

/// A request as its client sees it.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    pub gateway: usize,
    pub request_class: usize,
    pub first_sent: Timestamp,
    pub deadline: Timestamp,
    pub work_s: f64,
    pub retries_left: u32,
}

/// All gateways and their arrival process.
pub struct Gateways {
    pub count: usize,
    pub requests_per_s: f64,
    pub timeout: Duration,
    /// Mean seconds of work of each request class.
    pub mean_work_s: Vec<f64>,
    /// Servers there may be.
    server_count: usize,
    last_picked: usize,
    /// The same among the first ones only.
    last_picked_among_first: usize,
}

impl Gateways {
    /// Gateways that send `requests_per_s` requests a second in all.
    pub fn new(
        count: usize,
        server_count: usize,
        requests_per_s: f64,
        timeout: Duration,
        mean_work_s: Vec<f64>,
    ) -> Self {
        Self {
            count,
            requests_per_s,
            timeout,
            mean_work_s,
            server_count,
            last_picked: 0,
            last_picked_among_first: 0,
        }
    }

    /// Draws the time until the next request.
    pub fn draw_interval(&self, random: &mut Pcg) -> Duration {
        Duration::from_secs(-(1.0 - random.draw_fraction()).ln() / self.requests_per_s.max(1e-9))
    }

    /// Draws the next request.
    pub fn draw_request(&mut self, now: Timestamp, random: &mut Pcg) -> ClientRequest {
        let gateway = random.draw() as usize % self.count;
        let request_class = random.draw() as usize % self.mean_work_s.len();
        let work_s = self.mean_work_s[request_class] * (0.5 + random.draw_fraction());
        let deadline = now + self.timeout;
        ClientRequest {
            gateway,
            request_class,
            first_sent: now,
            deadline,
            work_s,
            retries_left: RetryPolicy::of_gateway(gateway).max_retries,
        }
    }

    /// The next listed server in turn among the first `servers`, other than the one that was just tried.
    pub fn pick_server(
        &mut self,
        servers: usize,
        excluded: Option<usize>,
        is_listed: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let last_picked = if servers == self.server_count {
            &mut self.last_picked
        } else {
            &mut self.last_picked_among_first
        };
        for _ in 0..servers {
            *last_picked = (*last_picked + 1) % servers;
            if Some(*last_picked) != excluded && is_listed(*last_picked) {
                return Some(*last_picked);
            }
        }
        None
    }
}
