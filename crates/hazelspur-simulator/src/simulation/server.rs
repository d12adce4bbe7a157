//! One simulated server: its admission controller, its cores and its requests; inputs to it and its timers.

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

/// A request at its server.
pub(super) struct ServerRequest {
    pub(super) client_request: ClientRequest,
    /// The work before the call is done.
    pub(super) call_requested: bool,
    /// The client has its answer.
    pub(super) answered: bool,
    /// When the call under way started.
    pub(super) call_started: Option<Timestamp>,
}

/// One simulated server.
pub(super) struct Server {
    /// `None` while the server is down.
    pub(super) controller: Option<AdmissionController>,
    pub(super) incarnation: u64,
    pub(super) cores: Cores,
    pub(super) requests: BTreeMap<RequestId, ServerRequest>,
    /// When its cores are checked next.
    pub(super) core_check: Option<Timestamp>,
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

    /// Begins a new incarnation, at the speed that its cores had.
    fn restart(&mut self, config: &SimulationConfig, controller: AdmissionController) {
        let speed = self.cores.speed;
        *self =
            Self { incarnation: self.incarnation + 1, controller: Some(controller), ..Self::down(config) };
        self.cores.speed = speed;
    }
}

impl Simulation {
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

    pub(super) fn is_current(&self, server: usize, incarnation: u64) -> bool {
        self.servers[server].incarnation == incarnation
    }

    /// Gives the controller an input, then carries out what it decides.
    pub(super) fn apply_input(&mut self, server: usize, input: impl FnOnce(&mut AdmissionController)) {
        if let Some(controller) = &mut self.servers[server].controller {
            input(controller);
        }
        self.carry_out_decisions(server);
    }

    pub(super) fn request_received(
        &mut self,
        server: usize,
        incarnation: u64,
        id: RequestId,
        request: ClientRequest,
    ) {
        if !self.is_current(server, incarnation) || self.servers[server].controller.is_none() {
            // A refused connection proves that nothing ran.
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

    /// Handles the requests whose work on the cores is done.
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

    /// Requests the call of a request, or finishes its run when the call is behind it.
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

    /// Reports to the control plane, and schedules the next report.
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
