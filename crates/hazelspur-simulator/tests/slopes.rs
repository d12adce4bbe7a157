//! Bounds on the growth of traffic, membership tables and allocator messages with the size of the fleet. They
//! are counts that depend on the seed only, and never times, so that one revision always gives one result.
//! The same checks are run on protocols with a deliberate defect, which they must reject.

use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::{Datagram, Generation, Membership};
use hazelspur_simulator::membership_protocols::swim::Swim;
use hazelspur_simulator::membership_protocols::zoned::{ZonedFleetNode, ZonedSwim, zoned_node_config};
use hazelspur_simulator::membership_protocols::{MembershipNotice, MembershipProtocol, OutgoingPacket};
use hazelspur_simulator::studies::scale::{
    Links, RestMeasurement, SharesCase, max_servers, measure_at_rest, run_shares_case, settled_fleet,
    start_all,
};
use hazelspur_simulator::studies::shares::Fault;
use hazelspur_simulator::test_fleet::TestFleet;
use std::collections::BTreeSet;

/// Fleet sizes, in servers.
const SIZES: [usize; 4] = [50, 100, 200, 400];
/// Time over which traffic at rest is counted.
const MEASUREMENT_WINDOW: Duration = Duration::from_ms(20_000);

fn test_links() -> Links {
    Links { region_latency: Duration::from_ms(40), region_loss: 0.0, loss: 0.0 }
}

fn measure_sizes<P: MembershipProtocol>(sizes: &[usize]) -> Vec<(usize, RestMeasurement)> {
    let measure = |size: &usize| {
        let mut fleet: TestFleet<P> = settled_fleet(*size, 1, &test_links());
        assert!(fleet.members_agree(), "{size} servers don't agree at rest");
        (*size, measure_at_rest(&mut fleet, MEASUREMENT_WINDOW, *size))
    };
    hazelspur_simulator::map_in_parallel(sizes, 4, measure)
}

/// Bounds on the traffic of a fleet at rest.
struct GrowthBound {
    /// Greatest datagrams and bytes of the mean server, over those of the smallest measured fleet.
    growth: f64,
    /// Greatest traffic of the busiest server, in and out, over the mean server's; `None` if one server is
    /// the quota allocator and has more than the others.
    busiest_over_mean: Option<f64>,
}

/// Checks the measurements of fleets, the smallest first.
///
/// # Errors
/// Returns a description of each bound that is exceeded.
fn check_rest(measurements: &[(usize, RestMeasurement)], bound: &GrowthBound) -> Result<(), String> {
    let Some((_, first)) = measurements.first() else { return Err("no fleet was measured".into()) };
    let mut violations = Vec::new();
    for (size, rest) in measurements {
        let (traffic, smallest) = (&rest.traffic, &first.traffic);
        let mut within = |figure: &str, value: f64, max: f64| {
            if value > max {
                violations.push(format!("{size} servers: {figure} {value:.1}, at most {max:.1}"));
            }
        };
        within("datagrams/s", traffic.datagrams_out_per_s, smallest.datagrams_out_per_s * bound.growth);
        within("bytes/s", traffic.bytes_out_per_s, smallest.bytes_out_per_s * bound.growth);
        if let Some(busiest) = bound.busiest_over_mean {
            within(
                "busiest, datagrams/s out",
                traffic.busiest_datagrams_out_per_s,
                traffic.datagrams_out_per_s * busiest,
            );
            within(
                "busiest, datagrams/s in",
                traffic.busiest_datagrams_in_per_s,
                traffic.datagrams_out_per_s * busiest,
            );
            within(
                "busiest, bytes/s out",
                traffic.busiest_bytes_out_per_s,
                traffic.bytes_out_per_s * busiest,
            );
            within("busiest, bytes/s in", traffic.busiest_bytes_in_per_s, traffic.bytes_out_per_s * busiest);
        }
        within("entries of the largest table", rest.max_entries as f64, (size - 1) as f64);
        within("members missing in the mean table", (size - 1) as f64 - rest.mean_entries, 0.0);
    }
    if violations.is_empty() { Ok(()) } else { Err(violations.join("; ")) }
}

/// Bounds for membership alone, which was measured at 2.0 datagrams a second at each size, and at 411 to 455
/// bytes a second from 50 servers to 810.
const MEMBERSHIP_BOUND: GrowthBound = GrowthBound { growth: 1.15, busiest_over_mean: Some(1.6) };

#[test]
fn membership_traffic_at_rest_does_not_grow_with_the_fleet() {
    check_rest(&measure_sizes::<ZonedSwim>(&SIZES), &MEMBERSHIP_BOUND).unwrap();
}

#[test]
fn combined_traffic_at_rest_does_not_grow_with_the_fleet() {
    check_rest(
        &measure_sizes::<ZonedFleetNode<1>>(&SIZES),
        &GrowthBound { busiest_over_mean: None, ..MEMBERSHIP_BOUND },
    )
    .unwrap();
}

/// Membership with a deliberate defect: it sends a datagram to every member in each probe period.
struct AllToAll {
    inner: Swim,
    period: Duration,
    next_probe: Timestamp,
}

impl MembershipProtocol for AllToAll {
    const NAME: &'static str = "defect: all to all";
    type Packet = Datagram;

    fn start(server: usize, max_size: usize, seed: u64, now: Timestamp) -> Self {
        let terms = zoned_node_config(server, max_size);
        let period = terms.probe_period;
        let inner = Swim(Membership::new(terms, Generation(now.us() / 1000), seed, now));
        Self { inner, period, next_probe: now + period }
    }

    fn receive(&mut self, now: Timestamp, packet: &Datagram) {
        self.inner.receive(now, packet);
    }

    fn tick(&mut self, now: Timestamp) {
        self.inner.tick(now);
        if now >= self.next_probe {
            self.next_probe = now + self.period;
            let members: Vec<_> = self.inner.0.statuses().map(|(name, _)| name).collect();
            for receiver in members {
                self.inner.0.send_to_member(receiver, hazelspur_fleet::Body::Gossip);
            }
        }
    }

    fn next_tick(&self) -> Timestamp {
        self.inner.next_tick().min(self.next_probe)
    }

    fn next_packet(&mut self, now: Timestamp) -> Option<OutgoingPacket<Datagram>> {
        self.inner.next_packet(now)
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        self.inner.next_notice()
    }

    fn alive_count(&self) -> usize {
        self.inner.alive_count()
    }

    fn entry_count(&self) -> usize {
        self.inner.entry_count()
    }
}

#[test]
fn traffic_check_rejects_all_to_all_probing() {
    let error = check_rest(&measure_sizes::<AllToAll>(&[25, 50, 100]), &MEMBERSHIP_BOUND).unwrap_err();
    assert!(error.contains("100 servers: datagrams/s"), "{error}");
    assert!(error.contains("100 servers: bytes/s"), "{error}");
}

/// Way in which members of a fleet end.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Leaves,
    Killed,
}

/// Number of members that end, in a fleet of `SIZES[0]`.
const ENDED_MEMBERS: usize = 15;
/// Time beyond the retention of ended members, in which all members detect the end and the last updates about
/// it stop circulating.
const DETECTION_MARGIN: Duration = Duration::from_ms(180_000);

/// Checks that members that ended are removed from the tables of all others after the retention.
///
/// # Errors
/// Returns the number of tables that don't hold exactly the remaining members, and the size of the largest.
fn check_removal<P: MembershipProtocol>(ending: Ending) -> Result<(), String> {
    let size = SIZES[0];
    let mut fleet: TestFleet<P> = settled_fleet(size, 1, &test_links());
    let ended: Vec<usize> = (0..size).filter(|server| server % 3 == 1).take(ENDED_MEMBERS).collect();
    for server in ended {
        match ending {
            Ending::Leaves => fleet.leave(server),
            Ending::Killed => fleet.kill(server),
        }
    }
    fleet.run(zoned_node_config(0, max_servers(size)).retention + DETECTION_MARGIN);
    let remaining = size - ENDED_MEMBERS - 1;
    let table_sizes: Vec<usize> = fleet.members().map(|(_, member)| member.entry_count()).collect();
    let violations = table_sizes.iter().filter(|entries| **entries != remaining).count();
    let fullest = table_sizes.iter().max().copied().unwrap_or(0);
    if violations == 0 && fleet.members_agree() {
        return Ok(());
    }
    Err(format!(
        "{violations} of {} tables don't hold the {remaining} remaining members; the largest holds {fullest}",
        table_sizes.len()
    ))
}

#[test]
fn left_members_leave_all_tables_after_retention() {
    check_removal::<ZonedSwim>(Ending::Leaves).unwrap();
    check_removal::<ZonedFleetNode<1>>(Ending::Leaves).unwrap();
}

#[test]
fn killed_members_leave_all_tables_after_retention() {
    check_removal::<ZonedSwim>(Ending::Killed).unwrap();
}

/// Membership with a deliberate defect: its table keeps each name that was ever received.
struct EverGrowingTable {
    inner: ZonedSwim,
    names: BTreeSet<String>,
}

impl MembershipProtocol for EverGrowingTable {
    const NAME: &'static str = "defect: a table that only grows";
    type Packet = Datagram;

    fn start(server: usize, max_size: usize, seed: u64, now: Timestamp) -> Self {
        Self { inner: ZonedSwim::start(server, max_size, seed, now), names: BTreeSet::new() }
    }

    fn receive(&mut self, now: Timestamp, packet: &Datagram) {
        self.inner.receive(now, packet);
        let names = packet.updates.iter().chain([&packet.sender]).map(|update| update.name);
        let own_name = self.inner.0.0.local_update().name;
        self.names.extend(names.filter(|name| *name != own_name).map(|name| name.to_string()));
    }

    fn tick(&mut self, now: Timestamp) {
        self.inner.tick(now);
    }

    fn next_tick(&self) -> Timestamp {
        self.inner.next_tick()
    }

    fn next_packet(&mut self, now: Timestamp) -> Option<OutgoingPacket<Datagram>> {
        self.inner.next_packet(now)
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        self.inner.next_notice()
    }

    fn leave(&mut self, now: Timestamp) {
        self.inner.leave(now);
    }

    fn alive_count(&self) -> usize {
        self.inner.alive_count()
    }

    fn entry_count(&self) -> usize {
        self.names.len()
    }
}

#[test]
fn removal_check_rejects_a_table_that_only_grows() {
    let error = check_removal::<EverGrowingTable>(Ending::Leaves).unwrap_err();
    assert!(error.contains(&format!("the largest holds {}", SIZES[0] - 1)), "{error}");
    // At rest it passes all bounds: the defect shows only once members end.
    check_rest(&measure_sizes::<EverGrowingTable>(&SIZES[..2]), &MEMBERSHIP_BOUND).unwrap();
}

/// Checks that rates of messages lie below a line over the fleet size, which is `base` at zero servers.
///
/// # Errors
/// Returns each size whose rate lies above the line.
fn check_line(rates: &[(usize, f64)], per_server: f64, base: f64) -> Result<(), String> {
    let over = rates.iter().filter(|(size, rate)| *rate > per_server * *size as f64 + base);
    let over: Vec<String> =
        over.map(|(size, rate)| format!("{size} servers: {rate:.1} messages/s")).collect();
    if over.is_empty() { Ok(()) } else { Err(over.join("; ")) }
}

/// Bound on the allocator's messages a second, as a rate for each server and a base: a lease request and its
/// answer a second for each server, and the votes of five voters.
const ALLOCATOR_MESSAGES: (f64, f64) = (2.02, 10.0);

#[test]
fn allocator_messages_grow_no_faster_than_the_servers() {
    for limits in [1, 16] {
        let measure = |servers: &usize| {
            let fault = Fault::None;
            let case = SharesCase { servers: *servers, limits, fault, seed: 1, links: test_links() };
            let points = run_shares_case(&case);
            let messages = points.iter().find(|point| point.figure.ends_with("divider_messages_per_s"));
            (*servers, messages.expect("the allocator's messages are measured").value)
        };
        let rates = hazelspur_simulator::map_in_parallel(&SIZES, 4, measure);
        assert!(
            rates.iter().all(|(size, rate)| *rate > *size as f64),
            "fewer messages than servers: {rates:?}"
        );
        check_line(&rates, ALLOCATOR_MESSAGES.0, ALLOCATOR_MESSAGES.1).unwrap();
    }
    let all_to_all: Vec<(usize, f64)> = measure_sizes::<AllToAll>(&[25, 50, 100])
        .iter()
        .map(|(size, rest)| (*size, rest.traffic.datagrams_out_per_s * *size as f64))
        .collect();
    check_line(&all_to_all, ALLOCATOR_MESSAGES.0, ALLOCATOR_MESSAGES.1).unwrap_err();
}

/// Time until all servers detect the loss of a zone: the longest suspicion in a fleet of this size (50 s),
/// and at most as long again until the last server of the zone has been probed and suspected.
const DETECTION_TIME: Duration = Duration::from_ms(90_000);

#[test]
fn zone_loss_and_cold_return_are_seen_by_all_servers() {
    let size = 120;
    let mut fleet: TestFleet<ZonedSwim> = settled_fleet(size, 2, &test_links());
    let zone_servers: Vec<usize> = (0..size).filter(|server| server % 6 == 0).collect();
    zone_servers.iter().for_each(|server| fleet.kill(*server));
    fleet.run(DETECTION_TIME);
    assert!(fleet.members_agree(), "not all servers detected the loss of the zone");
    start_all(&mut fleet, zone_servers.into_iter());
    fleet.run(Duration::from_ms(30_000));
    assert!(fleet.members_agree(), "not all servers know the zone that came back");
}
