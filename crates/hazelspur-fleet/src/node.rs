//! One server's part in the fleet: membership, quotas, load reports and the circuit breaker of the shared
//! dependency behind one set of inputs, as the server, the simulator and the tests drive it.
//!
//! The caller hands in two clocks: the wall clock, by which servers share time slots and datagrams show their
//! age, and a monotonic clock, by which leases are counted.

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

/// The shared dependency. Probers and time slots are drawn by this name, so all servers must use the same.
const DEPENDENCY_NAME: &str = "ledger";
/// Members to which the load report goes in each period, besides those that get a datagram anyway.
const REPORT_FANOUT: usize = 3;
/// Largest age of a load report, in periods.
const MAX_REPORT_AGE_PERIODS: f64 = 5.0;
/// Load reports that are kept, over the largest number of servers.
const REPORT_CAPACITY_OVER_SERVERS: usize = 2;
/// Members that learn at once that this server reaches the dependency again.
const RECOVERY_FANOUT: usize = 8;
/// Weight of the last call in the share of calls that did not reach the dependency.
const LAST_CALL_WEIGHT: f64 = 0.3;
/// Time after the last call within which the share of unreachable calls is reported.
const RECENT_CALL_WINDOW: Duration = Duration::from_ms(3000);
/// Time for which the same servers are designated probers.
const PROBER_ROTATION: Duration = Duration::from_ms(60_000);

/// One moment by both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Clocks {
    /// The wall clock.
    pub wall: Timestamp,
    /// A clock that nobody sets.
    pub monotonic: Timestamp,
}

/// What this server observes of its own work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// Mean latency of calls to the shared dependency, in seconds; none without calls.
    pub call_secs: Option<f64>,
    /// Share of the last requests that it rejected, 0 to 1.
    pub rejected_fraction: f64,
}

/// The share of one limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// The limit.
    pub limit: LimitName,
    /// What this server may use of it.
    pub share: QuotaShare,
}

/// One server's part in the fleet.
#[derive(Clone, Debug)]
pub struct FleetNode {
    /// Who belongs to the fleet.
    pub membership: Membership,
    /// This server's part in dividing shared limits; none where nothing is shared.
    pub quota: Option<QuotaManager>,
    /// The circuit breaker of the shared dependency.
    pub breaker: CircuitBreaker,
    fingerprint: Option<ConfigFingerprint>,
    load_reports: LoadReportTable,
    latency_ratio: LatencyRatioTracker,
    own_report: PeerLoadReport,
    aggregated: Option<AggregatedLoad>,
    fault_scope: FaultScope,
    /// Share of the last calls that did not reach the dependency, exponentially weighted.
    unreachable_fraction: f64,
    last_call_at: Timestamp,
    period: Duration,
    next_report_exchange_at: Timestamp,
}

impl FleetNode {
    /// A new run of the process. `quota` has passed `QuotaConfig::check`.
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

    /// Takes a datagram that `datagram::open` has accepted.
    ///
    /// # Errors
    /// As `Membership::receive`.
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

    /// Takes what this server observed lately, which becomes its load report.
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

    /// A call to the shared dependency has ended, or a probe while the breaker was open: whether it was
    /// reached.
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

    /// A call to the shared dependency was accepted and not answered in time.
    pub fn call_unanswered(&mut self, now: Clocks) {
        self.last_call_at = now.monotonic;
        self.breaker.call_unanswered(now.wall);
    }

    fn announce_recovery(&mut self) {
        self.unreachable_fraction = 0.0;
        self.own_report.unreachable_fraction = Some(0.0);
        self.membership.set_load_report(self.own_report);
        self.membership.gossip(RECOVERY_FANOUT);
    }

    /// Acts on timers: to be called after `time_to_next_tick`.
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

    /// This server drains: others learn that, and its leases are given back.
    pub fn leave(&mut self, now: Clocks) {
        self.membership.leave(now.wall);
        if let Some(quota) = &mut self.quota {
            quota.leave(now.monotonic);
        }
        self.send_quota_messages();
    }

    /// Sets what this server would use of a limit.
    pub fn set_demand(&mut self, limit: &str, amount: f64) {
        if let Some(quota) = &mut self.quota
            && let Some(limit) = quota.config().find(limit)
        {
            quota.set_demand(limit, amount);
        }
    }

    // ---- outputs ----

    /// After how long `tick` is to be called.
    pub fn time_to_next_tick(&self, now: Clocks) -> Duration {
        let timers = [Some(self.next_report_exchange_at), self.quota.as_ref().map(QuotaManager::next_tick)];
        let waits = timers.into_iter().flatten().map(|timer| timer - now.monotonic);
        waits.fold(self.membership.next_tick() - now.wall, Duration::min)
    }

    /// The next datagram to send.
    pub fn next_datagram(&mut self, now: Clocks) -> Option<OutgoingDatagram> {
        self.membership.next_datagram(now.wall)
    }

    /// What this server may use of a limit now; `None` where it is not shared.
    pub fn share(&self, now: Clocks, limit: &str) -> Option<QuotaShare> {
        let quota = self.quota.as_ref()?;
        quota.config().find(limit).map(|limit| quota.share(now.monotonic, limit))
    }

    /// The shares of all limits, in the order of the configuration.
    pub fn shares(&self, now: Clocks) -> Vec<LimitShare> {
        let Some(quota) = &self.quota else { return Vec::new() };
        let share = |index| quota.share(now.monotonic, LimitId(index));
        let limits = quota.config().limits.iter().enumerate();
        limits.map(|(index, limit)| LimitShare { limit: limit.name, share: share(index) }).collect()
    }

    /// What the load reports of all say, as of the last period.
    pub fn aggregated_load(&self) -> Option<AggregatedLoad> {
        self.aggregated
    }

    /// This server's own load report.
    pub fn load_report(&self) -> PeerLoadReport {
        self.own_report
    }

    /// Who is affected by the fault that this server sees, as of the last period.
    pub fn fault_scope(&self) -> FaultScope {
        self.fault_scope
    }

    /// What an operator's command shows.
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

    /// Checks what must be true after each input.
    ///
    /// # Errors
    /// Returns the first invariant that does not hold.
    pub fn check_invariants(&self, now: Clocks) -> Result<(), InvariantViolation> {
        self.membership.check_invariants()?;
        self.quota.as_ref().map_or(Ok(()), |quota| quota.check_invariants(now.monotonic))
    }

    // ---- inside ----

    fn aggregate_reports(&mut self, now: Clocks) {
        self.aggregated = self.load_reports.aggregate(now.monotonic);
        self.fault_scope = FaultScope::of(&self.own_report, self.aggregated.as_ref());
        let view = self.aggregated.map(|aggregated| PeerView {
            // Only an open breaker asks whether this server is designated.
            designated: !self.breaker.is_closed() && self.is_designated_prober(now),
            mostly_unreachable: aggregated.is_unreachable(),
        });
        self.breaker.set_peer_view(now.wall, view);
    }

    fn is_designated_prober(&self, now: Clocks) -> bool {
        let alive = self.membership.alive();
        let candidates = alive.map(|(name, site)| WeightedMember { name, site, weight: 1.0 });
        let round = now.wall.us() / PROBER_ROTATION.us();
        let me = self.membership.local_update().name;
        let probers = select_across_sites(DEPENDENCY_NAME, round, DESIGNATED_PROBERS, candidates);
        probers.iter().any(|prober| prober.name == me)
    }

    /// Hands the messages of the quota protocol to the membership. A member that is not known yet is not
    /// reached, as if the datagram were lost.
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

/// A share from 0 to 1; zero for what is no number.
fn clamp_fraction(value: f64) -> f32 {
    if value.is_finite() { value.clamp(0.0, 1.0) as f32 } else { 0.0 }
}
