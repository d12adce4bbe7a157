//! One simulated server: its admission controller, its cores and its requests, and the inputs and timers that
//! it handles.

use super::config::{CONTENTION_THRESHOLD_PER_CORE, SimulationConfig, catalog};
use super::event::Event;
use super::{ONE_WAY_LATENCY, Simulation};
use crate::models::cores::Cores;
use crate::models::gateways::ClientRequest;
use crate::models::server_list::REPORT_PERIOD;
use hazelspur::{
    AdmissionController, ClientId, NewRequest, Outcome, RequestClassId, RequestId, RuntimeGauges, TenantId,
    Timestamp,
};
use std::collections::BTreeMap;

/// Size of every request, in kB.
const REQUEST_SIZE_KB: f64 = 20.0;

/// A request that a server received and has not finished.
pub(super) struct ServerRequest {
    pub(super) client_request: ClientRequest,
    /// Whether the work before the dependency call is done and the call was requested.
    pub(super) call_requested: bool,
    /// Whether the client has a response, so that the rest of the run is of no use.
    pub(super) answered: bool,
    /// Start of the current dependency call; `None` while there is none.
    pub(super) call_started: Option<Timestamp>,
}

/// One simulated server.
pub(super) struct Server {
    /// `None` while the server is down.
    pub(super) controller: Option<AdmissionController>,
    /// Number of starts and ends of the server so far.
    pub(super) incarnation: u64,
    pub(super) cores: Cores,
    pub(super) requests: BTreeMap<RequestId, ServerRequest>,
    /// Time of the next scheduled check for finished requests on the cores.
    pub(super) core_check: Option<Timestamp>,
    /// End of the last pause, which may be over; `None` if there was none in this incarnation.
    pub(super) paused_until: Option<Timestamp>,
}

impl Server {
    pub(super) fn down(config: &SimulationConfig) -> Self {
        Self {
            controller: None,
            incarnation: 0,
            cores: Cores::new(config.cores, CONTENTION_THRESHOLD_PER_CORE),
            requests: BTreeMap::new(),
            core_check: None,
            paused_until: None,
        }
    }

    /// Begins a new incarnation; the cores keep their speed.
    fn restart(&mut self, config: &SimulationConfig, controller: AdmissionController) {
        let speed = self.cores.speed;
        *self =
            Self { incarnation: self.incarnation + 1, controller: Some(controller), ..Self::down(config) };
        self.cores.speed = speed;
    }
}

impl Simulation {
    /// Starts a new incarnation of a server, which warms up if it starts cold.
    pub(super) fn start(&mut self, server: usize, starts_cold: bool) {
        let now = self.queue.now;
        let seed = self.draw_seed();
        let controller = AdmissionController::new(catalog(&self.config, starts_cold), seed, now);
        self.servers[server].restart(&self.config, controller);
        self.start_coordinator(server, seed);
        let first_report = REPORT_PERIOD.scaled(self.random.draw_fraction());
        let incarnation = self.servers[server].incarnation;
        self.queue.schedule(now + first_report, Event::ServerListReport { server, incarnation });
        self.carry_out_decisions(server);
    }

    fn draw_seed(&mut self) -> u64 {
        u64::from(self.random.draw()) << u32::BITS | u64::from(self.random.draw())
    }

    /// Returns whether this is the current incarnation of the server.
    pub(super) fn is_current(&self, server: usize, incarnation: u64) -> bool {
        self.servers[server].incarnation == incarnation
    }

    /// Passes an input to the server's controller, then carries out its decisions.
    pub(super) fn apply_input(&mut self, server: usize, input: impl FnOnce(&mut AdmissionController)) {
        if let Some(controller) = &mut self.servers[server].controller {
            input(controller);
        }
        self.carry_out_decisions(server);
    }

    /// Handles the arrival of an attempt.
    pub(super) fn request_received(
        &mut self,
        server: usize,
        incarnation: u64,
        id: RequestId,
        request: ClientRequest,
    ) {
        if !self.is_current(server, incarnation) || self.servers[server].controller.is_none() {
            // A refused connection proves that the server did not run the request, so any request may be
            // retried.
            return self.retry(server, request, hazelspur::Duration::ZERO);
        }
        let received = ServerRequest {
            client_request: request,
            call_requested: false,
            answered: false,
            call_started: None,
        };
        self.servers[server].requests.insert(id, received);
        let now = self.queue.now;
        self.apply_input(server, |controller| controller.request_received(now, new_request(id, &request)));
    }

    pub(super) fn controller_timer(&mut self, server: usize, incarnation: u64) {
        if !self.is_current(server, incarnation) {
            return;
        }
        let now = self.queue.now;
        let gauges = RuntimeGauges::with_requests_on_cores(self.servers[server].cores.running_count() as f64);
        self.apply_input(server, |controller| controller.timer_tick(now, gauges));
    }

    /// Handles the scheduled check for requests whose work on the cores is done; one that was rescheduled has
    /// no effect.
    pub(super) fn check_cores(&mut self, server: usize, incarnation: u64, at: Timestamp) {
        if !self.is_current(server, incarnation) || self.servers[server].core_check != Some(at) {
            return;
        }
        self.servers[server].core_check = None;
        for id in self.servers[server].cores.take_finished(self.queue.now) {
            self.work_done(server, id);
        }
        self.schedule_core_check(server);
    }

    /// Requests the dependency call of a request, or finishes the request if its call was requested before.
    fn work_done(&mut self, server: usize, id: RequestId) {
        let now = self.queue.now;
        let Some(request) = self.servers[server].requests.get_mut(&id) else { return };
        if !request.call_requested {
            request.call_requested = true;
            return self.apply_input(server, |controller| controller.call_requested(now, id));
        }
        let finished = self.servers[server].requests.remove(&id);
        if let Some(finished) = finished.filter(|request| !request.answered) {
            self.count_response(&finished.client_request);
        }
        self.apply_input(server, |controller| controller.run_finished(now, id, Outcome::Ok));
    }

    /// Schedules a check of the cores for the time at which the next request is done.
    pub(super) fn schedule_core_check(&mut self, server: usize) {
        let checked = &mut self.servers[server];
        if let Some(at) = checked.cores.next_finish()
            && checked.core_check != Some(at)
        {
            checked.core_check = Some(at);
            let incarnation = checked.incarnation;
            self.queue.schedule(at, Event::CoreCheck { server, incarnation, at });
        }
    }

    /// Reports a running server to the server list, and schedules its next report.
    pub(super) fn report_to_server_list(&mut self, server: usize, incarnation: u64) {
        if self.is_current(server, incarnation) && self.servers[server].controller.is_some() {
            let now = self.queue.now;
            self.server_list.record_report(now, server);
            self.queue.schedule(now + REPORT_PERIOD, Event::ServerListReport { server, incarnation });
        }
    }
}

fn new_request(id: RequestId, request: &ClientRequest) -> NewRequest {
    NewRequest {
        id,
        class: RequestClassId(request.request_class),
        tenant: TenantId(0),
        session: None,
        client: ClientId(request.gateway as u64),
        deadline: Some(request.deadline),
        cost: None,
        size_kb: REQUEST_SIZE_KB,
        age: ONE_WAY_LATENCY,
        read_offset: hazelspur::Duration::ZERO,
        is_write: false,
        retry_of: None,
    }
}
