//! The real fleet modules in two regions of three zones each: membership alone, and the whole `FleetNode` of
//! a server with membership, load reports and quota. The study `scale` runs them.

use super::swim::{Swim, count_alive, member_name, next_notice, node_config, server_number};
use super::{MembershipNotice, MembershipProtocol, OutgoingPacket};
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::node::LocalLoad;
use hazelspur_fleet::quota::{LimitId, QuotaConfig, SharedLimit};
use hazelspur_fleet::{
    Clocks, Datagram, FleetNode, Generation, LimitName, Membership, NodeConfig, SiteName, datagram,
};

/// Number of regions of the fleet.
pub const REGIONS: usize = 2;
/// Number of zones of all regions; each zone is a site.
pub const ZONES: usize = 6;
/// Names of the zones by their numbers.
const ZONE_NAMES: [&str; ZONES] = ["east-1", "west-1", "east-2", "west-2", "east-3", "west-3"];
/// Number of voters that elect the quota allocator, each in another zone.
pub const VOTERS: usize = 5;
/// Time between two observations of a server's own load, as in `hazelspur-server`.
const OBSERVATION_PERIOD: Duration = Duration::from_ms(200);
/// Mean call latency that each server observes, in seconds; it observes no rejections.
const OBSERVED_CALL_S: f64 = 0.02;
/// Total of each shared limit, divided by the number of servers.
const SLOTS_PER_SERVER: f64 = 4.0;
/// Fraction of each limit that is guaranteed to servers without a lease.
const GUARANTEED_FRACTION: f64 = 0.2;
/// Time for which quota may still be in use after its lease ended.
const RESIDUAL_DURATION: Duration = Duration::from_ms(500);
/// Time for which a vote is valid.
const VOTE_DURATION: Duration = Duration::from_ms(4000);

/// Returns the configuration of a member as `swim::node_config` does, with the server's zone as its site.
pub fn zoned_node_config(server: usize, max_servers: usize) -> NodeConfig {
    let site = SiteName::new(ZONE_NAMES[server % ZONES]).expect("the name is within the length bound");
    NodeConfig { site, ..node_config(server, max_servers) }
}

/// Returns a configuration of `limits` equal limits, whose totals are for `servers` servers, in a fleet of at
/// most `max_servers`.
pub fn quota_config(servers: usize, max_servers: usize, limits: usize) -> QuotaConfig {
    let limit = |at: usize| SharedLimit {
        name: LimitName::new(&format!("limit-{at}")).expect("the name is within the length bound"),
        total: SLOTS_PER_SERVER * servers as f64,
        guaranteed_fraction: GUARANTEED_FRACTION,
        residual_duration: RESIDUAL_DURATION,
        max_turn: None,
    };
    let voters = (0..VOTERS).map(member_name).collect();
    QuotaConfig {
        voters,
        max_servers,
        vote_duration: VOTE_DURATION,
        limits: (0..limits).map(limit).collect(),
    }
}

/// A member that runs membership alone.
pub struct ZonedSwim(pub Swim);

impl MembershipProtocol for ZonedSwim {
    /// Name of this protocol in the printed tables.
    const NAME: &'static str = "members";
    type Packet = Datagram;

    fn start(server: usize, max_servers: usize, seed: u64, now: Timestamp) -> Self {
        Self(Swim(Membership::new(
            zoned_node_config(server, max_servers),
            Generation(now.us() / 1000),
            seed,
            now,
        )))
    }

    fn receive(&mut self, now: Timestamp, packet: &Datagram) {
        self.0.receive(now, packet);
    }

    fn tick(&mut self, now: Timestamp) {
        self.0.tick(now);
    }

    fn next_tick(&self) -> Timestamp {
        self.0.next_tick()
    }

    fn next_packet(&mut self, now: Timestamp) -> Option<OutgoingPacket<Datagram>> {
        self.0.next_packet(now)
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        self.0.next_notice()
    }

    fn leave(&mut self, now: Timestamp) {
        self.0.leave(now);
    }

    fn alive_count(&self) -> usize {
        self.0.alive_count()
    }

    fn entry_count(&self) -> usize {
        self.0.entry_count()
    }
}

/// A member that runs a whole fleet node, with `LIMITS` shared limits.
pub struct ZonedFleetNode<const LIMITS: usize> {
    /// Membership, load reports and quota of the server.
    pub node: FleetNode,
    /// Time of the last input to the node.
    last_input: Timestamp,
    next_observation: Timestamp,
}

/// Returns both clocks of a server at this virtual time; the clocks of all simulated servers agree.
fn clocks(now: Timestamp) -> Clocks {
    Clocks { wall: now, monotonic: now }
}

impl<const LIMITS: usize> MembershipProtocol for ZonedFleetNode<LIMITS> {
    /// Name of this protocol in the printed tables.
    const NAME: &'static str = "members, signals and shares";
    type Packet = Datagram;

    /// Starts a member of a fleet that runs four fifths of `max_servers`; the rest is room for growth.
    fn start(server: usize, max_servers: usize, seed: u64, now: Timestamp) -> Self {
        let quota = quota_config(max_servers * 4 / 5, max_servers, LIMITS);
        let generation = Generation(now.us() / 1000);
        let mut node = FleetNode::new(
            zoned_node_config(server, max_servers),
            Some(quota),
            generation,
            seed,
            clocks(now),
        );
        for limit in 0..LIMITS {
            // Demands are between a half and twice an equal share of the limit.
            let demand = SLOTS_PER_SERVER * [0.5, 0.8, 1.2, 2.0][(server + limit) % 4];
            node.set_demand(&format!("limit-{limit}"), demand);
        }
        Self {
            node,
            last_input: now,
            next_observation: now + OBSERVATION_PERIOD.scaled((seed % 1000) as f64 / 1000.0),
        }
    }

    fn receive(&mut self, now: Timestamp, packet: &Datagram) {
        self.last_input = now;
        // A rejected datagram is dropped; the node counts it.
        let _ = self.node.receive(clocks(now), packet);
    }

    fn tick(&mut self, now: Timestamp) {
        self.last_input = now;
        if now >= self.next_observation {
            self.next_observation = now + OBSERVATION_PERIOD;
            self.node
                .observe(clocks(now), LocalLoad { call_secs: Some(OBSERVED_CALL_S), rejected_fraction: 0.0 });
        }
        self.node.tick(clocks(now));
    }

    fn next_tick(&self) -> Timestamp {
        self.next_observation.min(self.last_input + self.node.time_to_next_tick(clocks(self.last_input)))
    }

    fn next_packet(&mut self, now: Timestamp) -> Option<OutgoingPacket<Datagram>> {
        let OutgoingDatagram { address, datagram } = self.node.next_datagram(clocks(now))?;
        let bytes = datagram::encoded_length(&datagram);
        Some(OutgoingPacket { receiver: server_number(address), packet: datagram, bytes })
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        next_notice(&mut self.node.membership)
    }

    fn leave(&mut self, now: Timestamp) {
        self.node.leave(clocks(now));
        self.node.membership.announce_left(now);
    }

    fn alive_count(&self) -> usize {
        count_alive(&self.node.membership)
    }

    fn entry_count(&self) -> usize {
        self.node.membership.statuses().count()
    }
}

impl<const LIMITS: usize> ZonedFleetNode<LIMITS> {
    /// Returns how much of a limit the server may use now.
    pub fn usable_quota(&self, now: Timestamp, limit: LimitId) -> f64 {
        self.node.quota.as_ref().map_or(0.0, |quota| quota.share(now, limit).amount)
    }
}
