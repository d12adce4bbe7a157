//! What members conclude, as short traces.

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
use helpers::{START, TestFleet, address, config, name, number};

#[test]
fn members_find_each_other_by_two_seeds() {
    let mut fleet = TestFleet::new(7);
    fleet.run(3000);
    expect![[r#"
        n6 whole 7..7: alive n0 n1 n2 n3 n4 n5
    "#]]
    .assert_eq(&format!("{}\n", fleet.view_of(6)));
    assert!(fleet.agree());
}

#[test]
fn a_killed_member_is_declared_dead_and_a_leaving_one_is_never_suspected() {
    let mut fleet = TestFleet::new(7);
    fleet.run(5000);
    fleet.events.clear();
    let leaver = fleet.members.get_mut(&5).expect("it runs");
    leaver.leave(fleet.now);
    fleet.run(1000);
    fleet.members.get_mut(&5).expect("it runs").announce_left(fleet.now);
    fleet.run(10);
    fleet.kill(5);
    fleet.kill(4);
    fleet.run(60_000);
    expect![[r#"
        n0 whole 5..7: alive n1 n2 n3 n6, left n5, lost n4
        n6 whole 5..7: alive n0 n1 n2 n3, left n5, lost n4
    "#]]
    .assert_eq(&format!("{}\n{}\n", fleet.view_of(0), fleet.view_of(6)));
    let suspected = |event: &MembershipEvent| matches!(event, MembershipEvent::Suspected { member, .. } if *member == name(5));
    assert!(!fleet.events.iter().any(|(.., event)| suspected(event)));
}

#[test]
fn a_suspended_member_is_degraded_and_declares_nobody_dead() {
    check_suspended_members(TestFleet::resume);
}

#[test]
fn a_suspended_member_that_reads_before_it_acts_is_degraded_and_declares_nobody_dead() {
    check_suspended_members(TestFleet::resume_input_first);
}

fn check_suspended_members(resume: fn(&mut TestFleet, usize)) {
    let mut fleet = TestFleet::new(12);
    fleet.run(8000);
    fleet.events.clear();
    (0..4).for_each(|of| fleet.suspend(of * 3));
    fleet.run(10_000);
    (0..4).for_each(|of| resume(&mut fleet, of * 3));
    fleet.run(20);
    let of = |fleet: &TestFleet, of: usize| fleet.members[&of].local_status();
    assert_eq!(of(&fleet, 0), LocalStatus::Degraded);
    let by_suspended = |(_, by, event): &(u64, usize, MembershipEvent)| {
        by % 3 == 0 && matches!(event, MembershipEvent::Died(_))
    };
    fleet.run(40_000);
    assert!(!fleet.events.iter().any(by_suspended), "a suspended member declared others dead");
    assert_eq!(of(&fleet, 0), LocalStatus::Healthy);
    assert!(fleet.agree(), "{}", fleet.view_of(1));
}

#[test]
fn indirect_probes_bridge_a_link_that_is_silent_one_way() {
    let mut fleet = TestFleet::new(8);
    fleet.run(5000);
    fleet.events.clear();
    fleet.blocked = |from, to| (from, to) == (3, 4);
    fleet.run(120_000);
    assert_eq!(fleet.deaths(), 0, "{:?}", fleet.events);
    assert!(fleet.agree());
}

#[test]
fn healed_partitions_with_starts_and_ends_meanwhile_merge() {
    let mut fleet = TestFleet::new(10);
    fleet.run(5000);
    fleet.blocked = |from, to| from % 2 != to % 2;
    fleet.run(20_000);
    // On both sides one member ends and one starts; each side has one of the seeds.
    fleet.kill(8);
    fleet.kill(9);
    fleet.start(10);
    fleet.start(11);
    fleet.run(40_000);
    let apart = (fleet.view_of(0), fleet.view_of(1));
    for half in [0, 1] {
        let size = fleet.members[&half].size(None);
        assert!(size.min <= 5 && size.max >= 10, "{size:?} of 10");
    }
    fleet.blocked = |_, _| false;
    let met = fleet.now;
    while !fleet.agree() && fleet.now - met < Duration::from_ms(60_000) {
        fleet.run(500);
    }
    let rounds = (fleet.now - met).us() / 1_000_000;
    assert!(fleet.agree() && rounds <= 20, "{rounds} rounds\n{}\n{}", apart.0, apart.1);
    assert!(apart.0.contains("alive n10 n2 n4 n6,"), "{}", apart.0);
}

#[test]
fn a_restart_before_detection_is_a_new_generation_and_old_datagrams_are_dropped() {
    let mut fleet = TestFleet::new(5);
    fleet.run(5000);
    let mut former = fleet.members[&3].clone();
    let late = loop {
        former.tick(fleet.now + Duration::from_ms(2000));
        if let Some(next) = former.next_datagram(fleet.now) {
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
    let generation = fleet.members[&0].member_status(name(3));
    let n0 = fleet.members.get_mut(&0).expect("it runs");
    assert_eq!(n0.receive(fleet.now, &late), Err(DatagramError::Replayed));
    assert_eq!(n0.member_status(name(3)), generation);
    assert!(fleet.agree());
}

#[test]
fn a_member_rejoins_after_a_restart_with_its_clock_set_back() {
    let mut fleet = TestFleet::new(5);
    fleet.run(5000);
    fleet.kill(3);
    let back = Generation(fleet.now.us() / 1000 - 600_000);
    fleet.members.insert(3, Membership::new(config(3, 64), back, 9, fleet.now));
    fleet.run(15_000);
    assert!(fleet.agree(), "{}", fleet.view_of(0));
}

#[test]
fn without_a_seed_the_upper_bound_is_the_largest_number_of_servers() {
    let mut fleet = TestFleet::new(0);
    (2..5).for_each(|of| fleet.start(of));
    fleet.run(30_000);
    assert_eq!(fleet.view_of(2), "n2 joining 1..64: ");
    fleet.start(0);
    fleet.run(5000);
    assert!(fleet.agree(), "{}", fleet.view_of(2));
}

#[test]
fn an_isolated_member_says_so_and_declares_nobody_dead() {
    let mut fleet = TestFleet::new(6);
    fleet.run(5000);
    fleet.events.clear();
    fleet.blocked = |from, to| from == 2 || to == 2;
    fleet.run(90_000);
    assert_eq!(fleet.view_of(2).split(':').next(), Some("n2 cut-off 1..64"));
    assert!(!fleet.events.iter().any(|(_, by, event)| *by == 2 && matches!(event, MembershipEvent::Died(_))));
    expect!["n0 whole 5..7: alive n1 n3 n4 n5, lost n2"].assert_eq(&fleet.view_of(0));
    fleet.blocked = |_, _| false;
    fleet.run(15_000);
    assert!(fleet.agree(), "{}\n{}", fleet.view_of(0), fleet.view_of(2));
}

/// A member with the key claims that all others are suspected, have left, or have an impossible generation.
#[test]
fn false_updates_cost_refutations_and_no_member_dies_of_them() {
    for state in [MemberState::Suspected(name(63)), MemberState::Left, MemberState::Leaving] {
        let mut fleet = TestFleet::new(9);
        fleet.run(5000);
        fleet.events.clear();
        let mut number = 0;
        for round in 0..120 {
            for victim in 1..8 {
                let of = *fleet.members[&victim].local_update();
                let more = if round % 2 == 0 { 0 } else { 3 };
                let false_update =
                    MemberUpdate { state, incarnation: Incarnation(of.incarnation.0 + more), ..of };
                let impossible = MemberUpdate { generation: Generation(u64::MAX), ..false_update };
                number += 1;
                let datagram = Datagram {
                    installation: Installation::new("bread").expect("a name"),
                    sender: MemberUpdate {
                        name: name(63),
                        address: address(63),
                        state: MemberState::Alive,
                        ..of
                    },
                    sequence: number,
                    sent_ms: fleet.now.us() / 1000,
                    body: Body::Gossip,
                    load_report: None,
                    updates: vec![false_update, impossible],
                };
                let receiver = (victim + round) % 9;
                let _ = fleet.members.get_mut(&receiver).expect("it runs").receive(fleet.now, &datagram);
            }
            fleet.run(500);
        }
        fleet.run(30_000);
        let lost =
            |of: usize| fleet.events.iter().any(|(.., event)| *event == MembershipEvent::Died(name(of)));
        assert!((1..8).all(|of| !lost(of)), "{state:?}");
        for (of, member) in &fleet.members {
            let alive =
                member.statuses().filter(|(n, s)| *n != name(63) && *s == MemberStatus::Alive).count();
            assert_eq!(alive, 8, "{state:?} {of}: {}", fleet.view_of(*of));
        }
    }
}

#[test]
fn a_full_table_forgets_members_that_are_gone_and_takes_no_more() {
    let mut member = Membership::new(config(0, 4), Generation(1), 1, START);
    let claim = |of: usize| MemberUpdate {
        name: name(of),
        site: config(of, 4).site,
        address: address(of),
        generation: Generation(5),
        incarnation: Incarnation(0),
        state: if of == 2 { MemberState::Left } else { MemberState::Alive },
    };
    let datagram = Datagram {
        installation: Installation::new("bread").expect("a name"),
        sender: claim(1),
        sequence: 1,
        sent_ms: START.us() / 1000,
        body: Body::Gossip,
        load_report: None,
        updates: (2..40).map(claim).collect(),
    };
    member.receive(START, &datagram).expect("it is taken");
    member.check_invariants().expect("it is sound");
    assert_eq!((member.member_status(name(2)), member.rejected_members), (None, 30));
    assert_eq!(member.size(None).max, 4);
}

#[test]
fn malformed_foreign_stale_and_replayed_datagrams_are_dropped_with_their_reason() {
    let key = Key::from_text("a key of sixteen characters").expect("long enough");
    let other = Key::from_text("another key of that length").expect("long enough");
    let ours = Installation::new("bread").expect("a name");
    let mut member = Membership::new(config(3, 64), Generation(9), 1, START);
    member.tick(START + Duration::from_ms(1000));
    let datagram = member.next_datagram(START).expect("it looks for others").datagram;
    let bytes = datagram::seal(&key, &datagram);
    let now = START;
    let open = |key: &Key, now: Timestamp, bytes: &[u8]| datagram::open(key, &ours, now, bytes).map(|_| ());
    let changed = |at: usize, by: u8| {
        let mut bytes = bytes.clone();
        bytes[at] ^= by;
        bytes
    };
    let foreign = Datagram { installation: Installation::new("cake").expect("a name"), ..datagram.clone() };
    let mut long = datagram.clone();
    long.updates = vec![datagram.sender; 200];
    let seen = format!(
        "{:?}\n{:?} {:?} {:?} {:?} {:?}\n{:?} {:?} {:?}\n",
        open(&key, now, &bytes),
        open(&other, now, &bytes),
        open(&key, now, &changed(0, 1)),
        open(&key, now, &changed(9, 1)),
        open(&key, now, &changed(30, 1)),
        open(&key, now, &bytes[..10]),
        open(&key, now, &datagram::seal(&key, &foreign)),
        open(&key, now + Duration::from_ms(200_000), &bytes),
        open(&key, now, &datagram::seal(&key, &long)),
    );
    expect![[r#"
        Ok(())
        Err(Tag) Err(Version) Err(Tag) Err(Tag) Err(Size)
        Err(Foreign) Err(Stale) Ok(())
    "#]]
    .assert_eq(&seen);
    assert_eq!(bytes.len(), datagram::encoded_length(&datagram));
    assert!(datagram::seal(&key, &long).len() <= datagram::MAX_DATAGRAM_BYTES);

    let mut receiver = Membership::new(config(0, 64), Generation(9), 1, START);
    assert_eq!(
        (receiver.receive(now, &datagram), receiver.receive(now, &datagram)),
        (Ok(()), Err(DatagramError::Replayed))
    );
}

#[test]
fn arbitrary_bytes_under_a_valid_tag_keep_the_invariants() {
    let key = Key::from_text("a key of sixteen characters").expect("long enough");
    let ours = Installation::new("bread").expect("a name");
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
    for turn in 0..20_000u64 {
        let now = fleet.now + Duration::from_ms(turn);
        let OutgoingDatagram { address: to, mut datagram } =
            datagrams[turn as usize % datagrams.len()].clone();
        // A datagram with some of its bytes changed before it is sealed.
        datagram.sequence += 1000 + turn;
        let mut bytes = datagram::seal(&key, &datagram);
        for _ in 0..random.draw() % 4 {
            let at = 17 + random.draw() as usize % (bytes.len() - 17);
            bytes[at] = random.draw() as u8;
        }
        bytes.truncate(if random.draw().is_multiple_of(5) { 18 + bytes.len() / 2 } else { bytes.len() });
        let bytes = datagram::reseal(&key, bytes);
        match datagram::open(&key, &ours, now, &bytes) {
            Ok(datagram) => {
                accepted += 1;
                let Some(receiver) = fleet.members.get_mut(&(number(to) % 4)) else { continue };
                let _ = receiver.receive(now, &datagram);
                receiver.tick(now);
                while receiver.next_datagram(now).is_some() {}
                while receiver.next_event().is_some() {}
                receiver.check_invariants().expect("sound");
            }
            Err(_) => rejected += 1,
        }
    }
    assert!(accepted > 1000 && rejected > 1000, "{accepted} accepted, {rejected} rejected");
}

#[test]
fn a_storm_of_starts_is_bounded_and_nobody_is_declared_dead() {
    let mut fleet = TestFleet::new(0);
    for of in 0..60 {
        fleet.start(of);
        fleet.run(16);
    }
    fleet.sent = 0;
    fleet.run(10_000);
    let each = fleet.sent as f64 / 60.0 / 10.0;
    assert!(each < 12.0, "{each} datagrams a second and server");
    fleet.run(10_000);
    assert_eq!(fleet.deaths(), 0);
    assert!(fleet.agree(), "{}", fleet.view_of(7));
}

#[test]
fn a_member_that_runs_three_seconds_late_is_not_declared_dead() {
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
    assert_eq!(fleet.deaths(), 0, "{:?}", fleet.events);
    assert!(fleet.agree(), "{}", fleet.view_of(0));
}

/// One member, and others that the test plays: some answer its probes, some are dead.
struct Single {
    member: Membership,
    now: Timestamp,
    sequence: u64,
    events: String,
}

impl Single {
    const ALIVE: std::ops::Range<usize> = 1..8;
    const DEAD: std::ops::Range<usize> = 8..10;

    fn update(of: usize, state: MemberState) -> MemberUpdate {
        let config = config(of, 64);
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

    fn receive_from(&mut self, from: usize, body: Body, updates: Vec<MemberUpdate>) {
        self.sequence += 1;
        let datagram = Datagram {
            installation: config(0, 64).installation,
            sender: Self::update(from, MemberState::Alive),
            sequence: self.sequence,
            sent_ms: self.now.us() / 1000,
            body,
            load_report: None,
            updates,
        };
        self.member.receive(self.now, &datagram).expect("a sound datagram");
    }

    /// Runs until so many milliseconds after the start; living members answer at once.
    fn run_until(&mut self, ms: u64) {
        while self.now < START + Duration::from_ms(ms) {
            self.member.tick(self.now);
            while let Some(OutgoingDatagram { address: to, datagram }) = self.member.next_datagram(self.now) {
                if let Body::Ping { number: asked, .. } = datagram.body
                    && Self::ALIVE.contains(&number(to))
                {
                    self.receive_from(number(to), Body::Ack { number: asked }, Vec::new());
                }
            }
            while let Some(event) = self.member.next_event() {
                if matches!(event, MembershipEvent::Died(_) | MembershipEvent::LocalStatusChanged { .. }) {
                    self.events += &format!("{} {event:?}\n", (self.now - START).us() / 1000);
                }
            }
            self.member.check_invariants().expect("sound");
            self.now = self.member.next_tick().max(self.now + Duration::from_ms(1));
        }
    }
}

#[test]
fn a_late_accuser_is_no_suspension_and_postpones_no_other_suspicion() {
    let member = Membership::new(config(0, 64), Generation(START.us() / 1000), 7, START);
    let mut single = Single { member, now: START, sequence: 0, events: String::new() };
    let all = Single::ALIVE.chain(Single::DEAD).map(|of| Single::update(of, MemberState::Alive)).collect();
    single.receive_from(1, Body::MemberListPage { next: None }, all);
    single.run_until(1000);
    let suspected =
        |by| Single::DEAD.map(|of| Single::update(of, MemberState::Suspected(name(by)))).collect::<Vec<_>>();
    single.receive_from(1, Body::Gossip, suspected(1));
    single.run_until(12_000);
    // The other accusers of the first one speak only now, when the suspicion has lasted longer than their
    // timeout.
    for by in 2..5 {
        single.receive_from(by, Body::Gossip, suspected(by)[..1].to_vec());
    }
    single.run_until(40_000);
    expect![[r#"
        0 LocalStatusChanged { from: Joining, to: Healthy }
        13296 Died(n8)
        15296 Died(n9)
    "#]]
    .assert_eq(&single.events);
}
