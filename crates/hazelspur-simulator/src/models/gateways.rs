//! Model of the gateways and their clients. Requests arrive as a Poisson process, go to the listed servers
//! round-robin, and are retried according to the policy of their gateway.

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};

/// The treatment of rejected requests by a gateway.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Maximum number of retries of a request.
    pub max_retries: u32,
    /// Whether a rejected request is retried at another server; otherwise it ends as rejected.
    pub retries_elsewhere: bool,
    /// Whether the gateway waits for the time in Retry-After and does not retry when a server forbids it.
    pub obeys_server: bool,
}

impl RetryPolicy {
    /// Returns the policy of a gateway; the gateways' numbers give a mixture of all kinds.
    pub fn of_gateway(gateway: usize) -> Self {
        Self {
            max_retries: [0, 1, 2, 4][gateway % 4],
            retries_elsewhere: !gateway.is_multiple_of(3),
            obeys_server: gateway % 4 < 2,
        }
    }
}

/// A request as its client sends it.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// Number of the gateway that sends it.
    pub gateway: usize,
    /// Number of its request class.
    pub request_class: usize,
    /// Time of the first attempt.
    pub first_sent: Timestamp,
    /// Time after which a response is of no use to the client.
    pub deadline: Timestamp,
    /// Work that it takes, in core seconds.
    pub work_s: f64,
    /// Retries that its gateway may still make.
    pub retries_left: u32,
}

/// All gateways and their arrival process.
pub struct Gateways {
    /// Number of gateways.
    pub count: usize,
    /// Mean arrival rate over all gateways.
    pub requests_per_s: f64,
    /// Time from the first attempt of a request to its deadline.
    pub timeout: Duration,
    /// Mean work of a request of each request class, in core seconds.
    pub mean_work_s: Vec<f64>,
    /// Number of servers of the fleet, those that do not run included.
    server_count: usize,
    /// Server that was picked last among all servers.
    last_picked: usize,
    /// Server that was picked last among the first servers only.
    last_picked_among_first: usize,
}

impl Gateways {
    /// Returns gateways that together send `requests_per_s` requests a second to a fleet of `server_count`
    /// servers.
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

    /// Draws the time until the next request, which is exponentially distributed.
    pub fn draw_interval(&self, random: &mut Pcg) -> Duration {
        Duration::from_secs(-(1.0 - random.draw_fraction()).ln() / self.requests_per_s.max(1e-9))
    }

    /// Draws gateway, request class and work of a new request.
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

    /// Returns the next listed server, round-robin among the first `servers`, other than `excluded`; `None`
    /// if there is none.
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
