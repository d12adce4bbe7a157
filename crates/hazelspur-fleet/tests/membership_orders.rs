//! Exhaustive and random orders of a few steps among three and four members. In each step any datagram in
//! flight may arrive, arrive and stay in flight, or be lost, any member may run its timers, and one member
//! may be killed or started. After each step the invariants hold and no member has fallen back to an older
//! generation of another one. After the last step, all running members reach the same view over a network
//! without loss.

mod helpers;

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::membership::GenerationStatus;
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::{Datagram, Generation, MemberName, MemberStatus, Membership};
use helpers::{START, config, index_of, name};
use std::collections::BTreeMap;

/// Maximum number of datagrams in flight. The oldest ones beyond it are lost.
const MAX_IN_FLIGHT: usize = 5;

/// Several members and the datagrams between them. The test chooses each step.
#[derive(Clone)]
struct TestFleet {
    now: Timestamp,
    members: BTreeMap<usize, Membership>,
    /// Receiver and datagram, oldest first.
    in_flight: Vec<(usize, Datagram)>,
    /// Number of starts, which makes generations and seeds unique.
    starts: u64,
    /// The generation that the observer, one run of a member, last knew of another member.
    known_generations: BTreeMap<(usize, Generation, MemberName), Generation>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Delivers the datagram at this index of `in_flight`.
    Deliver(usize),
    /// Delivers a copy and leaves the datagram in flight.
    Duplicate(usize),
    /// Loses the datagram at this index.
    Drop(usize),
    /// Advances the clock to the next timer of the member and runs it.
    Tick(usize),
    Kill(usize),
    Start(usize),
}

/// Records the generations that an observer knows now. Returns a member whose generation is older than the
/// one recorded before, if there is one.
fn regressed_member(
    known_generations: &mut BTreeMap<(usize, Generation, MemberName), Generation>,
    observer: (usize, Generation),
    known: impl Iterator<Item = (MemberName, Generation)>,
) -> Option<MemberName> {
    let mut regressed = None;
    for (name, generation) in known {
        let last_known = known_generations.entry((observer.0, observer.1, name)).or_insert(generation);
        if generation < *last_known {
            regressed = Some(name);
        }
        *last_known = generation;
    }
    regressed
}

impl TestFleet {
    fn new(size: usize) -> Self {
        let mut fleet = Self {
            now: START,
            members: BTreeMap::new(),
            in_flight: Vec::new(),
            starts: 0,
            known_generations: BTreeMap::new(),
        };
        (0..size).for_each(|index| fleet.start(index));
        fleet
    }

    fn start(&mut self, index: usize) {
        self.starts += 1;
        let generation = Generation(self.now.us() / 1000 + self.starts);
        let seed = index as u64 * 1000 + self.starts;
        self.members.insert(index, Membership::new(config(index, 8), generation, seed, self.now));
    }

    fn possible_steps(&self) -> Vec<Step> {
        let in_flight = 0..self.in_flight.len();
        let mut steps: Vec<Step> = in_flight.clone().map(Step::Deliver).collect();
        steps.extend(in_flight.clone().map(Step::Drop));
        steps.extend(in_flight.map(Step::Duplicate));
        steps.extend(self.members.keys().map(|index| Step::Tick(*index)));
        // Member 2 alone is killed and restarted, to keep the number of orders small.
        steps.push(if self.members.contains_key(&2) { Step::Kill(2) } else { Step::Start(2) });
        steps
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Deliver(i) => {
                let (to, datagram) = self.in_flight.remove(i);
                self.deliver(to, &datagram);
            }
            Step::Duplicate(i) => {
                let (to, datagram) = self.in_flight[i].clone();
                self.deliver(to, &datagram);
            }
            Step::Drop(i) => drop(self.in_flight.remove(i)),
            Step::Tick(index) => {
                let Some(member) = self.members.get_mut(&index) else { return };
                self.now = self.now.max(member.next_tick());
                member.tick(self.now);
                self.collect_outgoing(index);
            }
            Step::Kill(index) => drop(self.members.remove(&index)),
            Step::Start(index) => self.start(index),
        }
        self.in_flight.drain(..self.in_flight.len().saturating_sub(MAX_IN_FLIGHT));
        self.check_invariants();
    }

    fn deliver(&mut self, to: usize, datagram: &Datagram) {
        if let Some(member) = self.members.get_mut(&to) {
            let _ = member.receive(self.now, datagram);
            self.collect_outgoing(to);
        }
    }

    /// Moves the queued datagrams of a member into flight, and discards its events.
    fn collect_outgoing(&mut self, index: usize) {
        let Some(member) = self.members.get_mut(&index) else { return };
        while let Some(OutgoingDatagram { address: to, datagram }) = member.next_datagram(self.now) {
            self.in_flight.push((index_of(to), datagram));
        }
        while member.next_event().is_some() {}
    }

    fn check_invariants(&mut self) {
        for (index, member) in &self.members {
            member.check_invariants().unwrap_or_else(|violation| panic!("{index}: {violation}"));
            let known = member
                .statuses()
                .filter_map(|(name, _)| Some((name, member.member_status(name)?.generation)));
            let observer = (*index, member.local_update().generation);
            let regressed = regressed_member(&mut self.known_generations, observer, known);
            assert_eq!(regressed, None, "n{index} fell back to an older generation");
        }
    }

    /// Runs the fleet for 150 s without loss. Returns an error unless each running member then knows exactly
    /// the other running members as alive, each in its newest generation.
    fn converges(mut self) -> Result<(), String> {
        let end = self.now + Duration::from_ms(150_000);
        while self.now < end {
            for (to, datagram) in std::mem::take(&mut self.in_flight) {
                self.deliver(to, &datagram);
            }
            if self.in_flight.is_empty() {
                let next = self.members.iter().min_by_key(|(_, member)| member.next_tick());
                let Some(index) = next.map(|(index, _)| *index) else { return Ok(()) };
                let member = self.members.get_mut(&index).expect("index comes from the map");
                self.now = self.now.max(member.next_tick());
                member.tick(self.now);
                self.collect_outgoing(index);
            }
        }
        self.check_invariants();
        for (index, member) in &self.members {
            for (other, other_member) in &self.members {
                let expected = Some(GenerationStatus {
                    generation: other_member.local_update().generation,
                    status: MemberStatus::Alive,
                });
                if index != other && member.member_status(name(*other)) != expected {
                    return Err(format!(
                        "n{index} sees n{other} as {:?}",
                        member.member_status(name(*other))
                    ));
                }
            }
            let alive = member.statuses().filter(|(_, status)| *status == MemberStatus::Alive).count();
            if alive + 1 != self.members.len() {
                return Err(format!("n{index} sees {alive} others of {}", self.members.len() - 1));
            }
        }
        Ok(())
    }
}

/// Returns the number of steps to explore. The default of 5 is for CI; 6 takes a quarter of an hour without
/// optimization.
fn depth() -> usize {
    std::env::var("HAZELSPUR_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(5)
}

/// Explores every order of `depth` steps, and checks one in `convergence_interval` of the final states for
/// convergence. Adds the number of final states and of convergence checks to `counts`.
fn explore(fleet: &TestFleet, depth: usize, convergence_interval: usize, counts: &mut (usize, usize)) {
    if depth == 0 {
        counts.0 += 1;
        if counts.0.is_multiple_of(convergence_interval) {
            counts.1 += 1;
            fleet.clone().converges().unwrap_or_else(|violation| panic!("{violation}"));
        }
        return;
    }
    for step in fleet.possible_steps() {
        let mut next = fleet.clone();
        next.apply(step);
        explore(&next, depth - 1, convergence_interval, counts);
    }
}

#[test]
fn three_members_that_join_in_any_order_converge() {
    let mut counts = (0, 0);
    explore(&TestFleet::new(3), depth(), 211, &mut counts);
    assert!(counts.0 > 20_000 && counts.1 > 100, "{counts:?}");
}

#[test]
fn three_members_converge_after_any_order_of_loss_and_restart() {
    let mut fleet = TestFleet::new(3);
    fleet.clone().converges().expect("convergence without faults");
    for _ in 0..60 {
        while !fleet.in_flight.is_empty() {
            fleet.apply(Step::Deliver(0));
        }
        let next = fleet.members.iter().min_by_key(|(_, member)| member.next_tick()).map(|(index, _)| *index);
        fleet.apply(Step::Tick(next.expect("three members are running")));
    }
    let mut counts = (0, 0);
    explore(&fleet, depth(), 101, &mut counts);
    assert!(counts.0 > 20_000 && counts.1 > 100, "{counts:?}");
}

#[test]
fn random_walks_of_four_members_converge() {
    for seed in 0..300 {
        let mut random = Pcg::new(seed);
        let mut fleet = TestFleet::new(4);
        for _ in 0..150 {
            let steps = fleet.possible_steps();
            fleet.apply(steps[random.draw() as usize % steps.len()]);
        }
        fleet.converges().unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}

/// Shows that the checks of the other tests fail when they should.
#[test]
fn checks_detect_regressed_generation_and_failed_convergence() {
    let mut known_generations = BTreeMap::new();
    let observer = (0, Generation(1));
    let known = |generation| [(name(2), Generation(generation))].into_iter();
    assert_eq!(regressed_member(&mut known_generations, observer, known(7)), None);
    assert_eq!(regressed_member(&mut known_generations, observer, known(6)), Some(name(2)));
    // The address of this member leads to index 8, so no datagram reaches it and it cannot converge with the
    // others.
    let mut fleet = TestFleet::new(3);
    fleet.members.insert(9, Membership::new(config(8, 8), Generation(1), 1, START));
    assert!(fleet.converges().is_err());
}
