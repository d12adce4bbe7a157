//! The real machines in two regions of three zones each: members by themselves, and members, signals and shares
//! together as one server has them. The studies of scale play them; nothing here decides.

use super::swim::{Swim, count_alive, member_name, next_notice, node_config, server_number};
use super::{MembershipNotice, MembershipProtocol, OutgoingPacket};
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::node::LocalLoad;
use hazelspur_fleet::quota::{LimitId, QuotaConfig, SharedLimit};
use hazelspur_fleet::{
    Clocks, Datagram, FleetNode, Generation, LimitName, Membership, NodeConfig, SiteName, datagram,
};

/// Regions of the fleet.
pub const REGIONS: usize = 2;
/// Zones of all regions.
pub const ZONES: usize = 6;
/// Names of the zones, by number.
const ZONE_NAMES: [&str; ZONES] = ["east-1", "west-1", "east-2", "west-2", "east-3", "west-3"];
/// Voters, one in each of so many zones.
pub const VOTERS: usize = 5;
/// A server looks at its own work so often, as the program does.
const OBSERVATION_PERIOD: Duration = Duration::from_ms(200);
/// What it sees there: calls of so many seconds, and nothing refused.
const OBSERVED_CALL_S: f64 = 0.02;
/// Slots of each shared limit for a server.
const SLOTS_PER_SERVER: f64 = 4.0;
/// Fraction of each limit that is guaranteed without a lease.
const GUARANTEED_FRACTION: f64 = 0.2;
/// How long quota may be in use after its lease ended.
const RESIDUAL_DURATION: Duration = Duration::from_ms(500);
/// How long a vote is valid.
const VOTE_DURATION: Duration = Duration::from_ms(4000);

/// As those of three sites, in its zone.
pub fn zoned_node_config(server: usize, max_servers: usize) -> NodeConfig {
    let site = SiteName::new(ZONE_NAMES[server % ZONES]).expect("a short name");
    NodeConfig { site, ..node_config(server, max_servers) }
}

/// So many limits alike over `servers`, divided among `max_servers` at most.
pub fn quota_config(servers: usize, max_servers: usize, limits: usize) -> QuotaConfig {
    let limit = |at: usize| SharedLimit {
        name: LimitName::new(&format!("limit-{at}")).expect("a short name"),
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

/// Membership alone.
pub struct ZonedSwim(pub Swim);

impl MembershipProtocol for ZonedSwim {
    /// How this protocol is named in the printed tables.
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

/// All that one server has together, with so many limits shared.
pub struct ZonedFleetNode<const LIMITS: usize> {
    pub node: FleetNode,
    /// The last input was then.
    last_input: Timestamp,
    next_observation: Timestamp,
}

/// The laboratory's servers agree on the time.
fn clocks(now: Timestamp) -> Clocks {
    Clocks { wall: now, monotonic: now }
}

impl<const LIMITS: usize> MembershipProtocol for ZonedFleetNode<LIMITS> {
    /// How this protocol is named in the printed tables.
    const NAME: &'static str = "members, signals and shares";
    type Packet = Datagram;

    /// A fifth of `max_servers` is room for more servers than there are.
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
            // Some want half of what an equal share were, some twice that.
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
        let _ = self.node.receive(clocks(now), packet); // what is dropped is dropped
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
    /// What it may use of a limit.
    pub fn usable_quota(&self, now: Timestamp, limit: LimitId) -> f64 {
        self.node.quota.as_ref().map_or(0.0, |quota| quota.share(now, limit).amount)
    }
}
