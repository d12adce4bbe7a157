//! How what a server sends, holds and is asked grows with the fleet: counts by seed, never times, so that one
//! text has one verdict. The same checks are put to faults planted here, and must tell them.

use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::{Datagram, Generation, Membership};
use hazelspur_simulator::membership_protocols::swim::Swim;
use hazelspur_simulator::membership_protocols::zoned::{Together, ZonedSwim, terms};
use hazelspur_simulator::membership_protocols::{MembershipNotice, MembershipProtocol, OutgoingPacket};
use hazelspur_simulator::studies::scale::{
    Links, RestMeasurement, SharesCase, max_servers, measure_at_rest, run_shares_case, settled_fleet,
    start_all,
};
use hazelspur_simulator::studies::shares::Fault;
use hazelspur_simulator::test_fleet::TestFleet;
use std::collections::BTreeSet;

const SIZES: [usize; 4] = [50, 100, 200, 400];
const MEASUREMENT_WINDOW: Duration = Duration::from_ms(20_000);

fn test_links() -> Links {
    Links { region_latency: Duration::from_ms(40), region_loss: 0.0, loss: 0.0 }
}

fn measure_sizes<P: MembershipProtocol>(sizes: &[usize]) -> Vec<(usize, RestMeasurement)> {
    let measure = |size: &usize| {
        let mut fleet: TestFleet<P> = settled_fleet(*size, 1, &test_links());
        assert!(fleet.agree(), "{size} servers don't agree at rest");
        (*size, measure_at_rest(&mut fleet, MEASUREMENT_WINDOW, *size))
    };
    hazelspur_simulator::on_all_cores(sizes, 4, measure)
}

/// What a growing fleet at rest may cost, against the smallest of the sizes.
struct GrowthBound {
    /// Of the mean server's datagrams and bytes, over those of the smallest fleet.
    growth: f64,
    /// Of the busiest server, in and out, over the mean; none where one server is the divider.
    busiest_over_mean: Option<f64>,
}

/// Names each bound that is passed.
fn check_rest(measurements: &[(usize, RestMeasurement)], bound: &GrowthBound) -> Result<(), String> {
    let Some((_, first)) = measurements.first() else { return Err("nothing was played".into()) };
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
        within("entries of the fullest", rest.max_entries as f64, (size - 1) as f64);
        within("others missing in the mean table", (size - 1) as f64 - rest.mean_entries, 0.0);
    }
    if violations.is_empty() { Ok(()) } else { Err(violations.join("; ")) }
}

/// As measured: 2.0 datagrams a second at each size, and 411 to 455 bytes from 50 servers to 810.
const MEMBERSHIP_BOUND: GrowthBound = GrowthBound { growth: 1.15, busiest_over_mean: Some(1.6) };

#[test]
fn membership_traffic_at_rest_does_not_grow_with_the_fleet() {
    check_rest(&measure_sizes::<ZonedSwim>(&SIZES), &MEMBERSHIP_BOUND).unwrap();
}

#[test]
fn combined_traffic_at_rest_does_not_grow_with_the_fleet() {
    check_rest(
        &measure_sizes::<Together<1>>(&SIZES),
        &GrowthBound { busiest_over_mean: None, ..MEMBERSHIP_BOUND },
    )
    .unwrap();
}

/// Planted: probes all of its table in each period.
struct AllToAll {
    inner: Swim,
    period: Duration,
    next_probe: Timestamp,
}

impl MembershipProtocol for AllToAll {
    const NAME: &'static str = "planted: all to all";
    type Packet = Datagram;

    fn start(me: usize, most: usize, seed: u64, now: Timestamp) -> Self {
        let terms = terms(me, most);
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

    fn alive(&self) -> usize {
        self.inner.alive()
    }

    fn entries(&self) -> usize {
        self.inner.entries()
    }
}

#[test]
fn traffic_check_rejects_all_to_all_probing() {
    let error = check_rest(&measure_sizes::<AllToAll>(&[25, 50, 100]), &MEMBERSHIP_BOUND).unwrap_err();
    assert!(error.contains("100 servers: datagrams/s"), "{error}");
    assert!(error.contains("100 servers: bytes/s"), "{error}");
}

/// How so many of a fleet end.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Leaves,
    Killed,
}

/// Of a fleet of `SIZES[0]`.
const ENDED_MEMBERS: usize = 15;
/// Past what is remembered: until all have noticed, and what is still told of them goes round.
const DETECTION_MARGIN: Duration = Duration::from_ms(180_000);

/// Whether those who ended are gone from the tables of all others.
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
    fleet.play(terms(0, max_servers(size)).retention + DETECTION_MARGIN);
    let remaining = size - ENDED_MEMBERS - 1;
    let table_sizes: Vec<usize> = fleet.members().map(|(_, member)| member.entries()).collect();
    let violations = table_sizes.iter().filter(|entries| **entries != remaining).count();
    let fullest = table_sizes.iter().max().copied().unwrap_or(0);
    if violations == 0 && fleet.agree() {
        return Ok(());
    }
    Err(format!(
        "{violations} of {} tables don't hold the {remaining} that are left; the fullest {fullest}",
        table_sizes.len()
    ))
}

#[test]
fn left_members_leave_all_tables_after_retention() {
    check_removal::<ZonedSwim>(Ending::Leaves).unwrap();
    check_removal::<Together<1>>(Ending::Leaves).unwrap();
}

#[test]
fn killed_members_leave_all_tables_after_retention() {
    check_removal::<ZonedSwim>(Ending::Killed).unwrap();
}

/// Planted: keeps each name that it ever heard of.
struct EverGrowingTable {
    inner: ZonedSwim,
    names: BTreeSet<String>,
}

impl MembershipProtocol for EverGrowingTable {
    const NAME: &'static str = "planted: a table that is never emptied";
    type Packet = Datagram;

    fn start(me: usize, most: usize, seed: u64, now: Timestamp) -> Self {
        Self { inner: ZonedSwim::start(me, most, seed, now), names: BTreeSet::new() }
    }

    fn receive(&mut self, now: Timestamp, packet: &Datagram) {
        self.inner.receive(now, packet);
        let names = packet.updates.iter().chain([&packet.sender]).map(|update| update.name);
        let me = self.inner.0.0.local_update().name;
        self.names.extend(names.filter(|name| *name != me).map(|name| name.to_string()));
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

    fn alive(&self) -> usize {
        self.inner.alive()
    }

    fn entries(&self) -> usize {
        self.names.len()
    }
}

#[test]
fn removal_check_rejects_a_table_that_only_grows() {
    let error = check_removal::<EverGrowingTable>(Ending::Leaves).unwrap_err();
    assert!(error.contains(&format!("the fullest {}", SIZES[0] - 1)), "{error}");
    // Nothing is wrong with it as long as nobody ends: only forgetting tells.
    check_rest(&measure_sizes::<EverGrowingTable>(&SIZES[..2]), &MEMBERSHIP_BOUND).unwrap();
}

/// Messages a second at the one place that all ask: a line through nothing but its base.
fn check_line(rates: &[(usize, f64)], per_server: f64, base: f64) -> Result<(), String> {
    let over = rates.iter().filter(|(size, rate)| *rate > per_server * *size as f64 + base);
    let over: Vec<String> =
        over.map(|(size, rate)| format!("{size} servers: {rate:.1} messages/s")).collect();
    if over.is_empty() { Ok(()) } else { Err(over.join("; ")) }
}

/// A question and an answer a second for each server, and the votes of five keepers.
const ALLOCATOR_MESSAGES: (f64, f64) = (2.02, 10.0);

#[test]
fn allocator_messages_grow_no_faster_than_the_servers() {
    for limits in [1, 16] {
        let measure = |servers: &usize| {
            let fault = Fault::None;
            let case = SharesCase { servers: *servers, limits, fault, seed: 1, links: test_links() };
            let points = run_shares_case(&case);
            let messages = points.iter().find(|point| point.figure.ends_with("divider_messages_per_s"));
            (*servers, messages.expect("it is measured").value)
        };
        let rates = hazelspur_simulator::on_all_cores(&SIZES, 4, measure);
        assert!(rates.iter().all(|(size, rate)| *rate > *size as f64), "few ask: {rates:?}");
        check_line(&rates, ALLOCATOR_MESSAGES.0, ALLOCATOR_MESSAGES.1).unwrap();
    }
    let all_to_all: Vec<(usize, f64)> = measure_sizes::<AllToAll>(&[25, 50, 100])
        .iter()
        .map(|(size, rest)| (*size, rest.traffic.datagrams_out_per_s * *size as f64))
        .collect();
    check_line(&all_to_all, ALLOCATOR_MESSAGES.0, ALLOCATOR_MESSAGES.1).unwrap_err();
}

/// Of all servers that a zone is gone: the longest suspicion of so many (50 s), and as long again at most until the last
/// of the zone is probed and suspected.
const DETECTION_TIME: Duration = Duration::from_ms(90_000);

#[test]
fn zone_loss_and_cold_return_are_seen_by_all_servers() {
    let size = 120;
    let mut fleet: TestFleet<ZonedSwim> = settled_fleet(size, 2, &test_links());
    let zone_servers: Vec<usize> = (0..size).filter(|server| server % 6 == 0).collect();
    zone_servers.iter().for_each(|server| fleet.kill(*server));
    fleet.play(DETECTION_TIME);
    assert!(fleet.agree(), "a zone that is gone is not noticed by all");
    start_all(&mut fleet, zone_servers.into_iter());
    fleet.play(Duration::from_ms(30_000));
    assert!(fleet.agree(), "a zone that is back is not known to all");
}
