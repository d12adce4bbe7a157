//! Coordination of the simulated servers: the real `FleetNode` of each server over the simulated network, or
//! an oracle that knows the true state of all servers with a short delay. The output is guidance for the
//! controller of each server.

use super::event::Event;
use super::{Coordination, Simulation, SimulationConfig};
use crate::membership_protocols::swim::{member_address, member_name, node_config, server_number};
use hazelspur::{Duration, GuidanceKey, LoadReport, Timestamp};
use hazelspur_fleet::guidance::{Guidance, GuidanceUpdate, GuidedLimit, LeaseExpiry};
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::node::LocalLoad;
use hazelspur_fleet::quota::{LimitId, QuotaConfig, SharedLimit, fair_level};
use hazelspur_fleet::{Clocks, Datagram, FleetNode, Generation, LimitName};

/// Time between two observations of a server's own load.
const OBSERVATION_PERIOD: Duration = Duration::from_ms(200);
/// Time between two rounds of the oracle; each round uses the state of the round before.
pub(super) const ORACLE_PERIOD: Duration = Duration::from_ms(250);
/// Name of the shared limit of concurrent calls.
const CALL_LIMIT_NAME: &str = "calls";
/// Controller setting that the shared limit determines.
const GUIDED_SETTING: GuidanceKey = GuidanceKey::CallConcurrencyLimit;
/// Call concurrency that a server requests before it has measured its demand.
const DEFAULT_CALL_DEMAND: f64 = 1.0;
/// Lowest call concurrency limit that the oracle sets.
const MIN_ORACLE_LIMIT: f64 = 0.05;
/// Number of voters that elect the quota allocator.
const VOTERS: usize = 5;
/// Time for which a vote is valid.
const VOTE_DURATION: Duration = Duration::from_ms(4000);
/// Time for which calls may still use the dependency after their lease ended.
const RESIDUAL_DURATION: Duration = Duration::from_ms(500);
/// Divisor of the fleet size that gives the number of servers by which the fleet may grow.
const GROWTH_DIVISOR: usize = 4;
/// Microseconds in a millisecond, which is the unit of a process generation.
const US_PER_MS: u64 = 1000;
/// Shortest time until the next tick.
const MIN_TICK_WAIT: Duration = Duration::from_us(1);

/// One server's fleet node, and the guidance that the server's controller gets from it.
pub(super) struct Coordinator {
    node: FleetNode,
    guidance: Guidance,
    /// Time of the scheduled tick; the zero timestamp if none is scheduled.
    next_tick: Timestamp,
    /// End of the current lease and the values that apply from then on; `None` without a lease.
    expiry: Option<LeaseExpiry>,
}

/// The true state of the fleet at the oracle's last round.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetState {
    /// Call concurrency that each server needs.
    demands: Vec<f64>,
    /// Mean rejected fraction of all running servers.
    rejected_fraction: f64,
    /// Whether the dependency is unreachable for all servers.
    dependency_down: bool,
}

/// The quotas that are in force over all servers.
#[derive(Clone, Copy, Debug)]
pub struct QuotaInForce {
    /// Sum of all quotas divided by the dependency's slots; above 1 if the slots are overcommitted.
    pub fraction: f64,
    /// Number of servers with a lease.
    pub lessees: usize,
}

/// Returns the quota configuration of a fleet: one limit of concurrent calls, and five voters spread evenly
/// over the server numbers, or the first server alone in a smaller fleet.
fn quota_config(config: &SimulationConfig) -> QuotaConfig {
    let servers = config.servers;
    let calls = SharedLimit {
        name: LimitName::new(CALL_LIMIT_NAME).expect("the name is within the length bound"),
        total: config.dependency_slots(),
        guaranteed_fraction: config.guaranteed_fraction,
        residual_duration: RESIDUAL_DURATION,
        max_turn: None,
    };
    let voters = if servers < VOTERS {
        vec![member_name(0)]
    } else {
        (0..VOTERS).map(|voter| member_name(voter * servers / VOTERS)).collect()
    };
    QuotaConfig {
        voters,
        max_servers: max_servers(servers),
        vote_duration: VOTE_DURATION,
        limits: vec![calls],
    }
}

/// Returns the number of servers to which the fleet may grow.
fn max_servers(servers: usize) -> usize {
    servers + servers.div_ceil(GROWTH_DIVISOR)
}

/// Returns the call concurrency that a server requests.
fn call_demand(report: &LoadReport) -> f64 {
    report.needed_call_concurrency.unwrap_or(DEFAULT_CALL_DEMAND)
}

impl Coordinator {
    fn new(config: &SimulationConfig, server: usize, seed: u64, clocks: Clocks) -> Self {
        let gossips = config.coordination == Coordination::Gossip;
        let mut membership = node_config(server, max_servers(config.servers));
        if !gossips {
            membership.seeds = vec![member_address(server)];
        }
        let quota = gossips.then(|| quota_config(config));
        let limits =
            if gossips { vec![GuidedLimit { limit: LimitId(0), key: GUIDED_SETTING }] } else { Vec::new() };
        let generation = Generation(clocks.wall.us() / US_PER_MS);
        Self {
            node: FleetNode::new(membership, quota, generation, seed, clocks),
            guidance: Guidance::new(true, limits),
            next_tick: Timestamp::default(),
            expiry: None,
        }
    }

    /// Returns when the node needs its next tick, for its timers or for a probe of its circuit breaker.
    fn time_of_next_tick(&mut self, clocks: Clocks) -> Timestamp {
        let until_probe = self.node.breaker.next_probe().map(|next| next - clocks.wall);
        let wait = until_probe.into_iter().fold(self.node.time_to_next_tick(clocks), Duration::min);
        clocks.wall + wait.max(MIN_TICK_WAIT)
    }
}

impl Simulation {
    fn clocks(&self) -> Clocks {
        // The clocks of all simulated servers agree; leases need only a monotonic clock.
        Clocks { wall: self.queue.now, monotonic: self.queue.now }
    }

    /// Starts the fleet node of a new incarnation, if the servers coordinate themselves.
    pub(super) fn start_coordinator(&mut self, server: usize, seed: u64) {
        let clocks = self.clocks();
        self.coordinators[server] = match self.config.coordination {
            Coordination::Gossip | Coordination::Local => {
                Some(Coordinator::new(&self.config, server, seed, clocks))
            }
            Coordination::None | Coordination::Oracle => None,
        };
        if self.coordinators[server].is_some() {
            let incarnation = self.servers[server].incarnation;
            let first = OBSERVATION_PERIOD.scaled(self.random.draw_fraction());
            self.queue.schedule(clocks.wall + first, Event::LoadObservation { server, incarnation });
            self.send_datagrams(server);
        }
    }

    /// Passes the server's load and demand to its fleet node, and the resulting guidance to its controller.
    pub(super) fn load_observation(&mut self, server: usize, incarnation: u64) {
        if !self.is_current(server, incarnation) {
            return;
        }
        let (clocks, now) = (self.clocks(), self.queue.now);
        let controller = &self.servers[server].controller;
        let (Some(controller), Some(coordinator)) = (controller, &mut self.coordinators[server]) else {
            return;
        };
        let report = controller.load_report(now);
        let load = LocalLoad { call_secs: report.call_latency_s, rejected_fraction: report.rejected_share };
        coordinator.node.observe(clocks, load);
        coordinator.node.set_demand(CALL_LIMIT_NAME, call_demand(&report));
        self.queue.schedule(now + OBSERVATION_PERIOD, Event::LoadObservation { server, incarnation });
        self.send_datagrams(server);
        self.update_guidance(server);
    }

    pub(super) fn datagram_received(&mut self, server: usize, datagram: &Datagram) {
        let clocks = self.clocks();
        let Some(coordinator) = &mut self.coordinators[server] else { return };
        // A rejected datagram is dropped; the node counts it.
        let _ = coordinator.node.receive(clocks, datagram);
        self.send_datagrams(server);
        self.update_guidance(server);
    }

    /// Handles the scheduled tick; one that was rescheduled has no effect.
    pub(super) fn fleet_tick(&mut self, server: usize, incarnation: u64, at: Timestamp) {
        if !self.is_current(server, incarnation) {
            return;
        }
        let clocks = self.clocks();
        let Some(coordinator) = &mut self.coordinators[server] else { return };
        if coordinator.next_tick != at {
            return;
        }
        coordinator.next_tick = Timestamp::default();
        coordinator.node.tick(clocks);
        self.probe_dependency(server);
        self.send_datagrams(server);
        self.update_guidance(server);
    }

    /// Probes the dependency if a probe of the circuit breaker is due.
    fn probe_dependency(&mut self, server: usize) {
        let clocks = self.clocks();
        let Some(coordinator) = &mut self.coordinators[server] else { return };
        if coordinator.node.breaker.next_probe().is_some_and(|next| next <= clocks.wall) {
            coordinator.node.breaker.probe_sent(clocks.wall);
            let reached = !self.dependency.down && !self.links[server].down;
            self.figures.unreachable_calls += u64::from(!reached);
            coordinator.node.call_finished(clocks, reached);
        }
    }

    /// Records a call that ended in time, or one that did not reach the dependency.
    pub(super) fn record_call(&mut self, server: usize, reached: bool) {
        let clocks = self.clocks();
        self.figures.unreachable_calls += u64::from(!reached);
        let Some(coordinator) = &mut self.coordinators[server] else { return };
        coordinator.node.call_finished(clocks, reached);
        self.send_datagrams(server);
    }

    /// Sends the node's datagrams, and schedules its next tick.
    fn send_datagrams(&mut self, server: usize) {
        let clocks = self.clocks();
        let Some(coordinator) = &mut self.coordinators[server] else { return };
        while let Some(OutgoingDatagram { address, datagram }) = coordinator.node.next_datagram(clocks) {
            let receiver = server_number(address);
            if receiver >= self.servers.len() {
                continue;
            }
            self.figures.datagrams += 1;
            for delay in self.network.draw_delays(&mut self.random, server, receiver) {
                let datagram = Box::new(datagram.clone());
                let received = Event::DatagramReceived { server: receiver, datagram };
                self.queue.schedule(clocks.wall + delay, received);
            }
        }
        while coordinator.node.membership.next_event().is_some() {}
        self.schedule_fleet_tick(server);
    }

    fn schedule_fleet_tick(&mut self, server: usize) {
        let clocks = self.clocks();
        let Some(coordinator) = &mut self.coordinators[server] else { return };
        let next = coordinator.time_of_next_tick(clocks);
        let scheduled = coordinator.next_tick;
        if scheduled == Timestamp::default() || next < scheduled || scheduled <= clocks.wall {
            coordinator.next_tick = next;
            let incarnation = self.servers[server].incarnation;
            self.queue.schedule(next, Event::FleetTick { server, incarnation, at: next });
        }
    }

    /// Passes guidance that changed to the controller.
    fn update_guidance(&mut self, server: usize) {
        let (clocks, now) = (self.clocks(), self.queue.now);
        let Some(coordinator) = &mut self.coordinators[server] else { return };
        let GuidanceUpdate { changes, expiry } = coordinator.guidance.next_update(clocks, &coordinator.node);
        coordinator.expiry = expiry;
        if changes.is_empty() {
            return;
        }
        if let Some(controller) = &mut self.servers[server].controller {
            changes.iter().for_each(|change| controller.set_guidance(now, change.key, change.value));
        }
        self.carry_out_decisions(server);
    }

    /// Ends a lease that has expired. Called whenever decisions are carried out, so that a late tick of the
    /// fleet node does not prolong the lease.
    pub(super) fn expire_lease(&mut self, server: usize) {
        let now = self.queue.now;
        let Some(coordinator) = &mut self.coordinators[server] else { return };
        let Some(expiry) = coordinator.expiry.take_if(|expiry| now >= expiry.at) else { return };
        coordinator.guidance.forget();
        if let Some(controller) = &mut self.servers[server].controller {
            expiry.values.iter().for_each(|value| controller.set_guidance(now, value.key, Some(value.value)));
        }
    }

    /// Guides all servers by the state of the round before, and records the current state for the next round.
    pub(super) fn guide_by_oracle(&mut self) {
        let now = self.queue.now;
        let state = std::mem::take(&mut self.oracle_state);
        let level = fair_level(self.config.dependency_slots(), state.demands.clone());
        for server in 0..self.servers.len() {
            let Some(controller) = &mut self.servers[server].controller else { continue };
            if let Some(demand) = state.demands.get(server) {
                let limit = demand.min(level).max(MIN_ORACLE_LIMIT);
                controller.set_guidance(now, GUIDED_SETTING, Some(limit));
            }
            controller.set_guidance(now, GuidanceKey::RejectedShare, Some(state.rejected_fraction));
            controller.set_guidance(now, GuidanceKey::BreakerOpen, state.dependency_down.then_some(1.0));
            self.carry_out_decisions(server);
        }
        self.oracle_state = self.true_state();
        self.queue.schedule(now + ORACLE_PERIOD, Event::OracleRound);
    }

    fn true_state(&self) -> FleetState {
        let now = self.queue.now;
        let controllers = self.servers.iter().map(|server| server.controller.as_ref());
        let reports: Vec<Option<LoadReport>> =
            controllers.map(|controller| controller.map(|controller| controller.load_report(now))).collect();
        let running = reports.iter().flatten().count().max(1) as f64;
        let rejected = reports.iter().flatten().map(|report| report.rejected_share).sum::<f64>();
        FleetState {
            demands: reports.iter().map(|report| report.as_ref().map_or(0.0, call_demand)).collect(),
            rejected_fraction: rejected / running,
            dependency_down: self.dependency.down,
        }
    }

    /// Returns the quotas that all servers may use now.
    pub fn quota_in_force(&self) -> QuotaInForce {
        let clocks = self.clocks();
        let coordinators = self.coordinators.iter().flatten();
        let shares = coordinators.filter_map(|coordinator| coordinator.node.share(clocks, CALL_LIMIT_NAME));
        let (mut sum, mut lessees) = (0.0, 0);
        for share in shares {
            sum += share.amount;
            lessees += usize::from(share.expires.is_some());
        }
        QuotaInForce { fraction: sum / self.config.dependency_slots(), lessees }
    }
}
