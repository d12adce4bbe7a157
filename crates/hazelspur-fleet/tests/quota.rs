//! Shares among a few servers: short traces, all orders of few events, long walks, and planted faults that
//! the checker of the sum has to find. The sum is taken over what every process may use, with what lingers.

mod helpers;

use expect_test::expect;
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::quota::{
    LeaseGrant, LeaseRequest, LimitId, OutgoingMessage, QuotaConfig, QuotaEvent, QuotaManager, QuotaMessage,
    SharedLimit, VoteResponse, fair_level,
};
use hazelspur_fleet::{Generation, LimitName, MemberName, ProcessIncarnation};
use helpers::{START, name};
use std::collections::{BTreeMap, VecDeque};

const SLOTS: LimitId = LimitId(0);
const VOTE_DURATION: Duration = Duration::from_ms(4000);
const RESIDUAL: Duration = Duration::from_ms(500);

fn limit(text: &str, total: f64, guaranteed_fraction: f64, max_turn: Option<Duration>) -> SharedLimit {
    let name = LimitName::new(text).expect("a name");
    SharedLimit { name, total, guaranteed_fraction, residual_duration: RESIDUAL, max_turn }
}

fn config(voters: usize, max_servers: usize) -> QuotaConfig {
    let limits =
        vec![limit("slots", 100.0, 0.1, None), limit("turns", 1.0, 0.0, Some(Duration::from_ms(5000)))];
    QuotaConfig { voters: (0..voters).map(name).collect(), max_servers, vote_duration: VOTE_DURATION, limits }
}

/// What every process may use now, and what it may have begun under a greater share not long ago.
#[derive(Clone)]
struct Used {
    life: ProcessIncarnation,
    /// What was in force from when on, by limit.
    past: VecDeque<(Timestamp, Vec<f64>)>,
    /// When the last of it ends by itself.
    ends: Option<Timestamp>,
}

#[derive(Clone)]
struct World {
    config: QuotaConfig,
    now: Timestamp,
    run: BTreeMap<usize, QuotaManager>,
    stopped: Vec<usize>,
    under_way: Vec<(usize, ProcessIncarnation, QuotaMessage)>,
    lives: u64,
    used: Vec<Used>,
    said: Vec<String>,
    /// How many are under way at once; what is more was lost.
    most_under_way: usize,
}

impl World {
    fn new(size: usize, config: QuotaConfig) -> Self {
        config.check().expect("a valid configuration");
        let mut world = Self {
            config,
            now: START,
            run: BTreeMap::new(),
            stopped: Vec::new(),
            under_way: Vec::new(),
            lives: 0,
            used: Vec::new(),
            said: Vec::new(),
            most_under_way: 10_000,
        };
        (0..size).for_each(|of| world.start(of, START));
        world
    }

    /// A new life, which believes that it is so late.
    fn start(&mut self, of: usize, believed: Timestamp) {
        self.lives += 1;
        let life = ProcessIncarnation { name: name(of), generation: Generation(self.lives) };
        let mut shares = QuotaManager::new(self.config.clone(), life, self.lives * 77 + of as u64, believed);
        shares.set_demand(SLOTS, 40.0);
        self.run.insert(of, shares);
        self.used.push(Used { life, past: VecDeque::new(), ends: None });
    }

    fn kill(&mut self, of: usize) {
        self.run.remove(&of);
    }

    fn life(&self, of: usize) -> ProcessIncarnation {
        let last = self.used.iter().rev().find(|used| used.life.name == name(of));
        last.expect("it has lived").life
    }

    fn gather(&mut self, of: usize) {
        let life = self.life(of);
        let Some(shares) = self.run.get_mut(&of) else { return };
        while let Some(OutgoingMessage { to, message: word }) = shares.next_message() {
            let to: usize = to.as_str()[1..].parse().expect("a number");
            self.under_way.push((to, life, word));
        }
        while let Some(event) = shares.next_event() {
            let at = (self.now - START).us() / 1000;
            if !matches!(event, QuotaEvent::LeaseAcquired(_)) {
                self.said.push(format!("{at} n{of} {event:?}"));
            }
        }
        let over = self.under_way.len().saturating_sub(self.most_under_way);
        self.under_way.drain(..over);
    }

    fn deliver(&mut self, at: usize) {
        let (to, from, word) = self.under_way.remove(at);
        if self.stopped.contains(&to) {
            return;
        }
        if let Some(shares) = self.run.get_mut(&to) {
            shares.receive(self.now, from, &word);
            self.gather(to);
        }
    }

    fn tick(&mut self, of: usize) {
        if let Some(shares) = self.run.get_mut(&of).filter(|_| !self.stopped.contains(&of)) {
            shares.tick(self.now);
            self.gather(of);
        }
    }

    /// Notes what all may use, and compares the sum with the limit.
    fn check(&mut self) -> Result<(), String> {
        for (of, shares) in &self.run {
            shares.check_invariants(self.now).map_err(|why| format!("n{of}: {why}"))?;
        }
        let (now, limits) = (self.now, self.config.limits.len());
        for used in &mut self.used {
            let of = self.run.iter().find(|(of, _)| name(**of) == used.life.name);
            let amounts: Vec<f64> = match of {
                Some((_, shares)) => (0..limits).map(|at| shares.share(now, LimitId(at)).amount).collect(),
                None => vec![0.0; limits],
            };
            if used.past.back().is_none_or(|(_, last)| *last != amounts) {
                // A lease that ended by itself did so on time, whenever that was looked at.
                used.past.push_back((used.ends.map_or(now, |ends| ends.min(now)), amounts));
            }
            used.ends = of.and_then(|(_, shares)| shares.share(now, SLOTS).expires);
            // What ended longer ago than it lingers is over.
            while used.past.len() > 1 && used.past[1].0 + RESIDUAL <= now {
                used.past.pop_front();
            }
        }
        // A name has one process: the past of its older lives ended with them.
        let newest: BTreeMap<MemberName, ProcessIncarnation> =
            self.used.iter().map(|u| (u.life.name, u.life)).collect();
        for at in 0..limits {
            let running = self.used.iter().filter(|used| newest[&used.life.name] == used.life);
            let most = |used: &Used| used.past.iter().map(|(_, all)| all[at]).fold(0.0, f64::max);
            let sum: f64 = running.map(most).sum();
            let total = self.config.limits[at].total;
            if sum > total * (1.0 + 1e-5) {
                return Err(format!("{sum:.3} in force of {total} ({})", self.config.limits[at].name));
            }
        }
        Ok(())
    }

    /// So many milliseconds from event to event on a network that loses nothing and takes 1 ms.
    fn run(&mut self, ms: u64) -> Result<(), String> {
        let end = self.now + Duration::from_ms(ms);
        while self.now < end {
            while !self.under_way.is_empty() {
                self.deliver(0);
            }
            let running = self.run.iter().filter(|(of, _)| !self.stopped.contains(of));
            let next = running.map(|(_, shares)| shares.next_tick()).min().unwrap_or(end);
            self.now = next.max(self.now + Duration::from_ms(1)).min(end);
            for of in self.run.keys().copied().collect::<Vec<_>>() {
                self.tick(of);
            }
            self.check()?;
        }
        Ok(())
    }

    fn shares(&self) -> String {
        let of = |(of, shares): (&usize, &QuotaManager)| {
            let share = shares.share(self.now, SLOTS);
            let divides = if shares.allocates_until(self.now).is_some() { "*" } else { "" };
            format!("n{of}{divides} {:.1}", share.amount)
        };
        self.run.iter().map(of).collect::<Vec<_>>().join(", ")
    }

    fn in_force(&self) -> f64 {
        self.run.values().map(|shares| shares.share(self.now, SLOTS).amount).sum()
    }
}

#[test]
fn demands_are_met_up_to_a_level_that_fills_the_pool() {
    let cases = [
        fair_level(90.0, vec![10.0, 20.0, 30.0]),
        fair_level(90.0, vec![10.0, 50.0, 500.0]),
        fair_level(90.0, vec![90.0; 3]),
        fair_level(0.0, vec![1.0, 2.0]),
        fair_level(5.0, vec![]),
    ];
    expect!["inf, 40, 30, 0, inf"].assert_eq(&cases.map(|level| level.to_string()).join(", "));
}

#[test]
fn a_few_servers_vote_for_a_divider_and_share_by_demand() {
    let mut world = World::new(5, config(3, 10));
    world.run(20_000).expect("the sum holds");
    let mut told = vec![world.said.join("; "), world.shares()];
    for (of, want) in [(0, 5.0), (1, 10.0), (2, 20.0), (3, 30.0), (4, 1e9)] {
        world.run.get_mut(&of).expect("it runs").set_demand(SLOTS, want);
    }
    world.run(10_000).expect("the sum holds");
    told.push(world.shares());
    world.run.get_mut(&4).expect("it runs").set_demand(SLOTS, f64::NAN);
    world.run(10_000).expect("the sum holds");
    told.push(world.shares());
    expect![[r#"
        4206 n0 StartedAllocating
        n0* 19.0, n1 19.0, n2 19.0, n3 19.0, n4 19.0
        n0* 5.0, n1 10.0, n2 20.0, n3 30.0, n4 30.0
        n0* 5.0, n1 10.0, n2 20.0, n3 30.0, n4 1.0
    "#]]
    .assert_eq(&format!("{}\n", told.join("\n")));
}

#[test]
fn a_divider_that_is_killed_or_stands_still_is_followed_by_another_and_gives_nothing_when_it_wakes() {
    let mut world = World::new(5, config(3, 10));
    world.run(20_000).expect("the sum holds");
    let divider = |world: &World| {
        world.run.iter().find(|(_, shares)| shares.allocates_until(world.now).is_some()).map(|(of, _)| *of)
    };
    let first = divider(&world).expect("one divides");
    world.said.clear();
    world.stopped.push(first);
    let mut floor_only = 0;
    for _ in 0..200 {
        world.run(100).expect("the sum holds");
        floor_only +=
            u64::from(world.run.values().all(|s| s.share(world.now, SLOTS).expires.is_none())) * 100;
    }
    let second = divider(&world).filter(|of| *of != first).expect("another divides");
    world.stopped.clear();
    world.run(1000).expect("the sum holds");
    assert_eq!(divider(&world), Some(second));
    world.kill(second);
    world.run(20_000).expect("the sum holds");
    assert!(divider(&world).is_some_and(|of| of != second));
    assert!(floor_only < 12_000, "{floor_only} ms on floors");
    assert!(world.in_force() > 80.0, "{}", world.shares());
}

#[test]
fn without_half_of_the_keepers_there_are_floors_and_with_them_again_shares() {
    let mut world = World::new(5, config(3, 10));
    world.run(20_000).expect("the sum holds");
    world.kill(0);
    world.kill(1);
    world.run(20_000).expect("the sum holds");
    let mut told = vec![world.shares()];
    // A keeper that starts keeps quiet for a span before it votes.
    world.start(0, world.now);
    world.run(7_000).expect("the sum holds");
    told.push(world.shares());
    world.run(12_000).expect("the sum holds");
    told.push(world.shares());
    expect![[r#"
        n2 1.0, n3 1.0, n4 1.0
        n0* 1.0, n2 1.0, n3 1.0, n4 1.0
        n0* 23.5, n2 23.5, n3 23.5, n4 23.5
    "#]]
    .assert_eq(&format!("{}\n", told.join("\n")));
}

#[test]
fn a_server_that_wakes_with_an_old_lease_has_its_floor() {
    let mut world = World::new(5, config(3, 10));
    world.run(20_000).expect("the sum holds");
    world.stopped.push(4);
    let before = world.run[&4].share(world.now, SLOTS).amount;
    world.run(10_000).expect("the sum holds");
    let at_once = world.run[&4].share(world.now, SLOTS).amount;
    world.stopped.clear();
    world.run(8_000).expect("the sum holds");
    let after = world.run[&4].share(world.now, SLOTS).amount;
    assert!(before > 15.0 && at_once == 1.0 && after > 15.0, "{before} {at_once} {after}");
}

#[test]
fn a_turn_goes_round_and_one_who_stands_still_with_it_loses_it() {
    let mut world = World::new(5, config(3, 10));
    world.run.values_mut().for_each(|shares| shares.set_demand(LimitId(1), 1.0));
    world.run(14_000).expect("the sum holds");
    let mut had: Vec<(usize, u64)> = Vec::new();
    for step in 0..1200 {
        world.run(100).expect("the sum holds");
        for (of, shares) in &world.run {
            if shares.share(world.now, LimitId(1)).amount >= 1.0 {
                match had.last_mut() {
                    Some((last, ms)) if last == of => *ms += 100,
                    _ => had.push((*of, 100)),
                }
                if step > 300 && world.stopped.is_empty() && *of == 3 {
                    world.stopped.push(3);
                }
            }
        }
    }
    let turns: BTreeMap<usize, usize> = had.iter().fold(BTreeMap::new(), |mut turns, (of, _)| {
        *turns.entry(*of).or_default() += 1;
        turns
    });
    assert!(had.iter().all(|(_, ms)| *ms <= 8000), "{had:?}");
    assert!(turns.len() == 5 && [0, 1, 2, 4].iter().all(|of| turns[of] >= 2), "{turns:?}");
}

#[test]
fn terms_that_make_no_sense_are_refused() {
    let mut told = Vec::new();
    let mut refused = |change: &dyn Fn(&mut QuotaConfig)| {
        let mut config = config(3, 10);
        change(&mut config);
        told.push(config.check().expect_err("an invalid configuration").to_string());
    };
    refused(&|t| t.voters.push(name(0)));
    refused(&|t| t.voters = (0..10).map(name).collect());
    refused(&|t| t.limits[0].total = f64::NAN);
    refused(&|t| t.limits[0].guaranteed_fraction = 1.5);
    refused(&|t| t.limits[1].guaranteed_fraction = 0.1);
    refused(&|t| t.limits[0].residual_duration = Duration::from_ms(2001));
    refused(&|t| t.limits[1].name = t.limits[0].name);
    refused(&|t| t.vote_duration = Duration::ZERO);
    expect![[r#"
        a keeper is named twice: its vote would count twice
        more than 9 keepers
        slots: total is no number from 0 to a billion
        slots: floor is no part from 0 to 1
        turns: turns have no floor
        slots: what lingers for over half of the span leaves no time for leases
        slots: named twice
        slots: what lingers for over half of the span leaves no time for leases
    "#]]
    .assert_eq(&format!("{}\n", told.join("\n")));
}

// ---- all orders ----

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Double(usize),
    Lose(usize),
    Tick(usize),
    /// All timers wait while so much time passes.
    Pass(u64),
    Restart(usize),
    Stop(usize),
    GoOn,
}

impl World {
    fn steps(&self) -> Vec<Step> {
        let under_way = 0..self.under_way.len();
        let mut steps: Vec<Step> = under_way.clone().map(Step::Deliver).collect();
        steps.extend(under_way.clone().map(Step::Lose));
        steps.extend(under_way.map(Step::Double));
        steps.extend(self.run.keys().map(|of| Step::Tick(*of)));
        steps.extend([Step::Pass(600), Step::Pass(4100), Step::Restart(1)]);
        steps.push(if self.stopped.is_empty() { Step::Stop(0) } else { Step::GoOn });
        steps
    }

    fn take(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Deliver(at) => self.deliver(at),
            Step::Double(at) => {
                let (to, from, word) = self.under_way[at].clone();
                if let Some(shares) = self.run.get_mut(&to).filter(|_| !self.stopped.contains(&to)) {
                    shares.receive(self.now, from, &word);
                    self.gather(to);
                }
            }
            Step::Lose(at) => drop(self.under_way.remove(at)),
            Step::Tick(of) => {
                let Some(shares) = self.run.get(&of).filter(|_| !self.stopped.contains(&of)) else {
                    return Ok(());
                };
                self.now = self.now.max(shares.next_tick());
                self.check()?;
                self.tick(of);
            }
            Step::Pass(ms) => self.now = self.now + Duration::from_ms(ms),
            Step::Restart(of) => {
                self.kill(of);
                self.start(of, self.now);
            }
            Step::Stop(of) => self.stopped.push(of),
            Step::GoOn => self.stopped.clear(),
        }
        self.check()
    }
}

fn depth() -> usize {
    std::env::var("HAZELSPUR_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(4)
}

fn explore(world: &World, depth: usize, seen: &mut usize, path: &mut Vec<Step>) {
    *seen += 1;
    if depth == 0 {
        return;
    }
    for step in world.steps() {
        let mut next = world.clone();
        path.push(step);
        next.take(step).unwrap_or_else(|why| panic!("{why} after {path:?}"));
        explore(&next, depth - 1, seen, path);
        path.pop();
    }
}

/// Three keepers and one who only holds; from a start, from a quiet fleet, and from the end of a divider.
#[test]
fn in_all_orders_of_few_events_the_sum_stays_within_the_limit() {
    let mut start = World::new(4, config(3, 4));
    start.most_under_way = 4;
    start.now = START + VOTE_DURATION;
    let mut quiet = World::new(4, config(3, 4));
    quiet.run(20_000).expect("the sum holds");
    quiet.most_under_way = 4;
    let mut over = quiet.clone();
    over.stopped.push(0);
    over.now = over.now + Duration::from_ms(5000);
    let mut seen = 0;
    for world in [start, quiet, over] {
        explore(&world, depth(), &mut seen, &mut Vec::new());
    }
    assert!(seen > 10_000, "{seen}");
}

/// Steps by chance from `seed`; the first breach, if there is one.
fn walk(mut world: World, seed: u64, steps: usize, plant: Option<Plant>) -> Result<World, String> {
    let mut chance = Pcg::new(seed);
    let mut ever: f64 = 0.0;
    for _ in 0..steps {
        let all = world.steps();
        let step = all[chance.draw() as usize % all.len()];
        // Most steps deliver or tick: otherwise nothing is ever held.
        let step = match (chance.draw() % 10, world.under_way.len()) {
            (0..=5, 1..) => Step::Deliver(0),
            (6..=8, _) => Step::Tick(chance.draw() as usize % world.run.len()),
            _ => step,
        };
        if let Some(Plant::ClaimsMore) = plant {
            for (_, from, word) in &mut world.under_way {
                if let (QuotaMessage::LeaseRequest(request), true) = (word, from.name == name(3)) {
                    request.retained[0] = 80.0;
                }
            }
        }
        world.take(step)?;
        if let Some(Plant::LeasesDoNotEnd) = plant
            && let Some(shares) = world.run.get_mut(&3)
        {
            // n3 goes by a clock that stands still: what it ever held it goes on using.
            ever = shares.share(world.now, SLOTS).amount.max(ever);
            if ever > 5.0 {
                shares.set_demand(SLOTS, 1.0);
            }
            if let Some(used) = world.used.iter_mut().rfind(|used| used.life.name == name(3)) {
                used.past = VecDeque::from([(world.now, vec![ever, 0.0])]);
            }
        }
    }
    Ok(world)
}

#[derive(Clone, Copy, Debug)]
enum Plant {
    /// n3 says that it holds what it never had: after a change of dividers it is believed.
    ClaimsMore,
    LeasesDoNotEnd,
}

fn crowd(most_under_way: usize) -> World {
    let mut world = World::new(6, config(3, 6));
    world.most_under_way = most_under_way;
    world.run.values_mut().for_each(|shares| shares.set_demand(SLOTS, 90.0));
    world
}

#[test]
fn long_walks_keep_the_sum_and_end_with_the_pool_in_use() {
    for seed in 0..200 {
        let world = walk(crowd(12), seed, 400, None);
        let mut world = world.unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        world.stopped.clear();
        world.run.values_mut().for_each(|shares| shares.set_demand(SLOTS, 90.0));
        world.most_under_way = 10_000;
        world.run(40_000).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        assert!(world.in_force() > 95.0, "seed {seed}: {}", world.shares());
    }
}

#[test]
fn planted_faults_are_found() {
    for plant in [Plant::ClaimsMore, Plant::LeasesDoNotEnd] {
        let found = (0..400).any(|seed| walk(crowd(12), seed, 600, Some(plant)).is_err());
        assert!(found, "{plant:?} was not found");
    }
    // Two lists of keepers whose majorities don't meet.
    let mut world = World::new(3, config(3, 6));
    let mut others = config(3, 6);
    others.voters = (3..6).map(name).collect();
    world.config = others;
    (3..6).for_each(|of| world.start(of, START));
    world.run.values_mut().for_each(|shares| shares.set_demand(SLOTS, 90.0));
    assert!(world.run(30_000).is_err(), "{}", world.shares());
}

/// Words of holders of the key that lie: any numbers, any lengths, any order.
#[test]
fn whatever_is_said_about_shares_stays_within_the_bounds() {
    let mut chance = Pcg::new(11);
    let mut world = World::new(3, config(3, 10));
    world.run(20_000).expect("the sum holds");
    let odd = |chance: &mut Pcg| match chance.draw() % 6 {
        0 => f32::NAN,
        1 => f32::INFINITY,
        2 => -1.0,
        3 => 1e30,
        4 => f32::from_bits(chance.draw()),
        _ => chance.unit() as f32 * 100.0,
    };
    for i in 0..20_000u64 {
        let few = |chance: &mut Pcg| -> Vec<f32> {
            let length = if chance.draw().is_multiple_of(4) { chance.draw() as usize % 20 } else { 2 };
            (0..length).map(|_| odd(chance)).collect()
        };
        let number = if chance.draw().is_multiple_of(2) { chance.draw() % 64 } else { chance.draw() };
        let allocator = Some(name(chance.draw() as usize % 5));
        let word = match chance.draw() % 6 {
            0 => QuotaMessage::VoteRequest { ballot: number },
            1 => QuotaMessage::VoteResponse(VoteResponse {
                ballot: number,
                granted: chance.draw().is_multiple_of(2),
                allocator,
            }),
            2 => QuotaMessage::VoteRelease { ballot: number },
            3 => QuotaMessage::LeaseRequest(LeaseRequest {
                number,
                demands: few(&mut chance),
                retained: few(&mut chance),
            }),
            4 => QuotaMessage::LeaseGrant(LeaseGrant {
                number,
                duration_ms: chance.draw(),
                amounts: few(&mut chance),
            }),
            _ => QuotaMessage::NotLeader { number, allocator },
        };
        let from = ProcessIncarnation {
            name: name(chance.draw() as usize % 40),
            generation: Generation(u64::from(chance.draw() % 9)),
        };
        let now = START + Duration::from_ms(20_000 + i * 3);
        for shares in world.run.values_mut() {
            shares.receive(now, from, &word);
            shares.tick(now);
            shares.check_invariants(now).unwrap_or_else(|why| panic!("{why} after {word:?}"));
            while shares.next_message().is_some() {}
        }
    }
}
