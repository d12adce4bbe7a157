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
const WINDOW: Duration = Duration::from_ms(20_000);

fn links() -> Links {
    Links { region_latency: Duration::from_ms(40), region_loss: 0.0, loss: 0.0 }
}

fn at_sizes<W: MembershipProtocol>(sizes: &[usize]) -> Vec<(usize, RestMeasurement)> {
    let plays = |size: &usize| {
        let mut fleet: TestFleet<W> = settled_fleet(*size, 1, &links());
        assert!(fleet.agree(), "{size} servers don't agree at rest");
        (*size, measure_at_rest(&mut fleet, WINDOW, *size))
    };
    hazelspur_simulator::on_all_cores(sizes, 4, plays)
}

/// What a growing fleet at rest may cost, against the smallest of the sizes.
struct Bound {
    /// Of the mean server's datagrams and bytes, over those of the smallest fleet.
    flat: f64,
    /// Of the busiest server, in and out, over the mean; none where one server is the divider.
    busiest: Option<f64>,
}

/// Names each bound that is passed.
fn check_rest(of: &[(usize, RestMeasurement)], bound: &Bound) -> Result<(), String> {
    let Some((_, first)) = of.first() else { return Err("nothing was played".into()) };
    let mut wrong = Vec::new();
    for (size, rest) in of {
        let (load, before) = (&rest.traffic, &first.traffic);
        let mut within = |what: &str, is: f64, most: f64| {
            if is > most {
                wrong.push(format!("{size} servers: {what} {is:.1}, at most {most:.1}"));
            }
        };
        within("datagrams/s", load.datagrams_out_per_s, before.datagrams_out_per_s * bound.flat);
        within("bytes/s", load.bytes_out_per_s, before.bytes_out_per_s * bound.flat);
        if let Some(busiest) = bound.busiest {
            within(
                "busiest, datagrams/s out",
                load.busiest_datagrams_out_per_s,
                load.datagrams_out_per_s * busiest,
            );
            within(
                "busiest, datagrams/s in",
                load.busiest_datagrams_in_per_s,
                load.datagrams_out_per_s * busiest,
            );
            within("busiest, bytes/s out", load.busiest_bytes_out_per_s, load.bytes_out_per_s * busiest);
            within("busiest, bytes/s in", load.busiest_bytes_in_per_s, load.bytes_out_per_s * busiest);
        }
        within("entries of the fullest", rest.max_entries as f64, (size - 1) as f64);
        within("others missing in the mean table", (size - 1) as f64 - rest.mean_entries, 0.0);
    }
    if wrong.is_empty() { Ok(()) } else { Err(wrong.join("; ")) }
}

/// As measured: 2.0 datagrams a second at each size, and 411 to 455 bytes from 50 servers to 810.
const MEMBERS: Bound = Bound { flat: 1.15, busiest: Some(1.6) };

#[test]
fn a_server_at_rest_costs_as_much_in_a_large_fleet_as_in_a_small_one() {
    check_rest(&at_sizes::<ZonedSwim>(&SIZES), &MEMBERS).unwrap();
}

#[test]
fn members_signals_and_shares_together_cost_a_mean_server_as_much_in_a_large_fleet() {
    check_rest(&at_sizes::<Together<1>>(&SIZES), &Bound { busiest: None, ..MEMBERS }).unwrap();
}

/// Planted: probes all of its table in each period.
struct AllToAll {
    own: Swim,
    period: Duration,
    next: Timestamp,
}

impl MembershipProtocol for AllToAll {
    const NAME: &'static str = "planted: all to all";
    type Packet = Datagram;

    fn start(me: usize, most: usize, seed: u64, now: Timestamp) -> Self {
        let terms = terms(me, most);
        let period = terms.probe_period;
        let own = Swim(Membership::new(terms, Generation(now.us() / 1000), seed, now));
        Self { own, period, next: now + period }
    }

    fn receive(&mut self, now: Timestamp, packet: &Datagram) {
        self.own.receive(now, packet);
    }

    fn tick(&mut self, now: Timestamp) {
        self.own.tick(now);
        if now >= self.next {
            self.next = now + self.period;
            let all: Vec<_> = self.own.0.statuses().map(|(name, _)| name).collect();
            for to in all {
                self.own.0.send_to_member(to, hazelspur_fleet::Body::Gossip);
            }
        }
    }

    fn next_tick(&self) -> Timestamp {
        self.own.next_tick().min(self.next)
    }

    fn next_packet(&mut self, now: Timestamp) -> Option<OutgoingPacket<Datagram>> {
        self.own.next_packet(now)
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        self.own.next_notice()
    }

    fn alive(&self) -> usize {
        self.own.alive()
    }

    fn entries(&self) -> usize {
        self.own.entries()
    }
}

#[test]
fn a_planted_all_to_all_is_told() {
    let told = check_rest(&at_sizes::<AllToAll>(&[25, 50, 100]), &MEMBERS).unwrap_err();
    assert!(told.contains("100 servers: datagrams/s"), "{told}");
    assert!(told.contains("100 servers: bytes/s"), "{told}");
}

/// How so many of a fleet end.
#[derive(Clone, Copy, Debug)]
enum End {
    Leaves,
    Killed,
}

/// Of a fleet of `SIZES[0]`.
const ENDS: usize = 15;
/// Past what is remembered: until all have noticed, and what is still told of them goes round.
const MARGIN: Duration = Duration::from_ms(180_000);

/// Whether those who ended are gone from the tables of all others.
fn check_forgotten<W: MembershipProtocol>(end: End) -> Result<(), String> {
    let size = SIZES[0];
    let mut fleet: TestFleet<W> = settled_fleet(size, 1, &links());
    let gone: Vec<usize> = (0..size).filter(|of| of % 3 == 1).take(ENDS).collect();
    for of in gone {
        match end {
            End::Leaves => fleet.leave(of),
            End::Killed => fleet.kill(of),
        }
    }
    fleet.play(terms(0, max_servers(size)).retention + MARGIN);
    let left = size - ENDS - 1;
    let all: Vec<usize> = fleet.members().map(|(_, way)| way.entries()).collect();
    let wrong = all.iter().filter(|entries| **entries != left).count();
    let fullest = all.iter().max().copied().unwrap_or(0);
    if wrong == 0 && fleet.agree() {
        return Ok(());
    }
    Err(format!("{wrong} of {} tables don't hold the {left} that are left; the fullest {fullest}", all.len()))
}

#[test]
fn who_leaves_is_gone_from_all_tables_once_it_need_not_be_remembered() {
    check_forgotten::<ZonedSwim>(End::Leaves).unwrap();
    check_forgotten::<Together<1>>(End::Leaves).unwrap();
}

#[test]
fn who_is_killed_is_gone_from_all_tables_once_it_need_not_be_remembered() {
    check_forgotten::<ZonedSwim>(End::Killed).unwrap();
}

/// Planted: keeps each name that it ever heard of.
struct Hoarder {
    own: ZonedSwim,
    names: BTreeSet<String>,
}

impl MembershipProtocol for Hoarder {
    const NAME: &'static str = "planted: a table that is never emptied";
    type Packet = Datagram;

    fn start(me: usize, most: usize, seed: u64, now: Timestamp) -> Self {
        Self { own: ZonedSwim::start(me, most, seed, now), names: BTreeSet::new() }
    }

    fn receive(&mut self, now: Timestamp, packet: &Datagram) {
        self.own.receive(now, packet);
        let all = packet.updates.iter().chain([&packet.sender]).map(|update| update.name);
        let me = self.own.0.0.local_update().name;
        self.names.extend(all.filter(|name| *name != me).map(|name| name.to_string()));
    }

    fn tick(&mut self, now: Timestamp) {
        self.own.tick(now);
    }

    fn next_tick(&self) -> Timestamp {
        self.own.next_tick()
    }

    fn next_packet(&mut self, now: Timestamp) -> Option<OutgoingPacket<Datagram>> {
        self.own.next_packet(now)
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        self.own.next_notice()
    }

    fn leave(&mut self, now: Timestamp) {
        self.own.leave(now);
    }

    fn alive(&self) -> usize {
        self.own.alive()
    }

    fn entries(&self) -> usize {
        self.names.len()
    }
}

#[test]
fn a_planted_table_that_is_never_emptied_is_told() {
    let told = check_forgotten::<Hoarder>(End::Leaves).unwrap_err();
    assert!(told.contains(&format!("the fullest {}", SIZES[0] - 1)), "{told}");
    // Nothing is wrong with it as long as nobody ends: only forgetting tells.
    check_rest(&at_sizes::<Hoarder>(&SIZES[..2]), &MEMBERS).unwrap();
}

/// Messages a second at the one place that all ask: a line through nothing but its base.
fn check_line(of: &[(usize, f64)], each: f64, base: f64) -> Result<(), String> {
    let over = of.iter().filter(|(size, is)| *is > each * *size as f64 + base);
    let over: Vec<String> = over.map(|(size, is)| format!("{size} servers: {is:.1} messages/s")).collect();
    if over.is_empty() { Ok(()) } else { Err(over.join("; ")) }
}

/// A question and an answer a second for each server, and the votes of five keepers.
const DIVIDER: (f64, f64) = (2.02, 10.0);

#[test]
fn what_the_divider_is_asked_grows_with_the_servers_and_not_faster() {
    for limits in [1, 16] {
        let plays = |servers: &usize| {
            let fault = Fault::None;
            let case = SharesCase { servers: *servers, limits, fault, seed: 1, links: links() };
            let points = run_shares_case(&case);
            let messages = points.iter().find(|point| point.figure.ends_with("divider_messages_per_s"));
            (*servers, messages.expect("it is measured").value)
        };
        let of = hazelspur_simulator::on_all_cores(&SIZES, 4, plays);
        assert!(of.iter().all(|(size, is)| *is > *size as f64), "few ask: {of:?}");
        check_line(&of, DIVIDER.0, DIVIDER.1).unwrap();
    }
    let planted: Vec<(usize, f64)> = at_sizes::<AllToAll>(&[25, 50, 100])
        .iter()
        .map(|(size, rest)| (*size, rest.traffic.datagrams_out_per_s * *size as f64))
        .collect();
    check_line(&planted, DIVIDER.0, DIVIDER.1).unwrap_err();
}

/// Of all servers that a zone is gone: the longest suspicion of so many (50 s), and as long again at most until the last
/// of the zone is probed and suspected.
const NOTICED: Duration = Duration::from_ms(90_000);

#[test]
fn a_zone_that_starts_cold_finds_all_and_is_found() {
    let size = 120;
    let mut fleet: TestFleet<ZonedSwim> = settled_fleet(size, 2, &links());
    let zone: Vec<usize> = (0..size).filter(|of| of % 6 == 0).collect();
    zone.iter().for_each(|of| fleet.kill(*of));
    fleet.play(NOTICED);
    assert!(fleet.agree(), "a zone that is gone is not noticed by all");
    start_all(&mut fleet, zone.into_iter());
    fleet.play(Duration::from_ms(30_000));
    assert!(fleet.agree(), "a zone that is back is not known to all");
}
