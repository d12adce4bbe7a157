//! Simulates many servers in virtual time: each runs the real `AdmissionController` between models of its
//! cores, the gateways, the server list and the shared dependency. Inputs are a configuration and a script of
//! faults, the output is `Figures`. The seed in the configuration determines the run completely.

mod client;
mod config;
pub mod coordination;
mod decisions;
mod event;
mod figures;
mod script;
mod server;

pub use config::{Coordination, SimulationConfig};
pub use figures::Figures;
pub use script::ScriptAction;

use crate::event_queue::EventQueue;
use crate::models::dependency::SharedDependency;
use crate::models::gateways::Gateways;
use crate::models::server_list::ServerList;
use crate::network::Network;
use crate::test_fleet::START;
use config::{REQUEST_TIMEOUT, WORK_BY_CLASS_S};
use coordination::{Coordinator, FleetState, ORACLE_PERIOD};
use event::Event;
use hazelspur::Duration;
use hazelspur::pcg::Pcg;
use script::DependencyLink;
use server::Server;

/// Fraction of a request's work that is done before its dependency call.
const WORK_BEFORE_CALL: f64 = 0.5;
/// One-way latency between a gateway and a server.
const ONE_WAY_LATENCY: Duration = Duration::from_us(500);
/// Time from the start to the first request.
const FIRST_REQUEST_AFTER: Duration = Duration::from_ms(2000);
/// Age of the server list that gateways read.
const LIST_DELAY: Duration = Duration::from_ms(1200);
/// Minimum number of gateways; a larger fleet has one for every two servers.
const MIN_GATEWAYS: usize = 4;
/// Number of sites over which the servers are spread.
const SITES: usize = 3;

/// A simulated fleet with its clients and its dependency.
pub struct Simulation {
    config: SimulationConfig,
    queue: EventQueue<Event>,
    random: Pcg,
    servers: Vec<Server>,
    gateways: Gateways,
    /// The shared dependency of all servers.
    pub dependency: SharedDependency,
    server_list: ServerList,
    last_request_number: u64,
    /// Coordinator of each server; `None` while the server is down, or without coordination among servers.
    coordinators: Vec<Option<Coordinator>>,
    /// Link of each server to the shared dependency.
    links: Vec<DependencyLink>,
    /// The network between the servers.
    pub network: Network,
    /// State that guides the servers in the oracle's next round.
    oracle_state: FleetState,
    /// Counts since the start or the last reset.
    pub figures: Figures,
}

impl Simulation {
    /// Returns a simulation whose initial servers run and whose first request is scheduled.
    pub fn new(config: SimulationConfig) -> Self {
        let mut simulation = Self::without_servers_running(config);
        (0..config.initial_servers.min(config.servers)).for_each(|server| simulation.start(server, false));
        if config.coordination == Coordination::Oracle {
            simulation.queue.schedule(START + ORACLE_PERIOD, Event::OracleRound);
        }
        simulation.queue.schedule(START + FIRST_REQUEST_AFTER, Event::NextRequest);
        simulation
    }

    fn without_servers_running(config: SimulationConfig) -> Self {
        let servers = config.servers;
        let gateways = (servers / 2).max(MIN_GATEWAYS);
        let work = WORK_BY_CLASS_S.to_vec();
        Self {
            queue: EventQueue::new(START),
            random: Pcg::new(config.seed),
            servers: (0..servers).map(|_| Server::down(&config)).collect(),
            gateways: Gateways::new(gateways, servers, config.request_rate(), REQUEST_TIMEOUT, work),
            dependency: SharedDependency::new(config.dependency_slots(), config.call_duration),
            server_list: ServerList::new(servers, LIST_DELAY),
            last_request_number: 0,
            coordinators: (0..servers).map(|_| None).collect(),
            links: vec![DependencyLink { slowdown: 1.0, down: false }; servers],
            network: Network::new(SITES),
            oracle_state: FleetState::default(),
            figures: Figures::default(),
            config,
        }
    }

    /// Schedules a scripted action for this long after the start of the simulation.
    pub fn script(&mut self, after: Duration, action: ScriptAction) {
        self.queue.schedule(START + after, Event::Script(action));
    }

    /// Resets all counts but those of each second.
    pub fn reset_figures(&mut self) {
        let succeeded_by_second = std::mem::take(&mut self.figures).succeeded_by_second;
        self.figures.succeeded_by_second = succeeded_by_second;
        (self.dependency.calls, self.dependency.max_concurrent_calls) = (0, 0);
    }

    /// Runs the simulation for this long in virtual time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.queue.now + duration;
        while let Some(event) = self.queue.next(end) {
            self.handle(event);
        }
        self.figures.calls = self.dependency.calls;
        self.figures.max_concurrent_calls = self.dependency.max_concurrent_calls;
    }

    /// Handles an event, or postpones it to the end of the pause if its server is paused.
    fn handle(&mut self, event: Event) {
        let now = self.queue.now;
        let paused_until = event.server().and_then(|server| self.servers[server].paused_until);
        if let Some(until) = paused_until.filter(|until| now < *until) {
            return self.queue.schedule(until, event);
        }
        match event {
            Event::NextRequest => self.send_next_request(),
            Event::Retry { rejected_by, request } => self.send_attempt(request, Some(rejected_by)),
            Event::RequestReceived { server, incarnation, id, request } => {
                self.request_received(server, incarnation, id, request);
            }
            Event::ControllerTimer { server, incarnation } => self.controller_timer(server, incarnation),
            Event::CoreCheck { server, incarnation, at } => self.check_cores(server, incarnation, at),
            Event::CallFinished(end) => self.call_finished(&end),
            Event::ServerListReport { server, incarnation } => {
                self.report_to_server_list(server, incarnation)
            }
            Event::Script(action) => self.apply_action(action),
            Event::FleetTick { server, incarnation, at } => self.fleet_tick(server, incarnation, at),
            Event::DatagramReceived { server, datagram } => self.datagram_received(server, &datagram),
            Event::LoadObservation { server, incarnation } => self.load_observation(server, incarnation),
            Event::OracleRound => self.guide_by_oracle(),
        }
    }
}
