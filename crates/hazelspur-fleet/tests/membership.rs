//! Behaviour of the membership protocol in small fleets: discovery, failures, suspensions, partitions, false
//! updates and invalid datagrams.

mod helpers;

use expect_test::expect;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::datagram;
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::names::Incarnation;
use hazelspur_fleet::{
    Body, Datagram, DatagramError, Generation, Installation, Key, LocalStatus, MemberState, MemberStatus,
    MemberUpdate, Membership, MembershipEvent,
};
use helpers::{START, TestFleet, address, config, index_of, name};

#[test]
fn members_discover_each_other_through_two_seeds() {
    let mut fleet = TestFleet::new(7);
    fleet.run(3000);
    expect![[r#"
        n6 whole 7..7: alive n0 n1 n2 n3 n4 n5
    "#]]
    .assert_eq(&format!("{}\n", fleet.view_of(6)));
    assert!(fleet.all_agree());
}

#[test]
fn killed_member_dies_and_leaving_member_is_never_suspected() {
    let mut fleet = TestFleet::new(7);
    fleet.run(5000);
    fleet.events.clear();
    let leaving_member = fleet.members.get_mut(&5).expect("member is running");
    leaving_member.leave(fleet.now);
    fleet.run(1000);
    fleet.members.get_mut(&5).expect("member is running").announce_left(fleet.now);
    fleet.run(10);
    fleet.kill(5);
    fleet.kill(4);
    fleet.run(60_000);
    expect![[r#"
        n0 whole 5..7: alive n1 n2 n3 n6, left n5, lost n4
        n6 whole 5..7: alive n0 n1 n2 n3, left n5, lost n4
    "#]]
    .assert_eq(&format!("{}\n{}\n", fleet.view_of(0), fleet.view_of(6)));
    let is_suspicion_of_leaving_member = |event: &MembershipEvent| matches!(event, MembershipEvent::Suspected { member, .. } if *member == name(5));
    assert!(!fleet.events.iter().any(|(.., event)| is_suspicion_of_leaving_member(event)));
}

#[test]
fn suspended_member_is_degraded_and_declares_nobody_dead() {
    check_suspended_members(TestFleet::resume);
}

#[test]
fn suspended_member_reading_input_first_declares_nobody_dead() {
    check_suspended_members(TestFleet::resume_input_first);
}

fn check_suspended_members(resume: fn(&mut TestFleet, usize)) {
    let mut fleet = TestFleet::new(12);
    fleet.run(8000);
    fleet.events.clear();
    (0..4).for_each(|index| fleet.suspend(index * 3));
    fleet.run(10_000);
    (0..4).for_each(|index| resume(&mut fleet, index * 3));
    fleet.run(20);
    let local_status = |fleet: &TestFleet, index: usize| fleet.members[&index].local_status();
    assert_eq!(local_status(&fleet, 0), LocalStatus::Degraded);
    let declared_by_suspended = |(_, observer, event): &(u64, usize, MembershipEvent)| {
        observer % 3 == 0 && matches!(event, MembershipEvent::Died(_))
    };
    fleet.run(40_000);
    assert!(!fleet.events.iter().any(declared_by_suspended), "a suspended member declared others dead");
    assert_eq!(local_status(&fleet, 0), LocalStatus::Healthy);
    assert!(fleet.all_agree(), "{}", fleet.view_of(1));
}

#[test]
fn indirect_probes_prevent_deaths_when_one_direction_fails() {
    let mut fleet = TestFleet::new(8);
    fleet.run(5000);
    fleet.events.clear();
    fleet.blocked = |from, to| (from, to) == (3, 4);
    fleet.run(120_000);
    assert_eq!(fleet.death_declarations(), 0, "{:?}", fleet.events);
    assert!(fleet.all_agree());
}

#[test]
fn healed_partitions_merge_despite_starts_and_kills() {
    let mut fleet = TestFleet::new(10);
    fleet.run(5000);
    fleet.blocked = |from, to| from % 2 != to % 2;
    fleet.run(20_000);
    // On each side one member is killed and one starts. Each side contains one of the seeds.
    fleet.kill(8);
    fleet.kill(9);
    fleet.start(10);
    fleet.start(11);
    fleet.run(40_000);
    let views_while_partitioned = (fleet.view_of(0), fleet.view_of(1));
    for half in [0, 1] {
        let size = fleet.members[&half].size(None);
        assert!(size.min <= 5 && size.max >= 10, "{size:?} of 10");
    }
    fleet.blocked = |_, _| false;
    let healed_at = fleet.now;
    while !fleet.all_agree() && fleet.now - healed_at < Duration::from_ms(60_000) {
        fleet.run(500);
    }
    let elapsed_secs = (fleet.now - healed_at).us() / 1_000_000;
    assert!(
        fleet.all_agree() && elapsed_secs <= 20,
        "{elapsed_secs} s\n{}\n{}",
        views_while_partitioned.0,
        views_while_partitioned.1
    );
    assert!(views_while_partitioned.0.contains("alive n10 n2 n4 n6,"), "{}", views_while_partitioned.0);
}

/// The member restarts before the failure detector notices its end, so that the others learn of the restart
/// only from the new generation.
#[test]
fn quick_restart_is_a_new_generation_and_drops_old_datagrams() {
    let mut fleet = TestFleet::new(5);
    fleet.run(5000);
    let mut previous_run = fleet.members[&3].clone();
    let late_datagram = loop {
        previous_run.tick(fleet.now + Duration::from_ms(2000));
        if let Some(next) = previous_run.next_datagram(fleet.now) {
            break next.datagram;
        }
    };
    fleet.events.clear();
    fleet.kill(3);
    fleet.start(3);
    fleet.run(4000);
    let restarted =
        fleet.events.iter().filter(|(.., event)| *event == MembershipEvent::Restarted(name(3))).count();
    assert_eq!(restarted, 4);
    let status_before = fleet.members[&0].member_status(name(3));
    let n0 = fleet.members.get_mut(&0).expect("member is running");
    assert_eq!(n0.receive(fleet.now, &late_datagram), Err(DatagramError::Replayed));
    assert_eq!(n0.member_status(name(3)), status_before);
    assert!(fleet.all_agree());
}

/// The new run starts with a lower generation than the old one, so the others ignore it until it adopts a
/// higher one.
#[test]
fn member_rejoins_after_restart_with_clock_set_back() {
    let mut fleet = TestFleet::new(5);
    fleet.run(5000);
    fleet.kill(3);
    let earlier_generation = Generation(fleet.now.us() / 1000 - 600_000);
    fleet.members.insert(3, Membership::new(config(3, 64), earlier_generation, 9, fleet.now));
    fleet.run(15_000);
    assert!(fleet.all_agree(), "{}", fleet.view_of(0));
}

#[test]
fn without_running_seed_upper_size_bound_is_max_servers() {
    let mut fleet = TestFleet::new(0);
    (2..5).for_each(|index| fleet.start(index));
    fleet.run(30_000);
    assert_eq!(fleet.view_of(2), "n2 joining 1..64: ");
    fleet.start(0);
    fleet.run(5000);
    assert!(fleet.all_agree(), "{}", fleet.view_of(2));
}

#[test]
fn isolated_member_reports_it_and_declares_nobody_dead() {
    let mut fleet = TestFleet::new(6);
    fleet.run(5000);
    fleet.events.clear();
    fleet.blocked = |from, to| from == 2 || to == 2;
    fleet.run(90_000);
    assert_eq!(fleet.view_of(2).split(':').next(), Some("n2 cut-off 1..64"));
    assert!(
        !fleet
            .events
            .iter()
            .any(|(_, observer, event)| *observer == 2 && matches!(event, MembershipEvent::Died(_)))
    );
    expect!["n0 whole 5..7: alive n1 n3 n4 n5, lost n2"].assert_eq(&fleet.view_of(0));
    fleet.blocked = |_, _| false;
    fleet.run(15_000);
    assert!(fleet.all_agree(), "{}\n{}", fleet.view_of(0), fleet.view_of(2));
}

/// A member that has the key sends updates that all others are suspected, leaving or have left, and updates
/// with an impossible generation.
#[test]
fn false_updates_are_refuted_and_kill_no_member() {
    for state in [MemberState::Suspected(name(63)), MemberState::Left, MemberState::Leaving] {
        let mut fleet = TestFleet::new(9);
        fleet.run(5000);
        fleet.events.clear();
        let mut sequence = 0;
        for round in 0..120 {
            for victim in 1..8 {
                let victim_update = *fleet.members[&victim].local_update();
                let incarnation_lead = if round % 2 == 0 { 0 } else { 3 };
                let false_update = MemberUpdate {
                    state,
                    incarnation: Incarnation(victim_update.incarnation.0 + incarnation_lead),
                    ..victim_update
                };
                let impossible = MemberUpdate { generation: Generation(u64::MAX), ..false_update };
                sequence += 1;
                let datagram = Datagram {
                    installation: Installation::new("bread").expect("valid name"),
                    sender: MemberUpdate {
                        name: name(63),
                        address: address(63),
                        state: MemberState::Alive,
                        ..victim_update
                    },
                    sequence,
                    sent_ms: fleet.now.us() / 1000,
                    body: Body::Gossip,
                    load_report: None,
                    updates: vec![false_update, impossible],
                };
                let receiver = (victim + round) % 9;
                let _ = fleet
                    .members
                    .get_mut(&receiver)
                    .expect("member is running")
                    .receive(fleet.now, &datagram);
            }
            fleet.run(500);
        }
        fleet.run(30_000);
        let was_declared_dead = |index: usize| {
            fleet.events.iter().any(|(.., event)| *event == MembershipEvent::Died(name(index)))
        };
        assert!((1..8).all(|index| !was_declared_dead(index)), "{state:?}");
        for (index, member) in &fleet.members {
            let alive = member
                .statuses()
                .filter(|(other, status)| *other != name(63) && *status == MemberStatus::Alive)
                .count();
            assert_eq!(alive, 8, "{state:?} {index}: {}", fleet.view_of(*index));
        }
    }
}

#[test]
fn full_table_forgets_gone_members_and_rejects_new_ones() {
    let mut member = Membership::new(config(0, 4), Generation(1), 1, START);
    let update = |index: usize| MemberUpdate {
        name: name(index),
        site: config(index, 4).site,
        address: address(index),
        generation: Generation(5),
        incarnation: Incarnation(0),
        state: if index == 2 { MemberState::Left } else { MemberState::Alive },
    };
    let datagram = Datagram {
        installation: Installation::new("bread").expect("valid name"),
        sender: update(1),
        sequence: 1,
        sent_ms: START.us() / 1000,
        body: Body::Gossip,
        load_report: None,
        updates: (2..40).map(update).collect(),
    };
    member.receive(START, &datagram).expect("datagram is accepted");
    member.check_invariants().expect("invariants hold");
    assert_eq!((member.member_status(name(2)), member.rejected_members), (None, 30));
    assert_eq!(member.size(None).max, 4);
}

#[test]
fn invalid_datagrams_are_dropped_with_their_reason() {
    let key = Key::from_text("a key of sixteen characters").expect("valid key text");
    let other_key = Key::from_text("another key of that length").expect("valid key text");
    let installation = Installation::new("bread").expect("valid name");
    let mut member = Membership::new(config(3, 64), Generation(9), 1, START);
    member.tick(START + Duration::from_ms(1000));
    let datagram = member.next_datagram(START).expect("ping to a seed member").datagram;
    let bytes = datagram::seal(&key, &datagram);
    let now = START;
    let open =
        |key: &Key, now: Timestamp, bytes: &[u8]| datagram::open(key, &installation, now, bytes).map(|_| ());
    let flipped = |position: usize, mask: u8| {
        let mut bytes = bytes.clone();
        bytes[position] ^= mask;
        bytes
    };
    let foreign =
        Datagram { installation: Installation::new("cake").expect("valid name"), ..datagram.clone() };
    let mut oversized = datagram.clone();
    oversized.updates = vec![datagram.sender; 200];
    let results = format!(
        "{:?}\n{:?} {:?} {:?} {:?} {:?}\n{:?} {:?} {:?}\n",
        open(&key, now, &bytes),
        open(&other_key, now, &bytes),
        open(&key, now, &flipped(0, 1)),
        open(&key, now, &flipped(9, 1)),
        open(&key, now, &flipped(30, 1)),
        open(&key, now, &bytes[..10]),
        open(&key, now, &datagram::seal(&key, &foreign)),
        open(&key, now + Duration::from_ms(200_000), &bytes),
        open(&key, now, &datagram::seal(&key, &oversized)),
    );
    expect![[r#"
        Ok(())
        Err(Tag) Err(Version) Err(Tag) Err(Tag) Err(Size)
        Err(Foreign) Err(Stale) Ok(())
    "#]]
    .assert_eq(&results);
    assert_eq!(bytes.len(), datagram::encoded_length(&datagram));
    assert!(datagram::seal(&key, &oversized).len() <= datagram::MAX_DATAGRAM_BYTES);

    let mut receiver = Membership::new(config(0, 64), Generation(9), 1, START);
    assert_eq!(
        (receiver.receive(now, &datagram), receiver.receive(now, &datagram)),
        (Ok(()), Err(DatagramError::Replayed))
    );
}

#[test]
fn arbitrary_bytes_with_valid_tag_keep_the_invariants() {
    let key = Key::from_text("a key of sixteen characters").expect("valid key text");
    let installation = Installation::new("bread").expect("valid name");
    let mut fleet = TestFleet::new(4);
    fleet.run(3000);
    let mut random = hazelspur::pcg::Pcg::new(3);
    let mut sender = fleet.members[&1].clone();
    let mut datagrams = Vec::new();
    while datagrams.len() < 20 {
        sender.tick(sender.next_tick());
        datagrams.extend(std::iter::from_fn(|| sender.next_datagram(fleet.now)));
    }
    let (mut accepted, mut rejected) = (0, 0);
    for round in 0..20_000u64 {
        let now = fleet.now + Duration::from_ms(round);
        let OutgoingDatagram { address: to, mut datagram } =
            datagrams[round as usize % datagrams.len()].clone();
        // Some bytes of the content are changed, and the tag is computed again so that decoding is reached.
        datagram.sequence += 1000 + round;
        let mut bytes = datagram::seal(&key, &datagram);
        for _ in 0..random.draw() % 4 {
            let position = 17 + random.draw() as usize % (bytes.len() - 17);
            bytes[position] = random.draw() as u8;
        }
        bytes.truncate(if random.draw().is_multiple_of(5) { 18 + bytes.len() / 2 } else { bytes.len() });
        let bytes = datagram::reseal(&key, bytes);
        match datagram::open(&key, &installation, now, &bytes) {
            Ok(datagram) => {
                accepted += 1;
                let Some(receiver) = fleet.members.get_mut(&(index_of(to) % 4)) else { continue };
                let _ = receiver.receive(now, &datagram);
                receiver.tick(now);
                while receiver.next_datagram(now).is_some() {}
                while receiver.next_event().is_some() {}
                receiver.check_invariants().expect("invariants hold");
            }
            Err(_) => rejected += 1,
        }
    }
    assert!(accepted > 1000 && rejected > 1000, "{accepted} accepted, {rejected} rejected");
}

/// Members start 16 ms apart, so each reads a member list that is still short.
#[test]
fn mass_start_traffic_is_bounded_and_nobody_is_declared_dead() {
    let mut fleet = TestFleet::new(0);
    for index in 0..60 {
        fleet.start(index);
        fleet.run(16);
    }
    fleet.sent_datagrams = 0;
    fleet.run(10_000);
    let datagrams_per_sec = fleet.sent_datagrams as f64 / 60.0 / 10.0;
    assert!(datagrams_per_sec < 12.0, "{datagrams_per_sec} datagrams per second and server");
    fleet.run(10_000);
    assert_eq!(fleet.death_declarations(), 0);
    assert!(fleet.all_agree(), "{}", fleet.view_of(7));
}

#[test]
fn member_suspended_for_three_seconds_is_not_declared_dead() {
    let mut fleet = TestFleet::new(9);
    fleet.run(5000);
    fleet.events.clear();
    for _ in 0..20 {
        fleet.suspend(4);
        fleet.run(3000);
        fleet.resume(4);
        fleet.run(50);
    }
    fleet.run(30_000);
    assert_eq!(fleet.death_declarations(), 0, "{:?}", fleet.events);
    assert!(fleet.all_agree(), "{}", fleet.view_of(0));
}

/// One member whose peers the test plays. Some peers answer its probes, and others are dead.
struct MemberWithScriptedPeers {
    member: Membership,
    now: Timestamp,
    /// Sequence number of the last datagram, shared by all peers.
    sequence: u64,
    /// Deaths and changes of the local status, one line each: milliseconds since the start and the event.
    events: String,
}

impl MemberWithScriptedPeers {
    /// Indexes of the peers that answer probes.
    const ALIVE: std::ops::Range<usize> = 1..8;
    /// Indexes of the peers that do not answer probes.
    const DEAD: std::ops::Range<usize> = 8..10;

    fn update(index: usize, state: MemberState) -> MemberUpdate {
        let config = config(index, 64);
        let (generation, incarnation) = (Generation(START.us() / 1000), Incarnation(0));
        MemberUpdate {
            name: config.name,
            site: config.site,
            address: config.address,
            generation,
            incarnation,
            state,
        }
    }

    fn receive_from(&mut self, sender: usize, body: Body, updates: Vec<MemberUpdate>) {
        self.sequence += 1;
        let datagram = Datagram {
            installation: config(0, 64).installation,
            sender: Self::update(sender, MemberState::Alive),
            sequence: self.sequence,
            sent_ms: self.now.us() / 1000,
            body,
            load_report: None,
            updates,
        };
        self.member.receive(self.now, &datagram).expect("datagram is accepted");
    }

    /// Runs the member until `ms` milliseconds after the start. Living peers answer probes immediately.
    fn run_until(&mut self, ms: u64) {
        while self.now < START + Duration::from_ms(ms) {
            self.member.tick(self.now);
            while let Some(OutgoingDatagram { address: to, datagram }) = self.member.next_datagram(self.now) {
                if let Body::Ping { number, .. } = datagram.body
                    && Self::ALIVE.contains(&index_of(to))
                {
                    self.receive_from(index_of(to), Body::Ack { number }, Vec::new());
                }
            }
            while let Some(event) = self.member.next_event() {
                if matches!(event, MembershipEvent::Died(_) | MembershipEvent::LocalStatusChanged { .. }) {
                    self.events += &format!("{} {event:?}\n", (self.now - START).us() / 1000);
                }
            }
            self.member.check_invariants().expect("invariants hold");
            self.now = self.member.next_tick().max(self.now + Duration::from_ms(1));
        }
    }
}

/// An accusation that shortens a timeout into the past must not look like a late timer of the process. That
/// would count as a suspension and postpone all suspicions.
#[test]
fn late_accusers_do_not_postpone_other_suspicions() {
    let member = Membership::new(config(0, 64), Generation(START.us() / 1000), 7, START);
    let mut scripted = MemberWithScriptedPeers { member, now: START, sequence: 0, events: String::new() };
    let updates = MemberWithScriptedPeers::ALIVE
        .chain(MemberWithScriptedPeers::DEAD)
        .map(|index| MemberWithScriptedPeers::update(index, MemberState::Alive))
        .collect();
    scripted.receive_from(1, Body::MemberListPage { next: None }, updates);
    scripted.run_until(1000);
    let suspicions = |accuser| {
        MemberWithScriptedPeers::DEAD
            .map(|index| MemberWithScriptedPeers::update(index, MemberState::Suspected(name(accuser))))
            .collect::<Vec<_>>()
    };
    scripted.receive_from(1, Body::Gossip, suspicions(1));
    scripted.run_until(12_000);
    // Three more peers accuse the first suspect only now. Its suspicion has already lasted longer than the
    // timeout that their accusations shorten.
    for accuser in 2..5 {
        scripted.receive_from(accuser, Body::Gossip, suspicions(accuser)[..1].to_vec());
    }
    scripted.run_until(40_000);
    expect![[r#"
        0 LocalStatusChanged { from: Joining, to: Healthy }
        13296 Died(n8)
        15296 Died(n9)
    "#]]
    .assert_eq(&scripted.events);
}
