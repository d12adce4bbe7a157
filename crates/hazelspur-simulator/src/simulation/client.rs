//! The client side of a simulation: new requests, the choice of a server for each attempt, retries, and the
//! count of responses.

use super::event::Event;
use super::{ONE_WAY_LATENCY, Simulation};
use crate::models::gateways::{ClientRequest, RetryPolicy};
use hazelspur::{Duration, RequestId};

/// Divisor of the fleet size that gives the number of servers, from the first on, to which skewed requests
/// go.
const SKEWED_SERVERS_DIVISOR: usize = 3;

impl Simulation {
    /// Sends a new request, and schedules the next one.
    pub(super) fn send_next_request(&mut self) {
        let now = self.queue.now;
        let request = self.gateways.draw_request(now, &mut self.random);
        self.figures.requests += 1;
        self.send_attempt(request, None);
        let gap = self.gateways.draw_interval(&mut self.random);
        self.queue.schedule(now + gap, Event::NextRequest);
    }

    /// Sends one attempt to a listed server other than the one that rejected the last attempt; counts the
    /// request as failed if there is none.
    pub(super) fn send_attempt(&mut self, request: ClientRequest, rejected_by: Option<usize>) {
        let now = self.queue.now;
        let candidates = self.candidates(rejected_by.is_none());
        let server_list = &self.server_list;
        let picked =
            self.gateways.pick_server(candidates, rejected_by, |server| server_list.is_listed(now, server));
        let Some(server) = picked else {
            self.figures.failed += 1;
            return;
        };
        self.figures.attempts += 1;
        let id = self.next_request_id();
        let incarnation = self.servers[server].incarnation;
        let received = Event::RequestReceived { server, incarnation, id, request };
        self.queue.schedule(now + ONE_WAY_LATENCY, received);
    }

    /// Returns the number of servers, from the first on, among which a gateway picks; draws whether a first
    /// attempt is skewed.
    fn candidates(&mut self, first_attempt: bool) -> usize {
        let (servers, skewed_fraction) = (self.config.servers, self.config.skewed_fraction);
        let skewed = skewed_fraction > 0.0 && first_attempt && self.random.draw_fraction() < skewed_fraction;
        if skewed { servers.div_ceil(SKEWED_SERVERS_DIVISOR) } else { servers }
    }

    fn next_request_id(&mut self) -> RequestId {
        self.last_request_number += 1;
        RequestId::padded(&format!("{:x}", self.last_request_number))
            .expect("16 hexadecimal digits fit into a request id")
    }

    /// Schedules a retry of a rejected request at another server after `wait`, if its gateway's policy and
    /// its deadline allow one; otherwise counts it as rejected.
    pub(super) fn retry(&mut self, rejected_by: usize, mut request: ClientRequest, wait: Duration) {
        let at = self.queue.now + wait + ONE_WAY_LATENCY;
        if RetryPolicy::of_gateway(request.gateway).retries_elsewhere
            && request.retries_left > 0
            && at < request.deadline
        {
            request.retries_left -= 1;
            self.queue.schedule(at, Event::Retry { rejected_by, request });
        } else {
            self.figures.rejected += 1;
        }
    }

    /// Counts a response that is sent now as a success, or as late if it arrives after the deadline.
    pub(super) fn count_response(&mut self, request: &ClientRequest) {
        let arrival = self.queue.now + ONE_WAY_LATENCY;
        if arrival > request.deadline {
            self.figures.late += 1;
            return;
        }
        self.figures.count_success(arrival);
    }
}
