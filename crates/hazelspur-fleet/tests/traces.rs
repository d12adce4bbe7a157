//! What members conclude, as short traces.

mod helpers;

use expect_test::expect;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::names::Incarnation;
use hazelspur_fleet::talk::{self, Dropped};
use hazelspur_fleet::{
    Body, Claim, Condition, Datagram, Event, Generation, Installation, Key, Members, Says, Standing,
};
use helpers::{START, Town, address, name, number, terms};

#[test]
fn a_fleet_finds_itself_by_two_contact_points() {
    let mut town = Town::new(7);
    town.run(3000);
    expect![[r#"
        n6 whole 7..7: alive n0 n1 n2 n3 n4 n5
    "#]]
    .assert_eq(&format!("{}\n", town.seen_by(6)));
    assert!(town.agree());
}

#[test]
fn one_that_is_killed_is_lost_and_one_that_leaves_is_never_suspected() {
    let mut town = Town::new(7);
    town.run(5000);
    town.said.clear();
    let leaver = town.members.get_mut(&5).expect("it runs");
    leaver.leave(town.now);
    town.run(1000);
    town.members.get_mut(&5).expect("it runs").left(town.now);
    town.run(10);
    town.kill(5);
    town.kill(4);
    town.run(60_000);
    expect![[r#"
        n0 whole 5..7: alive n1 n2 n3 n6, left n5, lost n4
        n6 whole 5..7: alive n0 n1 n2 n3, left n5, lost n4
    "#]]
    .assert_eq(&format!("{}\n{}\n", town.seen_by(0), town.seen_by(6)));
    let suspected = |event: &Event| matches!(event, Event::Suspected(of, _) if *of == name(5));
    assert!(!town.said.iter().any(|(.., event)| suspected(event)));
}

#[test]
fn one_that_stood_still_blames_itself() {
    let mut town = Town::new(12);
    town.run(8000);
    town.said.clear();
    (0..4).for_each(|of| town.stop(of * 3));
    town.run(10_000);
    (0..4).for_each(|of| town.go_on(of * 3));
    town.run(20);
    let of = |town: &Town, of: usize| town.members[&of].condition();
    assert_eq!(of(&town, 0), Condition::Doubtful);
    let by_stopped = |(_, by, event): &(u64, usize, Event)| by % 3 == 0 && matches!(event, Event::Lost(_));
    town.run(40_000);
    assert!(!town.said.iter().any(by_stopped), "it held others for gone");
    assert_eq!(of(&town, 0), Condition::Whole);
    assert!(town.agree(), "{}", town.seen_by(1));
}

#[test]
fn one_direction_of_one_link_silent_is_bridged_by_others() {
    let mut town = Town::new(8);
    town.run(5000);
    town.said.clear();
    town.blocked = |from, to| (from, to) == (3, 4);
    town.run(120_000);
    assert_eq!(town.lost(), 0, "{:?}", town.said);
    assert!(town.agree());
}

#[test]
fn two_halves_with_starts_and_ends_meanwhile_become_one_again() {
    let mut town = Town::new(10);
    town.run(5000);
    town.blocked = |from, to| from % 2 != to % 2;
    town.run(20_000);
    // On both sides: one goes, one comes; contact points 0 and 1 are on a side each.
    town.kill(8);
    town.kill(9);
    town.start(10);
    town.start(11);
    town.run(40_000);
    let apart = (town.seen_by(0), town.seen_by(1));
    for half in [0, 1] {
        let size = town.members[&half].size(None);
        assert!(size.least <= 5 && size.most >= 10, "{size:?} of 10");
    }
    town.blocked = |_, _| false;
    let met = town.now;
    while !town.agree() && town.now - met < Duration::from_ms(60_000) {
        town.run(500);
    }
    let rounds = (town.now - met).us() / 1_000_000;
    assert!(town.agree() && rounds <= 20, "{rounds} rounds\n{}\n{}", apart.0, apart.1);
    assert!(apart.0.contains("alive n10 n2 n4 n6,"), "{}", apart.0);
}

#[test]
fn a_restart_before_the_death_was_noticed_is_a_new_life_and_the_old_ones_words_are_dropped() {
    let mut town = Town::new(5);
    town.run(5000);
    let mut former = town.members[&3].clone();
    let late = loop {
        former.tick(town.now + Duration::from_ms(2000));
        if let Some((_, datagram)) = former.next_out(town.now) {
            break datagram;
        }
    };
    town.said.clear();
    town.kill(3);
    town.start(3);
    town.run(4000);
    let restarted = town.said.iter().filter(|(.., event)| *event == Event::Restarted(name(3))).count();
    assert_eq!(restarted, 4);
    let generation = town.members[&0].standing(name(3));
    let n0 = town.members.get_mut(&0).expect("it runs");
    assert_eq!(n0.heard(town.now, &late), Err(Dropped::Old));
    assert_eq!(n0.standing(name(3)), generation);
    assert!(town.agree());
}

#[test]
fn a_clock_that_went_back_before_a_restart_does_not_shut_it_out() {
    let mut town = Town::new(5);
    town.run(5000);
    town.kill(3);
    let back = Generation(town.now.us() / 1000 - 600_000);
    town.members.insert(3, Members::new(terms(3, 64), back, 9, town.now));
    town.run(15_000);
    assert!(town.agree(), "{}", town.seen_by(0));
}

#[test]
fn without_a_contact_point_the_careful_bound_holds() {
    let mut town = Town::new(0);
    (2..5).for_each(|of| town.start(of));
    town.run(30_000);
    assert_eq!(town.seen_by(2), "n2 joining 1..64: ");
    town.start(0);
    town.run(5000);
    assert!(town.agree(), "{}", town.seen_by(2));
}

#[test]
fn one_that_hears_nobody_says_so_and_gives_nobody_up() {
    let mut town = Town::new(6);
    town.run(5000);
    town.said.clear();
    town.blocked = |from, to| from == 2 || to == 2;
    town.run(90_000);
    assert_eq!(town.seen_by(2).split(':').next(), Some("n2 cut-off 1..64"));
    assert!(!town.said.iter().any(|(_, by, event)| *by == 2 && matches!(event, Event::Lost(_))));
    expect!["n0 whole 5..7: alive n1 n3 n4 n5, lost n2"].assert_eq(&town.seen_by(0));
    town.blocked = |_, _| false;
    town.run(15_000);
    assert!(town.agree(), "{}\n{}", town.seen_by(0), town.seen_by(2));
}

/// A member with the key that says of all others that they are gone, have left, or are centuries ahead.
#[test]
fn a_liar_costs_refutations_and_nobody_their_place() {
    for says in [Says::Suspected(name(63)), Says::Left, Says::Leaving] {
        let mut town = Town::new(9);
        town.run(5000);
        town.said.clear();
        let mut number = 0;
        for round in 0..120 {
            for victim in 1..8 {
                let of = *town.members[&victim].me();
                let more = if round % 2 == 0 { 0 } else { 3 };
                let lie = Claim { says, incarnation: Incarnation(of.incarnation.0 + more), ..of };
                let absurd = Claim { generation: Generation(u64::MAX), ..lie };
                number += 1;
                let datagram = Datagram {
                    installation: Installation::new("bread").expect("a name"),
                    from: Claim { name: name(63), at: address(63), says: Says::Alive, ..of },
                    number,
                    sent_ms: town.now.us() / 1000,
                    body: Body::Gossip,
                    word: None,
                    claims: vec![lie, absurd],
                };
                let ear = (victim + round) % 9;
                let _ = town.members.get_mut(&ear).expect("it runs").heard(town.now, &datagram);
            }
            town.run(500);
        }
        town.run(30_000);
        let lost = |of: usize| town.said.iter().any(|(.., event)| *event == Event::Lost(name(of)));
        assert!((1..8).all(|of| !lost(of)), "{says:?}");
        for (of, member) in &town.members {
            let alive = member.standings().filter(|(n, s)| *n != name(63) && *s == Standing::Alive).count();
            assert_eq!(alive, 8, "{says:?} {of}: {}", town.seen_by(*of));
        }
    }
}

#[test]
fn a_full_table_forgets_who_is_gone_and_takes_no_more() {
    let mut member = Members::new(terms(0, 4), Generation(1), 1, START);
    let claim = |of: usize| Claim {
        name: name(of),
        site: terms(of, 4).site,
        at: address(of),
        generation: Generation(5),
        incarnation: Incarnation(0),
        says: if of == 2 { Says::Left } else { Says::Alive },
    };
    let datagram = Datagram {
        installation: Installation::new("bread").expect("a name"),
        from: claim(1),
        number: 1,
        sent_ms: START.us() / 1000,
        body: Body::Gossip,
        word: None,
        claims: (2..40).map(claim).collect(),
    };
    member.heard(START, &datagram).expect("it is taken");
    member.check().expect("it is sound");
    assert_eq!((member.standing(name(2)), member.figures.no_room), (None, 30));
    assert_eq!(member.size(None).most, 4);
}

#[test]
fn what_is_wrong_foreign_stale_or_played_again_is_told_apart_and_dropped() {
    let key = Key::from_text("a key of sixteen characters").expect("long enough");
    let other = Key::from_text("another key of that length").expect("long enough");
    let ours = Installation::new("bread").expect("a name");
    let mut member = Members::new(terms(3, 64), Generation(9), 1, START);
    member.tick(START + Duration::from_ms(1000));
    let (_, datagram) = member.next_out(START).expect("it looks for others");
    let bytes = talk::seal(&key, &datagram);
    let now = START;
    let open = |key: &Key, now: Timestamp, bytes: &[u8]| talk::open(key, &ours, now, bytes).map(|_| ());
    let changed = |at: usize, by: u8| {
        let mut bytes = bytes.clone();
        bytes[at] ^= by;
        bytes
    };
    let foreign = Datagram { installation: Installation::new("cake").expect("a name"), ..datagram.clone() };
    let mut long = datagram.clone();
    long.claims = vec![datagram.from; 200];
    let seen = format!(
        "{:?}\n{:?} {:?} {:?} {:?} {:?}\n{:?} {:?} {:?}\n",
        open(&key, now, &bytes),
        open(&other, now, &bytes),
        open(&key, now, &changed(0, 1)),
        open(&key, now, &changed(9, 1)),
        open(&key, now, &changed(30, 1)),
        open(&key, now, &bytes[..10]),
        open(&key, now, &talk::seal(&key, &foreign)),
        open(&key, now + Duration::from_ms(200_000), &bytes),
        open(&key, now, &talk::seal(&key, &long)),
    );
    expect![[r#"
        Ok(())
        Err(Tag) Err(Version) Err(Tag) Err(Tag) Err(Size)
        Err(Foreign) Err(Stale) Ok(())
    "#]]
    .assert_eq(&seen);
    assert_eq!(bytes.len(), talk::length(&datagram));
    assert!(talk::seal(&key, &long).len() <= talk::LONGEST);

    let mut ear = Members::new(terms(0, 64), Generation(9), 1, START);
    assert_eq!((ear.heard(now, &datagram), ear.heard(now, &datagram)), (Ok(()), Err(Dropped::Old)));
}

#[test]
fn any_bytes_under_the_right_tag_are_refused_or_read_and_never_harm() {
    let key = Key::from_text("a key of sixteen characters").expect("long enough");
    let ours = Installation::new("bread").expect("a name");
    let mut town = Town::new(4);
    town.run(3000);
    let mut chance = hazelspur::pcg::Pcg::new(3);
    let mut speaker = town.members[&1].clone();
    let mut pool = Vec::new();
    while pool.len() < 20 {
        speaker.tick(speaker.next_tick());
        pool.extend(std::iter::from_fn(|| speaker.next_out(town.now)));
    }
    let (mut read, mut refused) = (0, 0);
    for turn in 0..20_000u64 {
        let now = town.now + Duration::from_ms(turn);
        let (to, mut datagram) = pool[turn as usize % pool.len()].clone();
        // A datagram with some of its bytes changed before it is sealed.
        datagram.number += 1000 + turn;
        let mut bytes = talk::seal(&key, &datagram);
        for _ in 0..chance.draw() % 4 {
            let at = 17 + chance.draw() as usize % (bytes.len() - 17);
            bytes[at] = chance.draw() as u8;
        }
        bytes.truncate(if chance.draw().is_multiple_of(5) { 18 + bytes.len() / 2 } else { bytes.len() });
        let bytes = talk::sealed_anew(&key, bytes);
        match talk::open(&key, &ours, now, &bytes) {
            Ok(datagram) => {
                read += 1;
                let Some(ear) = town.members.get_mut(&(number(to) % 4)) else { continue };
                let _ = ear.heard(now, &datagram);
                ear.tick(now);
                while ear.next_out(now).is_some() {}
                while ear.next_event().is_some() {}
                ear.check().expect("sound");
            }
            Err(_) => refused += 1,
        }
    }
    assert!(read > 1000 && refused > 1000, "{read} read, {refused} refused");
}

#[test]
fn a_storm_of_starts_is_bounded_and_nobody_is_falsely_lost() {
    let mut town = Town::new(0);
    for of in 0..60 {
        town.start(of);
        town.run(16);
    }
    town.sent = 0;
    town.run(10_000);
    let each = town.sent as f64 / 60.0 / 10.0;
    assert!(each < 12.0, "{each} datagrams a second and server");
    town.run(10_000);
    assert_eq!(town.lost(), 0);
    assert!(town.agree(), "{}", town.seen_by(7));
}

#[test]
fn cores_so_crowded_that_all_runs_three_seconds_late_kill_nobody() {
    let mut town = Town::new(9);
    town.run(5000);
    town.said.clear();
    for _ in 0..20 {
        town.stop(4);
        town.run(3000);
        town.go_on(4);
        town.run(50);
    }
    town.run(30_000);
    assert_eq!(town.lost(), 0, "{:?}", town.said);
    assert!(town.agree(), "{}", town.seen_by(0));
}

/// One member, and others that are played by hand: some answer its probes, some are dead.
struct Alone {
    member: Members,
    now: Timestamp,
    numbers: u64,
    said: String,
}

impl Alone {
    const ALIVE: std::ops::Range<usize> = 1..8;
    const DEAD: std::ops::Range<usize> = 8..10;

    fn claim(of: usize, says: Says) -> Claim {
        let terms = terms(of, 64);
        let (generation, incarnation) = (Generation(START.us() / 1000), Incarnation(0));
        Claim { name: terms.name, site: terms.site, at: terms.at, generation, incarnation, says }
    }

    fn hears(&mut self, from: usize, body: Body, claims: Vec<Claim>) {
        self.numbers += 1;
        let datagram = Datagram {
            installation: terms(0, 64).installation,
            from: Self::claim(from, Says::Alive),
            number: self.numbers,
            sent_ms: self.now.us() / 1000,
            body,
            word: None,
            claims,
        };
        self.member.heard(self.now, &datagram).expect("a sound datagram");
    }

    /// Until so many ms from the start; who is alive answers at once.
    fn until(&mut self, ms: u64) {
        while self.now < START + Duration::from_ms(ms) {
            self.member.tick(self.now);
            while let Some((to, datagram)) = self.member.next_out(self.now) {
                if let Body::Ping { number: asked, .. } = datagram.body
                    && Self::ALIVE.contains(&number(to))
                {
                    self.hears(number(to), Body::Ack { number: asked }, Vec::new());
                }
            }
            while let Some(event) = self.member.next_event() {
                if matches!(event, Event::Lost(_) | Event::Condition(..)) {
                    self.said += &format!("{} {event:?}\n", (self.now - START).us() / 1000);
                }
            }
            self.member.check().expect("sound");
            self.now = self.member.next_tick().max(self.now + Duration::from_ms(1));
        }
    }
}

#[test]
fn an_accuser_that_comes_late_is_no_standstill_and_puts_no_other_suspicion_off() {
    let member = Members::new(terms(0, 64), Generation(START.us() / 1000), 7, START);
    let mut alone = Alone { member, now: START, numbers: 0, said: String::new() };
    let all = Alone::ALIVE.chain(Alone::DEAD).map(|of| Alone::claim(of, Says::Alive)).collect();
    alone.hears(1, Body::Page { next: None }, all);
    alone.until(1000);
    let suspected =
        |by| Alone::DEAD.map(|of| Alone::claim(of, Says::Suspected(name(by)))).collect::<Vec<_>>();
    alone.hears(1, Body::Gossip, suspected(1));
    alone.until(12_000);
    // Of the first of them the rest speak only now, when its suspicion has lasted longer than they would have left it.
    for by in 2..5 {
        alone.hears(by, Body::Gossip, suspected(by)[..1].to_vec());
    }
    alone.until(40_000);
    expect![[r#"
        0 Condition(Joining, Whole)
        13296 Lost(n8)
        15296 Lost(n9)
    "#]]
    .assert_eq(&alone.said);
}
