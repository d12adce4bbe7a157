//! The fleet node: membership, quotas, load reports and the circuit breaker of the shared dependency for one
//! server, behind one set of inputs and outputs. The server, the simulator and the tests drive it.
//!
//! The caller passes the readings of two clocks: the wall clock, which determines time slots and the age of
//! datagrams, and a monotonic clock, which determines the duration of leases.

use crate::circuit_breaker::{CircuitBreaker, DESIGNATED_PROBERS, PeerView};
use crate::datagram::{AllocationSummary, Body, CoordinationState, Datagram, DatagramError, ShareSummary};
use crate::invariant::InvariantViolation;
use crate::load_reports::{AggregatedLoad, FaultScope, LatencyRatioTracker, LoadReportTable, PeerLoadReport};
use crate::membership::{Membership, OutgoingDatagram};
use crate::names::{Generation, LimitName, ProcessIncarnation};
use crate::node_config::NodeConfig;
use crate::quota::{ConfigFingerprint, LimitId, OutgoingMessage, QuotaConfig, QuotaManager, QuotaShare};
use crate::subset::{WeightedMember, select_across_sites};
use hazelspur::{Duration, Timestamp};

/// Name of the shared dependency. It determines the choice of probers and time slots, so all servers must use
/// the same name.
const DEPENDENCY_NAME: &str = "ledger";
/// Number of members that receive an additional datagram with the load report in each period.
const REPORT_FANOUT: usize = 3;
/// Maximum age of a load report, in periods.
const MAX_REPORT_AGE_PERIODS: f64 = 5.0;
/// Ratio of the number of load reports that are kept to the maximum number of servers.
const REPORT_CAPACITY_OVER_SERVERS: usize = 2;
/// Number of members that are told immediately that this server reaches the dependency again.
const RECOVERY_FANOUT: usize = 8;
/// Weight of the last call in the moving average of calls that did not reach the dependency.
const LAST_CALL_WEIGHT: f64 = 0.3;
/// Time after the last call for which the share of unreachable calls is reported.
const RECENT_CALL_WINDOW: Duration = Duration::from_ms(3000);
/// Interval after which other servers become the designated probers.
const PROBER_ROTATION: Duration = Duration::from_ms(60_000);

/// The readings of both clocks at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Clocks {
    /// The wall clock.
    pub wall: Timestamp,
    /// The monotonic clock, which is never set.
    pub monotonic: Timestamp,
}

/// This server's recent measurements of its own requests and calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// Mean latency of calls to the shared dependency, in seconds; `None` without calls.
    pub call_secs: Option<f64>,
    /// Share of the last requests that the server rejected, 0 to 1.
    pub rejected_fraction: f64,
}

/// This server's share of one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Name of the limit.
    pub limit: LimitName,
    /// Amount of the limit that this server may use, and until when.
    pub share: QuotaShare,
}

/// The state of one server's coordination with the fleet.
#[derive(Clone, Debug)]
pub struct FleetNode {
    /// The membership protocol.
    pub membership: Membership,
    /// The division of shared limits; `None` if no limit is shared.
    pub quota: Option<QuotaManager>,
    /// The circuit breaker of the shared dependency.
    pub breaker: CircuitBreaker,
    /// Fingerprint of the quota configuration. Messages of servers with another one are ignored.
    fingerprint: Option<ConfigFingerprint>,
    load_reports: LoadReportTable,
    latency_ratio: LatencyRatioTracker,
    own_report: PeerLoadReport,
    /// The aggregated load reports as of the last period.
    aggregated: Option<AggregatedLoad>,
    fault_scope: FaultScope,
    /// Exponentially weighted moving average of the calls that did not reach the dependency, 0 to 1.
    unreachable_fraction: f64,
    last_call_at: Timestamp,
    /// The probe period, in which load reports are also exchanged.
    period: Duration,
    /// Time of the next gossip of load reports, by the monotonic clock.
    next_report_exchange_at: Timestamp,
}

impl FleetNode {
    /// Creates the node of a new run of the process. `quota` must have passed `QuotaConfig::check`.
    pub fn new(
        config: NodeConfig,
        quota: Option<QuotaConfig>,
        generation: Generation,
        seed: u64,
        now: Clocks,
    ) -> Self {
        let me = ProcessIncarnation { name: config.name, generation };
        let (period, max_servers) = (config.probe_period, config.max_servers);
        let max_report_age = period.scaled(MAX_REPORT_AGE_PERIODS);
        Self {
            fingerprint: quota.as_ref().map(QuotaConfig::fingerprint),
            quota: quota.map(|quota| QuotaManager::new(quota, me, seed, now.monotonic)),
            breaker: CircuitBreaker::new(me.name, DEPENDENCY_NAME, max_servers),
            load_reports: LoadReportTable::new(max_servers * REPORT_CAPACITY_OVER_SERVERS, max_report_age),
            latency_ratio: LatencyRatioTracker::default(),
            own_report: PeerLoadReport::default(),
            aggregated: None,
            fault_scope: FaultScope::None,
            unreachable_fraction: 0.0,
            last_call_at: Timestamp::default(),
            period,
            next_report_exchange_at: now.monotonic + period,
            membership: Membership::new(config, generation, seed, now.wall),
        }
    }

    // ---- inputs ----

    /// Processes a datagram that `datagram::open` has accepted.
    ///
    /// # Errors
    /// Returns the errors of `Membership::receive`.
    pub fn receive(&mut self, now: Clocks, datagram: &Datagram) -> Result<(), DatagramError> {
        if let Body::CoordinationQuery { number } = datagram.body {
            let reply = Body::CoordinationReply { number, state: self.coordination_state(now) };
            self.membership.reply_to_operator(datagram.sender.address, reply);
            return Ok(());
        }
        self.membership.receive(now.wall, datagram)?;
        if matches!(datagram.body, Body::FleetQuery { .. }) {
            return Ok(());
        }
        if let Some(report) = datagram.load_report {
            self.receive_report(now, datagram, report);
        }
        self.receive_quota_message(now, datagram);
        self.send_quota_messages();
        Ok(())
    }

    fn receive_report(&mut self, now: Clocks, datagram: &Datagram, report: PeerLoadReport) {
        let sender = &datagram.sender;
        self.load_reports.receive(now.monotonic, sender.name, sender.site, report);
        if report.is_valid() && report.is_reachable() {
            self.breaker.recovery_hint(now.wall);
        }
    }

    fn receive_quota_message(&mut self, now: Clocks, datagram: &Datagram) {
        if let (Body::Quota { fingerprint, message }, Some(quota)) = (&datagram.body, &mut self.quota)
            && self.fingerprint == Some(*fingerprint)
        {
            let from =
                ProcessIncarnation { name: datagram.sender.name, generation: datagram.sender.generation };
            quota.receive(now.monotonic, from, message);
        }
    }

    /// Updates this server's load report from its recent measurements.
    pub fn observe(&mut self, now: Clocks, load: LocalLoad) {
        let called_recently = now.monotonic - self.last_call_at < RECENT_CALL_WINDOW;
        let unreachable = if self.breaker.is_closed() {
            called_recently.then(|| clamp_fraction(self.unreachable_fraction))
        } else {
            Some(1.0)
        };
        let ratio = load.call_secs.map_or(0.0, |secs| self.latency_ratio.observe(now.monotonic, secs));
        self.own_report = PeerLoadReport {
            latency_ratio: ratio,
            unreachable_fraction: unreachable,
            rejected_fraction: clamp_fraction(load.rejected_fraction),
        };
        self.membership.set_load_report(self.own_report);
    }

    /// Records the end of a call to the shared dependency, or of a probe while the breaker was open.
    /// `reached` states whether the dependency was reached.
    pub fn call_finished(&mut self, now: Clocks, reached: bool) {
        let was_closed = self.breaker.is_closed();
        self.last_call_at = now.monotonic;
        let unreachable = f64::from(u8::from(!reached));
        self.unreachable_fraction += LAST_CALL_WEIGHT * (unreachable - self.unreachable_fraction);
        self.breaker.call_finished(now.wall, reached);
        if !was_closed && self.breaker.is_closed() {
            self.announce_recovery();
        }
    }

    /// Records a call that the shared dependency accepted and did not answer in time.
    pub fn call_unanswered(&mut self, now: Clocks) {
        self.last_call_at = now.monotonic;
        self.breaker.call_unanswered(now.wall);
    }

    /// Reports the dependency as reachable and sends the report to some members immediately.
    fn announce_recovery(&mut self) {
        self.unreachable_fraction = 0.0;
        self.own_report.unreachable_fraction = Some(0.0);
        self.membership.set_load_report(self.own_report);
        self.membership.gossip(RECOVERY_FANOUT);
    }

    /// Runs all timers that are due. To be called after `time_to_next_tick` has passed; an earlier call is
    /// harmless.
    pub fn tick(&mut self, now: Clocks) {
        self.membership.tick(now.wall);
        if let Some(quota) = &mut self.quota
            && now.monotonic >= quota.next_tick()
        {
            quota.tick(now.monotonic);
        }
        if now.monotonic >= self.next_report_exchange_at {
            self.next_report_exchange_at = now.monotonic + self.period;
            self.membership.gossip(REPORT_FANOUT);
            self.aggregate_reports(now);
        }
        self.send_quota_messages();
    }

    /// Begins draining: announces it to other members and returns the leases.
    pub fn leave(&mut self, now: Clocks) {
        self.membership.leave(now.wall);
        if let Some(quota) = &mut self.quota {
            quota.leave(now.monotonic);
        }
        self.send_quota_messages();
    }

    /// Sets the amount of a limit that this server could use. Has no effect if the limit is not shared.
    pub fn set_demand(&mut self, limit: &str, amount: f64) {
        if let Some(quota) = &mut self.quota
            && let Some(limit) = quota.config().find(limit)
        {
            quota.set_demand(limit, amount);
        }
    }

    // ---- outputs ----

    /// Returns the time until `tick` is to be called.
    pub fn time_to_next_tick(&self, now: Clocks) -> Duration {
        let timers = [Some(self.next_report_exchange_at), self.quota.as_ref().map(QuotaManager::next_tick)];
        let waits = timers.into_iter().flatten().map(|timer| timer - now.monotonic);
        waits.fold(self.membership.next_tick() - now.wall, Duration::min)
    }

    /// Removes and returns the next datagram to send.
    pub fn next_datagram(&mut self, now: Clocks) -> Option<OutgoingDatagram> {
        self.membership.next_datagram(now.wall)
    }

    /// Returns this server's current share of a limit, or `None` if the limit is not shared.
    pub fn share(&self, now: Clocks, limit: &str) -> Option<QuotaShare> {
        let quota = self.quota.as_ref()?;
        quota.config().find(limit).map(|limit| quota.share(now.monotonic, limit))
    }

    /// Returns the shares of all limits, in the order of the configuration.
    pub fn shares(&self, now: Clocks) -> Vec<LimitShare> {
        let Some(quota) = &self.quota else { return Vec::new() };
        let share = |index| quota.share(now.monotonic, LimitId(index));
        let limits = quota.config().limits.iter().enumerate();
        limits.map(|(index, limit)| LimitShare { limit: limit.name, share: share(index) }).collect()
    }

    /// Returns the aggregated load reports as of the last period, or `None` without recent reports.
    pub fn aggregated_load(&self) -> Option<AggregatedLoad> {
        self.aggregated
    }

    /// Returns this server's own load report.
    pub fn load_report(&self) -> PeerLoadReport {
        self.own_report
    }

    /// Returns the scope of the fault that this server observes, as of the last period.
    pub fn fault_scope(&self) -> FaultScope {
        self.fault_scope
    }

    /// Returns the state of the coordination with other servers, for the reply to an operator's query.
    pub fn coordination_state(&self, now: Clocks) -> CoordinationState {
        let quota = self.quota.as_ref();
        let allocation = quota.and_then(|quota| quota.allocation(now.monotonic, LimitId(0)));
        CoordinationState {
            allocator: quota.and_then(|quota| quota.allocator(now.monotonic)),
            allocation: allocation.map(|allocation| AllocationSummary {
                granted: allocation.granted as f32,
                lessees: allocation.lessees as u32,
            }),
            shares: self.shares(now).into_iter().map(|share| share.summary(now.monotonic)).collect(),
            breaker_open: !self.breaker.is_closed(),
            fault_scope: self.fault_scope,
            load_report: self.own_report,
            aggregated: self.aggregated,
        }
    }

    /// Checks the invariants, which hold after each input.
    ///
    /// # Errors
    /// Returns the first invariant that does not hold.
    pub fn check_invariants(&self, now: Clocks) -> Result<(), InvariantViolation> {
        self.membership.check_invariants()?;
        self.quota.as_ref().map_or(Ok(()), |quota| quota.check_invariants(now.monotonic))
    }

    // ---- internals ----

    /// Aggregates the load reports and tells the circuit breaker the result.
    fn aggregate_reports(&mut self, now: Clocks) {
        self.aggregated = self.load_reports.aggregate(now.monotonic);
        self.fault_scope = FaultScope::of(&self.own_report, self.aggregated.as_ref());
        let view = self.aggregated.map(|aggregated| PeerView {
            // Only an open breaker uses this value, so the selection is skipped while it is closed.
            designated: !self.breaker.is_closed() && self.is_designated_prober(now),
            mostly_unreachable: aggregated.is_unreachable(),
        });
        self.breaker.set_peer_view(now.wall, view);
    }

    /// Returns whether this server is one of the designated probers of the current rotation.
    fn is_designated_prober(&self, now: Clocks) -> bool {
        let alive = self.membership.alive();
        let candidates = alive.map(|(name, site)| WeightedMember { name, site, weight: 1.0 });
        let round = now.wall.us() / PROBER_ROTATION.us();
        let me = self.membership.local_update().name;
        let probers = select_across_sites(DEPENDENCY_NAME, round, DESIGNATED_PROBERS, candidates);
        probers.iter().any(|prober| prober.name == me)
    }

    /// Queues the pending messages of the quota protocol as datagrams. A message to a member that is not
    /// known yet is dropped, which the protocol handles like the loss of a datagram.
    fn send_quota_messages(&mut self) {
        let (Some(quota), Some(fingerprint)) = (&mut self.quota, self.fingerprint) else { return };
        while let Some(OutgoingMessage { to, message }) = quota.next_message() {
            self.membership.send_to_member(to, Body::Quota { fingerprint, message });
        }
    }
}

impl LimitShare {
    fn summary(&self, now: Timestamp) -> ShareSummary {
        let remaining_ms = |expires: Timestamp| (expires - now).us() / 1000;
        let expires_in_ms = self.share.expires.map(remaining_ms);
        ShareSummary {
            limit: self.limit,
            amount: self.share.amount as f32,
            guaranteed: self.share.guaranteed as f32,
            expires_in_ms: expires_in_ms.map(|ms| ms.min(u64::from(u32::MAX)) as u32),
        }
    }
}

/// Limits a value to 0 to 1. Returns zero for infinities and NaN.
fn clamp_fraction(value: f64) -> f32 {
    if value.is_finite() { value.clamp(0.0, 1.0) as f32 } else { 0.0 }
}
