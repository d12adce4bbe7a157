//! Quotas among a few servers: short traces, all orders of few events, random walks, and injected faults that
//! the check of the sum must find. The sum is taken over what every process may use, residual load included.

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

/// What a process may use now, and what it may have begun under a greater share not long ago.
/// Shares in force from a time on, by limit.
#[derive(Clone)]
struct PastShares {
    since: Timestamp,
    amounts: Vec<f64>,
}

#[derive(Clone)]
struct Usage {
    incarnation: ProcessIncarnation,
    past: VecDeque<PastShares>,
    /// When the current lease expires.
    lease_expires: Option<Timestamp>,
}

#[derive(Clone)]
struct TestFleet {
    config: QuotaConfig,
    now: Timestamp,
    managers: BTreeMap<usize, QuotaManager>,
    suspended: Vec<usize>,
    in_flight: Vec<(usize, ProcessIncarnation, QuotaMessage)>,
    starts: u64,
    usages: Vec<Usage>,
    events: Vec<String>,
    /// Messages in flight at once; older ones beyond that are lost.
    max_in_flight: usize,
}

impl TestFleet {
    fn new(size: usize, config: QuotaConfig) -> Self {
        config.check().expect("a valid configuration");
        let mut fleet = Self {
            config,
            now: START,
            managers: BTreeMap::new(),
            suspended: Vec::new(),
            in_flight: Vec::new(),
            starts: 0,
            usages: Vec::new(),
            events: Vec::new(),
            max_in_flight: 10_000,
        };
        (0..size).for_each(|of| fleet.start(of, START));
        fleet
    }

    /// Starts a new incarnation, whose clock shows `believed`.
    fn start(&mut self, of: usize, believed: Timestamp) {
        self.starts += 1;
        let incarnation = ProcessIncarnation { name: name(of), generation: Generation(self.starts) };
        let mut manager =
            QuotaManager::new(self.config.clone(), incarnation, self.starts * 77 + of as u64, believed);
        manager.set_demand(SLOTS, 40.0);
        self.managers.insert(of, manager);
        self.usages.push(Usage { incarnation, past: VecDeque::new(), lease_expires: None });
    }

    fn kill(&mut self, of: usize) {
        self.managers.remove(&of);
    }

    fn incarnation(&self, of: usize) -> ProcessIncarnation {
        let last = self.usages.iter().rev().find(|usage| usage.incarnation.name == name(of));
        last.expect("it has lived").incarnation
    }

    fn gather(&mut self, of: usize) {
        let incarnation = self.incarnation(of);
        let Some(manager) = self.managers.get_mut(&of) else { return };
        while let Some(OutgoingMessage { to, message }) = manager.next_message() {
            let to: usize = to.as_str()[1..].parse().expect("a number");
            self.in_flight.push((to, incarnation, message));
        }
        while let Some(event) = manager.next_event() {
            let at = (self.now - START).us() / 1000;
            if !matches!(event, QuotaEvent::LeaseAcquired(_)) {
                self.events.push(format!("{at} n{of} {event:?}"));
            }
        }
        let over = self.in_flight.len().saturating_sub(self.max_in_flight);
        self.in_flight.drain(..over);
    }

    fn deliver(&mut self, at: usize) {
        let (to, from, message) = self.in_flight.remove(at);
        if self.suspended.contains(&to) {
            return;
        }
        if let Some(manager) = self.managers.get_mut(&to) {
            manager.receive(self.now, from, &message);
            self.gather(to);
        }
    }

    fn tick(&mut self, of: usize) {
        if let Some(manager) = self.managers.get_mut(&of).filter(|_| !self.suspended.contains(&of)) {
            manager.tick(self.now);
            self.gather(of);
        }
    }

    /// Records what all may use, and compares the sum with the limit.
    fn check(&mut self) -> Result<(), String> {
        for (of, manager) in &self.managers {
            manager.check_invariants(self.now).map_err(|why| format!("n{of}: {why}"))?;
        }
        let (now, limits) = (self.now, self.config.limits.len());
        for usage in &mut self.usages {
            let of = self.managers.iter().find(|(of, _)| name(**of) == usage.incarnation.name);
            let amounts: Vec<f64> = match of {
                Some((_, manager)) => (0..limits).map(|at| manager.share(now, LimitId(at)).amount).collect(),
                None => vec![0.0; limits],
            };
            if usage.past.back().is_none_or(|last| last.amounts != amounts) {
                // A lease expires on time, whenever this check sees it.
                let since = usage.lease_expires.map_or(now, |expires| expires.min(now));
                usage.past.push_back(PastShares { since, amounts });
            }
            usage.lease_expires = of.and_then(|(_, manager)| manager.share(now, SLOTS).expires);
            // The residual load of older shares has ended.
            while usage.past.len() > 1 && usage.past[1].since + RESIDUAL <= now {
                usage.past.pop_front();
            }
        }
        // A name has one process: the residual load of its earlier incarnations ended with them.
        let newest: BTreeMap<MemberName, ProcessIncarnation> =
            self.usages.iter().map(|u| (u.incarnation.name, u.incarnation)).collect();
        for at in 0..limits {
            let running =
                self.usages.iter().filter(|usage| newest[&usage.incarnation.name] == usage.incarnation);
            let max_amount =
                |usage: &Usage| usage.past.iter().map(|past| past.amounts[at]).fold(0.0, f64::max);
            let sum: f64 = running.map(max_amount).sum();
            let total = self.config.limits[at].total;
            if sum > total * (1.0 + 1e-5) {
                return Err(format!("{sum:.3} in force of {total} ({})", self.config.limits[at].name));
            }
        }
        Ok(())
    }

    /// Runs for so many milliseconds from event to event, on a network that loses nothing and takes 1 ms.
    fn run(&mut self, ms: u64) -> Result<(), String> {
        let end = self.now + Duration::from_ms(ms);
        while self.now < end {
            while !self.in_flight.is_empty() {
                self.deliver(0);
            }
            let running = self.managers.iter().filter(|(of, _)| !self.suspended.contains(of));
            let next = running.map(|(_, manager)| manager.next_tick()).min().unwrap_or(end);
            self.now = next.max(self.now + Duration::from_ms(1)).min(end);
            for of in self.managers.keys().copied().collect::<Vec<_>>() {
                self.tick(of);
            }
            self.check()?;
        }
        Ok(())
    }

    fn shares_in_words(&self) -> String {
        let of = |(of, manager): (&usize, &QuotaManager)| {
            let share = manager.share(self.now, SLOTS);
            let marker = if manager.allocates_until(self.now).is_some() { "*" } else { "" };
            format!("n{of}{marker} {:.1}", share.amount)
        };
        self.managers.iter().map(of).collect::<Vec<_>>().join(", ")
    }

    fn total_in_use(&self) -> f64 {
        self.managers.values().map(|manager| manager.share(self.now, SLOTS).amount).sum()
    }
}

#[test]
fn max_min_fairness_meets_demands_up_to_a_level_that_fills_the_pool() {
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
fn servers_elect_an_allocator_and_share_by_demand() {
    let mut fleet = TestFleet::new(5, config(3, 10));
    fleet.run(20_000).expect("the sum holds");
    let mut seen = vec![fleet.events.join("; "), fleet.shares_in_words()];
    for (of, demand) in [(0, 5.0), (1, 10.0), (2, 20.0), (3, 30.0), (4, 1e9)] {
        fleet.managers.get_mut(&of).expect("it runs").set_demand(SLOTS, demand);
    }
    fleet.run(10_000).expect("the sum holds");
    seen.push(fleet.shares_in_words());
    fleet.managers.get_mut(&4).expect("it runs").set_demand(SLOTS, f64::NAN);
    fleet.run(10_000).expect("the sum holds");
    seen.push(fleet.shares_in_words());
    expect![[r#"
        4206 n0 StartedAllocating
        n0* 19.0, n1 19.0, n2 19.0, n3 19.0, n4 19.0
        n0* 5.0, n1 10.0, n2 20.0, n3 30.0, n4 30.0
        n0* 5.0, n1 10.0, n2 20.0, n3 30.0, n4 1.0
    "#]]
    .assert_eq(&format!("{}\n", seen.join("\n")));
}

#[test]
fn an_allocator_that_is_killed_or_suspended_is_replaced_and_grants_nothing_when_it_resumes() {
    let mut fleet = TestFleet::new(5, config(3, 10));
    fleet.run(20_000).expect("the sum holds");
    let allocator = |fleet: &TestFleet| {
        fleet
            .managers
            .iter()
            .find(|(_, manager)| manager.allocates_until(fleet.now).is_some())
            .map(|(of, _)| *of)
    };
    let first = allocator(&fleet).expect("one allocates");
    fleet.events.clear();
    fleet.suspended.push(first);
    let mut without_lease_ms = 0;
    for _ in 0..200 {
        fleet.run(100).expect("the sum holds");
        without_lease_ms +=
            u64::from(fleet.managers.values().all(|s| s.share(fleet.now, SLOTS).expires.is_none())) * 100;
    }
    let second = allocator(&fleet).filter(|of| *of != first).expect("another allocates");
    fleet.suspended.clear();
    fleet.run(1000).expect("the sum holds");
    assert_eq!(allocator(&fleet), Some(second));
    fleet.kill(second);
    fleet.run(20_000).expect("the sum holds");
    assert!(allocator(&fleet).is_some_and(|of| of != second));
    assert!(without_lease_ms < 12_000, "{without_lease_ms} ms without leases");
    assert!(fleet.total_in_use() > 80.0, "{}", fleet.shares_in_words());
}

#[test]
fn without_a_majority_of_voters_there_are_guaranteed_minimums_and_with_it_leases_again() {
    let mut fleet = TestFleet::new(5, config(3, 10));
    fleet.run(20_000).expect("the sum holds");
    fleet.kill(0);
    fleet.kill(1);
    fleet.run(20_000).expect("the sum holds");
    let mut seen = vec![fleet.shares_in_words()];
    // A voter that starts is silent for a vote duration.
    fleet.start(0, fleet.now);
    fleet.run(7_000).expect("the sum holds");
    seen.push(fleet.shares_in_words());
    fleet.run(12_000).expect("the sum holds");
    seen.push(fleet.shares_in_words());
    expect![[r#"
        n2 1.0, n3 1.0, n4 1.0
        n0* 1.0, n2 1.0, n3 1.0, n4 1.0
        n0* 23.5, n2 23.5, n3 23.5, n4 23.5
    "#]]
    .assert_eq(&format!("{}\n", seen.join("\n")));
}

#[test]
fn a_server_that_resumes_with_an_expired_lease_has_its_guaranteed_minimum() {
    let mut fleet = TestFleet::new(5, config(3, 10));
    fleet.run(20_000).expect("the sum holds");
    fleet.suspended.push(4);
    let before = fleet.managers[&4].share(fleet.now, SLOTS).amount;
    fleet.run(10_000).expect("the sum holds");
    let at_once = fleet.managers[&4].share(fleet.now, SLOTS).amount;
    fleet.suspended.clear();
    fleet.run(8_000).expect("the sum holds");
    let after = fleet.managers[&4].share(fleet.now, SLOTS).amount;
    assert!(before > 15.0 && at_once == 1.0 && after > 15.0, "{before} {at_once} {after}");
}

#[test]
fn an_exclusive_turn_goes_round_and_a_suspended_server_loses_it() {
    let mut fleet = TestFleet::new(5, config(3, 10));
    fleet.managers.values_mut().for_each(|manager| manager.set_demand(LimitId(1), 1.0));
    fleet.run(14_000).expect("the sum holds");
    let mut turns_held: Vec<(usize, u64)> = Vec::new();
    for step in 0..1200 {
        fleet.run(100).expect("the sum holds");
        for (of, manager) in &fleet.managers {
            if manager.share(fleet.now, LimitId(1)).amount >= 1.0 {
                match turns_held.last_mut() {
                    Some((last, ms)) if last == of => *ms += 100,
                    _ => turns_held.push((*of, 100)),
                }
                if step > 300 && fleet.suspended.is_empty() && *of == 3 {
                    fleet.suspended.push(3);
                }
            }
        }
    }
    let turns: BTreeMap<usize, usize> = turns_held.iter().fold(BTreeMap::new(), |mut turns, (of, _)| {
        *turns.entry(*of).or_default() += 1;
        turns
    });
    assert!(turns_held.iter().all(|(_, ms)| *ms <= 8000), "{turns_held:?}");
    assert!(turns.len() == 5 && [0, 1, 2, 4].iter().all(|of| turns[of] >= 2), "{turns:?}");
}

#[test]
fn invalid_configurations_are_refused() {
    let mut seen = Vec::new();
    let mut refused = |change: &dyn Fn(&mut QuotaConfig)| {
        let mut config = config(3, 10);
        change(&mut config);
        seen.push(config.check().expect_err("an invalid configuration").to_string());
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
    .assert_eq(&format!("{}\n", seen.join("\n")));
}

// ---- all orders ----

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Tick(usize),
    /// All timers wait while so many milliseconds pass.
    Advance(u64),
    Restart(usize),
    Suspend(usize),
    Resume,
}

impl TestFleet {
    fn steps(&self) -> Vec<Step> {
        let in_flight = 0..self.in_flight.len();
        let mut steps: Vec<Step> = in_flight.clone().map(Step::Deliver).collect();
        steps.extend(in_flight.clone().map(Step::Drop));
        steps.extend(in_flight.map(Step::Duplicate));
        steps.extend(self.managers.keys().map(|of| Step::Tick(*of)));
        steps.extend([Step::Advance(600), Step::Advance(4100), Step::Restart(1)]);
        steps.push(if self.suspended.is_empty() { Step::Suspend(0) } else { Step::Resume });
        steps
    }

    fn take(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Deliver(at) => self.deliver(at),
            Step::Duplicate(at) => {
                let (to, from, message) = self.in_flight[at].clone();
                if let Some(manager) = self.managers.get_mut(&to).filter(|_| !self.suspended.contains(&to)) {
                    manager.receive(self.now, from, &message);
                    self.gather(to);
                }
            }
            Step::Drop(at) => drop(self.in_flight.remove(at)),
            Step::Tick(of) => {
                let Some(manager) = self.managers.get(&of).filter(|_| !self.suspended.contains(&of)) else {
                    return Ok(());
                };
                self.now = self.now.max(manager.next_tick());
                self.check()?;
                self.tick(of);
            }
            Step::Advance(ms) => self.now = self.now + Duration::from_ms(ms),
            Step::Restart(of) => {
                self.kill(of);
                self.start(of, self.now);
            }
            Step::Suspend(of) => self.suspended.push(of),
            Step::Resume => self.suspended.clear(),
        }
        self.check()
    }
}

fn depth() -> usize {
    std::env::var("HAZELSPUR_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(4)
}

fn explore(fleet: &TestFleet, depth: usize, seen: &mut usize, path: &mut Vec<Step>) {
    *seen += 1;
    if depth == 0 {
        return;
    }
    for step in fleet.steps() {
        let mut next = fleet.clone();
        path.push(step);
        next.take(step).unwrap_or_else(|why| panic!("{why} after {path:?}"));
        explore(&next, depth - 1, seen, path);
        path.pop();
    }
}

/// Three voters and one that is only a lessee; from a start, from a quiet fleet, and from the end of an
/// allocator.
#[test]
fn in_all_orders_of_few_events_the_sum_stays_within_the_limit() {
    let mut start = TestFleet::new(4, config(3, 4));
    start.max_in_flight = 4;
    start.now = START + VOTE_DURATION;
    let mut quiet = TestFleet::new(4, config(3, 4));
    quiet.run(20_000).expect("the sum holds");
    quiet.max_in_flight = 4;
    let mut over = quiet.clone();
    over.suspended.push(0);
    over.now = over.now + Duration::from_ms(5000);
    let mut seen = 0;
    for fleet in [start, quiet, over] {
        explore(&fleet, depth(), &mut seen, &mut Vec::new());
    }
    assert!(seen > 10_000, "{seen}");
}

/// Takes random steps; the first violation, if there is one.
fn random_walk(
    mut fleet: TestFleet,
    seed: u64,
    steps: usize,
    fault: Option<InjectedFault>,
) -> Result<TestFleet, String> {
    let mut random = Pcg::new(seed);
    let mut largest: f64 = 0.0;
    for _ in 0..steps {
        let all = fleet.steps();
        let step = all[random.draw() as usize % all.len()];
        // Most steps deliver or tick: otherwise no lease is ever granted.
        let step = match (random.draw() % 10, fleet.in_flight.len()) {
            (0..=5, 1..) => Step::Deliver(0),
            (6..=8, _) => Step::Tick(random.draw() as usize % fleet.managers.len()),
            _ => step,
        };
        if let Some(InjectedFault::RetainsTooMuch) = fault {
            for (_, from, message) in &mut fleet.in_flight {
                if let (QuotaMessage::LeaseRequest(request), true) = (message, from.name == name(3)) {
                    request.retained[0] = 80.0;
                }
            }
        }
        fleet.take(step)?;
        if let Some(InjectedFault::LeaseNeverExpires) = fault
            && let Some(manager) = fleet.managers.get_mut(&3)
        {
            // The clock of n3 stands still: it goes on using the largest lease that it ever had.
            largest = manager.share(fleet.now, SLOTS).amount.max(largest);
            if largest > 5.0 {
                manager.set_demand(SLOTS, 1.0);
            }
            if let Some(usage) = fleet.usages.iter_mut().rfind(|usage| usage.incarnation.name == name(3)) {
                usage.past = VecDeque::from([PastShares { since: fleet.now, amounts: vec![largest, 0.0] }]);
            }
        }
    }
    Ok(fleet)
}

#[derive(Clone, Copy, Debug)]
enum InjectedFault {
    /// n3 says that it retains a lease that it never had, which a new allocator believes.
    RetainsTooMuch,
    LeaseNeverExpires,
}

fn contended(max_in_flight: usize) -> TestFleet {
    let mut fleet = TestFleet::new(6, config(3, 6));
    fleet.max_in_flight = max_in_flight;
    fleet.managers.values_mut().for_each(|manager| manager.set_demand(SLOTS, 90.0));
    fleet
}

#[test]
fn random_walks_keep_the_sum_and_end_with_the_pool_in_use() {
    for seed in 0..200 {
        let fleet = random_walk(contended(12), seed, 400, None);
        let mut fleet = fleet.unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        fleet.suspended.clear();
        fleet.managers.values_mut().for_each(|manager| manager.set_demand(SLOTS, 90.0));
        fleet.max_in_flight = 10_000;
        fleet.run(40_000).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        assert!(fleet.total_in_use() > 95.0, "seed {seed}: {}", fleet.shares_in_words());
    }
}

#[test]
fn planted_faults_are_found() {
    for fault in [InjectedFault::RetainsTooMuch, InjectedFault::LeaseNeverExpires] {
        let found = (0..400).any(|seed| random_walk(contended(12), seed, 600, Some(fault)).is_err());
        assert!(found, "{fault:?} was not found");
    }
    // Two lists of voters whose majorities do not intersect.
    let mut fleet = TestFleet::new(3, config(3, 6));
    let mut others = config(3, 6);
    others.voters = (3..6).map(name).collect();
    fleet.config = others;
    (3..6).for_each(|of| fleet.start(of, START));
    fleet.managers.values_mut().for_each(|manager| manager.set_demand(SLOTS, 90.0));
    assert!(fleet.run(30_000).is_err(), "{}", fleet.shares_in_words());
}

/// Any numbers, any lengths, any order.
#[test]
fn arbitrary_messages_of_key_holders_keep_the_invariants() {
    let mut random = Pcg::new(11);
    let mut fleet = TestFleet::new(3, config(3, 10));
    fleet.run(20_000).expect("the sum holds");
    let odd = |random: &mut Pcg| match random.draw() % 6 {
        0 => f32::NAN,
        1 => f32::INFINITY,
        2 => -1.0,
        3 => 1e30,
        4 => f32::from_bits(random.draw()),
        _ => random.draw_fraction() as f32 * 100.0,
    };
    for i in 0..20_000u64 {
        let few = |random: &mut Pcg| -> Vec<f32> {
            let length = if random.draw().is_multiple_of(4) { random.draw() as usize % 20 } else { 2 };
            (0..length).map(|_| odd(random)).collect()
        };
        let number = if random.draw().is_multiple_of(2) { random.draw() % 64 } else { random.draw() };
        let allocator = Some(name(random.draw() as usize % 5));
        let message = match random.draw() % 6 {
            0 => QuotaMessage::VoteRequest { ballot: number },
            1 => QuotaMessage::VoteResponse(VoteResponse {
                ballot: number,
                granted: random.draw().is_multiple_of(2),
                allocator,
            }),
            2 => QuotaMessage::VoteRelease { ballot: number },
            3 => QuotaMessage::LeaseRequest(LeaseRequest {
                number,
                demands: few(&mut random),
                retained: few(&mut random),
            }),
            4 => QuotaMessage::LeaseGrant(LeaseGrant {
                number,
                duration_ms: random.draw(),
                amounts: few(&mut random),
            }),
            _ => QuotaMessage::NotLeader { number, allocator },
        };
        let from = ProcessIncarnation {
            name: name(random.draw() as usize % 40),
            generation: Generation(u64::from(random.draw() % 9)),
        };
        let now = START + Duration::from_ms(20_000 + i * 3);
        for manager in fleet.managers.values_mut() {
            manager.receive(now, from, &message);
            manager.tick(now);
            manager.check_invariants(now).unwrap_or_else(|why| panic!("{why} after {message:?}"));
            while manager.next_message().is_some() {}
        }
    }
}
