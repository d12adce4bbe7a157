//! All orders of few events among three and four members: any datagram under way may come next, come twice or
//! never, anybody's timer may be next, one may be killed and start again. After each step no member falls
//! back to an older life of another; after each end a fair network brings all that run to one picture.

mod helpers;

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::membership::GenerationStatus;
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::{Datagram, Generation, MemberName, MemberStatus, Membership};
use helpers::{START, config, name, number};
use std::collections::BTreeMap;

/// Under way at once; what is more was lost.
const MAX_IN_FLIGHT: usize = 5;

#[derive(Clone)]
struct World {
    now: Timestamp,
    members: BTreeMap<usize, Membership>,
    in_flight: Vec<(usize, Datagram)>,
    starts: u64,
    /// What each life of a holder has last believed of each other's life.
    believed: BTreeMap<(usize, Generation, MemberName), Generation>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Double(usize),
    Lose(usize),
    Tick(usize),
    Kill(usize),
    Start(usize),
}

/// Whom a holder thinks to be in an older life than it thought before.
fn fallen_back(
    believed: &mut BTreeMap<(usize, Generation, MemberName), Generation>,
    holder: (usize, Generation),
    now: impl Iterator<Item = (MemberName, Generation)>,
) -> Option<MemberName> {
    let mut found = None;
    for (of, generation) in now {
        let before = believed.entry((holder.0, holder.1, of)).or_insert(generation);
        if generation < *before {
            found = Some(of);
        }
        *before = generation;
    }
    found
}

impl World {
    fn new(size: usize) -> Self {
        let mut world = Self {
            now: START,
            members: BTreeMap::new(),
            in_flight: Vec::new(),
            starts: 0,
            believed: BTreeMap::new(),
        };
        (0..size).for_each(|of| world.start(of));
        world
    }

    fn start(&mut self, of: usize) {
        self.starts += 1;
        let generation = Generation(self.now.us() / 1000 + self.starts);
        let seed = of as u64 * 1000 + self.starts;
        self.members.insert(of, Membership::new(config(of, 8), generation, seed, self.now));
    }

    fn steps(&self) -> Vec<Step> {
        let in_flight = 0..self.in_flight.len();
        let mut steps: Vec<Step> = in_flight.clone().map(Step::Deliver).collect();
        steps.extend(in_flight.clone().map(Step::Lose));
        steps.extend(in_flight.map(Step::Double));
        steps.extend(self.members.keys().map(|of| Step::Tick(*of)));
        // One that is killed and comes again is as good as any.
        steps.push(if self.members.contains_key(&2) { Step::Kill(2) } else { Step::Start(2) });
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Deliver(i) => {
                let (to, datagram) = self.in_flight.remove(i);
                self.deliver(to, &datagram);
            }
            Step::Double(i) => {
                let (to, datagram) = self.in_flight[i].clone();
                self.deliver(to, &datagram);
            }
            Step::Lose(i) => drop(self.in_flight.remove(i)),
            Step::Tick(of) => {
                let Some(member) = self.members.get_mut(&of) else { return };
                self.now = self.now.max(member.next_tick());
                member.tick(self.now);
                self.gather(of);
            }
            Step::Kill(of) => drop(self.members.remove(&of)),
            Step::Start(of) => self.start(of),
        }
        self.in_flight.drain(..self.in_flight.len().saturating_sub(MAX_IN_FLIGHT));
        self.check();
    }

    fn deliver(&mut self, to: usize, datagram: &Datagram) {
        if let Some(member) = self.members.get_mut(&to) {
            let _ = member.receive(self.now, datagram);
            self.gather(to);
        }
    }

    fn gather(&mut self, of: usize) {
        let Some(member) = self.members.get_mut(&of) else { return };
        while let Some(OutgoingDatagram { address: to, datagram }) = member.next_datagram(self.now) {
            self.in_flight.push((number(to), datagram));
        }
        while member.next_event().is_some() {}
    }

    fn check(&mut self) {
        for (of, member) in &self.members {
            member.check_invariants().unwrap_or_else(|why| panic!("{of}: {why}"));
            let held = member
                .statuses()
                .filter_map(|(name, _)| Some((name, member.member_status(name)?.generation)));
            let holder = (*of, member.local_update().generation);
            let back = fallen_back(&mut self.believed, holder, held);
            assert_eq!(back, None, "n{of} fell back to an older life");
        }
    }

    /// From here on nothing is lost: all that run come to see each other, in their newest lives, and nobody
    /// else.
    fn comes_together(mut self) -> Result<(), String> {
        let end = self.now + Duration::from_ms(150_000);
        while self.now < end {
            for (to, datagram) in std::mem::take(&mut self.in_flight) {
                self.deliver(to, &datagram);
            }
            if self.in_flight.is_empty() {
                let next = self.members.iter().min_by_key(|(_, member)| member.next_tick());
                let Some(of) = next.map(|(of, _)| *of) else { return Ok(()) };
                let member = self.members.get_mut(&of).expect("looked up above");
                self.now = self.now.max(member.next_tick());
                member.tick(self.now);
                self.gather(of);
            }
        }
        self.check();
        for (of, member) in &self.members {
            for (other, newest) in &self.members {
                let right = Some(GenerationStatus {
                    generation: newest.local_update().generation,
                    status: MemberStatus::Alive,
                });
                if of != other && member.member_status(name(*other)) != right {
                    return Err(format!("n{of} holds n{other} for {:?}", member.member_status(name(*other))));
                }
            }
            let alive = member.statuses().filter(|(_, standing)| *standing == MemberStatus::Alive).count();
            if alive + 1 != self.members.len() {
                return Err(format!("n{of} sees {alive} others of {}", self.members.len() - 1));
            }
        }
        Ok(())
    }
}

/// 5 in CI; 6 takes a quarter of an hour without optimization.
fn depth() -> usize {
    std::env::var("HAZELSPUR_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(5)
}

/// Takes every order of steps to this depth, and one in `each` of its ends to a fair end.
fn explore(world: &World, depth: usize, each: usize, seen: &mut (usize, usize)) {
    if depth == 0 {
        seen.0 += 1;
        if seen.0.is_multiple_of(each) {
            seen.1 += 1;
            world.clone().comes_together().unwrap_or_else(|why| panic!("{why}"));
        }
        return;
    }
    for step in world.steps() {
        let mut next = world.clone();
        next.take(step);
        explore(&next, depth - 1, each, seen);
    }
}

#[test]
fn three_that_find_each_other_in_any_order_come_to_one_picture() {
    let mut seen = (0, 0);
    explore(&World::new(3), depth(), 211, &mut seen);
    assert!(seen.0 > 20_000 && seen.1 > 100, "{seen:?}");
}

#[test]
fn three_that_know_each_other_stand_any_order_of_loss_and_restart() {
    let mut world = World::new(3);
    world.clone().comes_together().expect("a quiet start");
    for _ in 0..60 {
        while !world.in_flight.is_empty() {
            world.take(Step::Deliver(0));
        }
        let next = world.members.iter().min_by_key(|(_, member)| member.next_tick()).map(|(of, _)| *of);
        world.take(Step::Tick(next.expect("three run")));
    }
    let mut seen = (0, 0);
    explore(&world, depth(), 101, &mut seen);
    assert!(seen.0 > 20_000 && seen.1 > 100, "{seen:?}");
}

#[test]
fn long_walks_of_four_members_end_in_one_picture() {
    for seed in 0..300 {
        let mut chance = Pcg::new(seed);
        let mut world = World::new(4);
        for _ in 0..150 {
            let steps = world.steps();
            world.take(steps[chance.draw() as usize % steps.len()]);
        }
        world.comes_together().unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    }
}

#[test]
fn the_checks_find_what_is_planted() {
    let mut believed = BTreeMap::new();
    let holder = (0, Generation(1));
    let held = |generation| [(name(2), Generation(generation))].into_iter();
    assert_eq!(fallen_back(&mut believed, holder, held(7)), None);
    assert_eq!(fallen_back(&mut believed, holder, held(6)), Some(name(2)));
    // One that nobody can hear is not in one picture with the others.
    let mut world = World::new(3);
    world.members.insert(9, Membership::new(config(8, 8), Generation(1), 1, START));
    assert!(world.comes_together().is_err());
}
