//! The quota protocol among a few servers: short traces, all orders of a few events, random walks, and
//! injected faults that the check of the sum must find. The sum covers the shares that every process may
//! use, and the residual load of work that began under greater shares.

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

/// The limit that is divided by demand; the other one, `LimitId(1)`, consists of exclusive turns.
const SLOTS: LimitId = LimitId(0);
/// Vote duration of the test configuration; a lease lasts twice as long.
const VOTE_DURATION: Duration = Duration::from_ms(4000);
/// Residual duration of each limit.
const RESIDUAL: Duration = Duration::from_ms(500);

fn limit(text: &str, total: f64, guaranteed_fraction: f64, max_turn: Option<Duration>) -> SharedLimit {
    let name = LimitName::new(text).expect("a valid name");
    SharedLimit { name, total, guaranteed_fraction, residual_duration: RESIDUAL, max_turn }
}

fn config(voters: usize, max_servers: usize) -> QuotaConfig {
    let limits =
        vec![limit("slots", 100.0, 0.1, None), limit("turns", 1.0, 0.0, Some(Duration::from_ms(5000)))];
    QuotaConfig { voters: (0..voters).map(name).collect(), max_servers, vote_duration: VOTE_DURATION, limits }
}

/// Shares that were in force from a time on.
#[derive(Clone)]
struct PastShares {
    since: Timestamp,
    /// Amount of each limit.
    amounts: Vec<f64>,
}

/// The shares that a process may use now, and those under which work may still go on.
#[derive(Clone)]
struct Usage {
    incarnation: ProcessIncarnation,
    /// Oldest first; the last entry is in force.
    past: VecDeque<PastShares>,
    /// Expiry of the lease that was in force at the last check.
    lease_expires: Option<Timestamp>,
}

/// Servers, identified by their numbers, and the network between them.
#[derive(Clone)]
struct TestFleet {
    config: QuotaConfig,
    now: Timestamp,
    /// Running and suspended servers, by number.
    managers: BTreeMap<usize, QuotaManager>,
    suspended: Vec<usize>,
    /// Receiver, sender and message.
    in_flight: Vec<(usize, ProcessIncarnation, QuotaMessage)>,
    /// Number of processes started so far.
    starts: u64,
    /// One entry for each process started so far.
    usages: Vec<Usage>,
    /// Events other than acquired leases, with the time since the start in milliseconds.
    events: Vec<String>,
    /// Largest number of messages in flight; the oldest messages beyond it are lost.
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
        (0..size).for_each(|server| fleet.start(server, START));
        fleet
    }

    /// Starts a new process incarnation, whose clock shows `clock`.
    fn start(&mut self, server: usize, clock: Timestamp) {
        self.starts += 1;
        let incarnation = ProcessIncarnation { name: name(server), generation: Generation(self.starts) };
        let mut manager =
            QuotaManager::new(self.config.clone(), incarnation, self.starts * 77 + server as u64, clock);
        manager.set_demand(SLOTS, 40.0);
        self.managers.insert(server, manager);
        self.usages.push(Usage { incarnation, past: VecDeque::new(), lease_expires: None });
    }

    fn kill(&mut self, server: usize) {
        self.managers.remove(&server);
    }

    fn incarnation(&self, server: usize) -> ProcessIncarnation {
        let last = self.usages.iter().rev().find(|usage| usage.incarnation.name == name(server));
        last.expect("the server has been started").incarnation
    }

    /// Takes the messages and events that a server has put out.
    fn collect_output(&mut self, server: usize) {
        let incarnation = self.incarnation(server);
        let Some(manager) = self.managers.get_mut(&server) else { return };
        while let Some(OutgoingMessage { to, message }) = manager.next_message() {
            let to: usize = to.as_str()[1..].parse().expect("a server number");
            self.in_flight.push((to, incarnation, message));
        }
        while let Some(event) = manager.next_event() {
            let elapsed_ms = (self.now - START).us() / 1000;
            if !matches!(event, QuotaEvent::LeaseAcquired(_)) {
                self.events.push(format!("{elapsed_ms} n{server} {event:?}"));
            }
        }
        let excess = self.in_flight.len().saturating_sub(self.max_in_flight);
        self.in_flight.drain(..excess);
    }

    /// Delivers the message at a position of `in_flight`; a suspended server loses it.
    fn deliver(&mut self, position: usize) {
        let (to, from, message) = self.in_flight.remove(position);
        if self.suspended.contains(&to) {
            return;
        }
        if let Some(manager) = self.managers.get_mut(&to) {
            manager.receive(self.now, from, &message);
            self.collect_output(to);
        }
    }

    fn tick(&mut self, server: usize) {
        if let Some(manager) = self.managers.get_mut(&server).filter(|_| !self.suspended.contains(&server)) {
            manager.tick(self.now);
            self.collect_output(server);
        }
    }

    /// Records the shares of all processes, and returns an error if their sum exceeds a limit.
    fn check(&mut self) -> Result<(), String> {
        for (server, manager) in &self.managers {
            manager.check_invariants(self.now).map_err(|error| format!("n{server}: {error}"))?;
        }
        let (now, limits) = (self.now, self.config.limits.len());
        for usage in &mut self.usages {
            let running = self.managers.iter().find(|(server, _)| name(**server) == usage.incarnation.name);
            let amounts: Vec<f64> = match running {
                Some((_, manager)) => {
                    (0..limits).map(|index| manager.share(now, LimitId(index)).amount).collect()
                }
                None => vec![0.0; limits],
            };
            if usage.past.back().is_none_or(|last| last.amounts != amounts) {
                // If the lease expired before this check, the change took effect at its expiry.
                let since = usage.lease_expires.map_or(now, |expires| expires.min(now));
                usage.past.push_back(PastShares { since, amounts });
            }
            usage.lease_expires = running.and_then(|(_, manager)| manager.share(now, SLOTS).expires);
            // Drop shares under which no work goes on any more.
            while usage.past.len() > 1 && usage.past[1].since + RESIDUAL <= now {
                usage.past.pop_front();
            }
        }
        // Only the newest process of a name counts: the work of an earlier one ended with that process.
        let newest: BTreeMap<MemberName, ProcessIncarnation> =
            self.usages.iter().map(|usage| (usage.incarnation.name, usage.incarnation)).collect();
        for index in 0..limits {
            let running =
                self.usages.iter().filter(|usage| newest[&usage.incarnation.name] == usage.incarnation);
            let max_amount =
                |usage: &Usage| usage.past.iter().map(|past| past.amounts[index]).fold(0.0, f64::max);
            let sum: f64 = running.map(max_amount).sum();
            let total = self.config.limits[index].total;
            if sum > total * (1.0 + 1e-5) {
                return Err(format!(
                    "{}: shares sum to {sum:.3}, total is {total}",
                    self.config.limits[index].name
                ));
            }
        }
        Ok(())
    }

    /// Runs for `ms` milliseconds on a network that loses no message. The clock moves on to the next timer,
    /// by 1 ms at least, once all messages are delivered.
    fn run(&mut self, ms: u64) -> Result<(), String> {
        let end = self.now + Duration::from_ms(ms);
        while self.now < end {
            while !self.in_flight.is_empty() {
                self.deliver(0);
            }
            let running = self.managers.iter().filter(|(server, _)| !self.suspended.contains(server));
            let next = running.map(|(_, manager)| manager.next_tick()).min().unwrap_or(end);
            self.now = next.max(self.now + Duration::from_ms(1)).min(end);
            for server in self.managers.keys().copied().collect::<Vec<_>>() {
                self.tick(server);
            }
            self.check()?;
        }
        Ok(())
    }

    /// Returns the share of each server in one line; `*` marks the allocator.
    fn describe_shares(&self) -> String {
        let describe = |(server, manager): (&usize, &QuotaManager)| {
            let share = manager.share(self.now, SLOTS);
            let marker = if manager.allocates_until(self.now).is_some() { "*" } else { "" };
            format!("n{server}{marker} {:.1}", share.amount)
        };
        self.managers.iter().map(describe).collect::<Vec<_>>().join(", ")
    }

    /// Returns the sum of all shares of `SLOTS`.
    fn total_in_use(&self) -> f64 {
        self.managers.values().map(|manager| manager.share(self.now, SLOTS).amount).sum()
    }
}

#[test]
fn fair_level_caps_demands_so_that_they_fill_the_pool() {
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
    fleet.run(20_000).expect("shares stay within the limits");
    let mut lines = vec![fleet.events.join("; "), fleet.describe_shares()];
    for (server, demand) in [(0, 5.0), (1, 10.0), (2, 20.0), (3, 30.0), (4, 1e9)] {
        fleet.managers.get_mut(&server).expect("the server runs").set_demand(SLOTS, demand);
    }
    fleet.run(10_000).expect("shares stay within the limits");
    lines.push(fleet.describe_shares());
    fleet.managers.get_mut(&4).expect("the server runs").set_demand(SLOTS, f64::NAN);
    fleet.run(10_000).expect("shares stay within the limits");
    lines.push(fleet.describe_shares());
    expect![[r#"
        4206 n0 StartedAllocating
        n0* 19.0, n1 19.0, n2 19.0, n3 19.0, n4 19.0
        n0* 5.0, n1 10.0, n2 20.0, n3 30.0, n4 30.0
        n0* 5.0, n1 10.0, n2 20.0, n3 30.0, n4 1.0
    "#]]
    .assert_eq(&format!("{}\n", lines.join("\n")));
}

/// A suspended allocator is replaced, and does not allocate when it resumes. Its successor is killed and
/// replaced.
#[test]
fn killed_or_suspended_allocator_is_replaced() {
    let mut fleet = TestFleet::new(5, config(3, 10));
    fleet.run(20_000).expect("shares stay within the limits");
    let allocator = |fleet: &TestFleet| {
        fleet
            .managers
            .iter()
            .find(|(_, manager)| manager.allocates_until(fleet.now).is_some())
            .map(|(server, _)| *server)
    };
    let first = allocator(&fleet).expect("one server allocates");
    fleet.events.clear();
    fleet.suspended.push(first);
    let mut leaseless_ms = 0;
    for _ in 0..200 {
        fleet.run(100).expect("shares stay within the limits");
        leaseless_ms += u64::from(
            fleet.managers.values().all(|manager| manager.share(fleet.now, SLOTS).expires.is_none()),
        ) * 100;
    }
    let second = allocator(&fleet).filter(|server| *server != first).expect("another server allocates");
    fleet.suspended.clear();
    fleet.run(1000).expect("shares stay within the limits");
    assert_eq!(allocator(&fleet), Some(second));
    fleet.kill(second);
    fleet.run(20_000).expect("shares stay within the limits");
    assert!(allocator(&fleet).is_some_and(|server| server != second));
    assert!(leaseless_ms < 12_000, "{leaseless_ms} ms without leases");
    assert!(fleet.total_in_use() > 80.0, "unexpected shares: {}", fleet.describe_shares());
}

/// Without a majority of voters only guaranteed minimums remain; with it, leases are granted again.
#[test]
fn leases_need_a_majority_of_voters() {
    let mut fleet = TestFleet::new(5, config(3, 10));
    fleet.run(20_000).expect("shares stay within the limits");
    fleet.kill(0);
    fleet.kill(1);
    fleet.run(20_000).expect("shares stay within the limits");
    let mut lines = vec![fleet.describe_shares()];
    // A voter that starts grants no vote for one vote duration.
    fleet.start(0, fleet.now);
    fleet.run(7_000).expect("shares stay within the limits");
    lines.push(fleet.describe_shares());
    fleet.run(12_000).expect("shares stay within the limits");
    lines.push(fleet.describe_shares());
    expect![[r#"
        n2 1.0, n3 1.0, n4 1.0
        n0* 1.0, n2 1.0, n3 1.0, n4 1.0
        n0* 23.5, n2 23.5, n3 23.5, n4 23.5
    "#]]
    .assert_eq(&format!("{}\n", lines.join("\n")));
}

/// A server that resumes after its lease has expired must not use the lease, even before it has handled a
/// timer.
#[test]
fn server_resuming_with_expired_lease_has_its_minimum() {
    let mut fleet = TestFleet::new(5, config(3, 10));
    fleet.run(20_000).expect("shares stay within the limits");
    fleet.suspended.push(4);
    let before = fleet.managers[&4].share(fleet.now, SLOTS).amount;
    fleet.run(10_000).expect("shares stay within the limits");
    let at_once = fleet.managers[&4].share(fleet.now, SLOTS).amount;
    fleet.suspended.clear();
    fleet.run(8_000).expect("shares stay within the limits");
    let after = fleet.managers[&4].share(fleet.now, SLOTS).amount;
    assert!(
        before > 15.0 && at_once == 1.0 && after > 15.0,
        "before {before}, on resumption {at_once}, after {after}"
    );
}

#[test]
fn exclusive_turn_rotates_and_suspended_server_loses_it() {
    let mut fleet = TestFleet::new(5, config(3, 10));
    fleet.managers.values_mut().for_each(|manager| manager.set_demand(LimitId(1), 1.0));
    fleet.run(14_000).expect("shares stay within the limits");
    let mut turns_held: Vec<(usize, u64)> = Vec::new();
    for step in 0..1200 {
        fleet.run(100).expect("shares stay within the limits");
        for (server, manager) in &fleet.managers {
            if manager.share(fleet.now, LimitId(1)).amount >= 1.0 {
                match turns_held.last_mut() {
                    Some((last, ms)) if last == server => *ms += 100,
                    _ => turns_held.push((*server, 100)),
                }
                if step > 300 && fleet.suspended.is_empty() && *server == 3 {
                    fleet.suspended.push(3);
                }
            }
        }
    }
    let turns: BTreeMap<usize, usize> = turns_held.iter().fold(BTreeMap::new(), |mut turns, (server, _)| {
        *turns.entry(*server).or_default() += 1;
        turns
    });
    assert!(turns_held.iter().all(|(_, ms)| *ms <= 8000), "{turns_held:?}");
    assert!(turns.len() == 5 && [0, 1, 2, 4].iter().all(|server| turns[server] >= 2), "{turns:?}");
}

#[test]
fn invalid_configurations_are_refused() {
    let mut lines = Vec::new();
    let mut record_error = |change: &dyn Fn(&mut QuotaConfig)| {
        let mut config = config(3, 10);
        change(&mut config);
        lines.push(config.check().expect_err("an invalid configuration").to_string());
    };
    record_error(&|config| config.voters.push(name(0)));
    record_error(&|config| config.voters = (0..10).map(name).collect());
    record_error(&|config| config.limits[0].total = f64::NAN);
    record_error(&|config| config.limits[0].guaranteed_fraction = 1.5);
    record_error(&|config| config.limits[1].guaranteed_fraction = 0.1);
    record_error(&|config| config.limits[0].residual_duration = Duration::from_ms(2001));
    record_error(&|config| config.limits[1].name = config.limits[0].name);
    record_error(&|config| config.vote_duration = Duration::ZERO);
    expect![[r#"
        keepers: a server is listed twice, so its vote would count twice
        more than 9 keepers
        slots: total is not a number from 0 to 1000000000
        slots: floor is not a number from 0 to 1
        turns: floor of a limit of exclusive turns is not 0
        slots: linger_s is more than half of lease_s, which leaves no time for leases
        slots: limit is listed twice
        slots: linger_s is more than half of lease_s, which leaves no time for leases
    "#]]
    .assert_eq(&format!("{}\n", lines.join("\n")));
}

// ---- all orders of a few events ----

/// One event. Messages are identified by their positions in `in_flight`, servers by their numbers.
#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    /// Delivers a message and keeps it in flight.
    Duplicate(usize),
    Drop(usize),
    /// Moves the clock on to the server's next timer, which it then handles.
    Tick(usize),
    /// Moves the clock on by this many milliseconds without handling timers.
    Advance(u64),
    Restart(usize),
    Suspend(usize),
    Resume,
}

impl TestFleet {
    /// Returns all steps that are possible now.
    fn steps(&self) -> Vec<Step> {
        let in_flight = 0..self.in_flight.len();
        let mut steps: Vec<Step> = in_flight.clone().map(Step::Deliver).collect();
        steps.extend(in_flight.clone().map(Step::Drop));
        steps.extend(in_flight.map(Step::Duplicate));
        steps.extend(self.managers.keys().map(|server| Step::Tick(*server)));
        steps.extend([Step::Advance(600), Step::Advance(4100), Step::Restart(1)]);
        steps.push(if self.suspended.is_empty() { Step::Suspend(0) } else { Step::Resume });
        steps
    }

    fn take_step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Deliver(position) => self.deliver(position),
            Step::Duplicate(position) => {
                let (to, from, message) = self.in_flight[position].clone();
                if let Some(manager) = self.managers.get_mut(&to).filter(|_| !self.suspended.contains(&to)) {
                    manager.receive(self.now, from, &message);
                    self.collect_output(to);
                }
            }
            Step::Drop(position) => drop(self.in_flight.remove(position)),
            Step::Tick(server) => {
                let Some(manager) = self.managers.get(&server).filter(|_| !self.suspended.contains(&server))
                else {
                    return Ok(());
                };
                self.now = self.now.max(manager.next_tick());
                self.check()?;
                self.tick(server);
            }
            Step::Advance(ms) => self.now = self.now + Duration::from_ms(ms),
            Step::Restart(server) => {
                self.kill(server);
                self.start(server, self.now);
            }
            Step::Suspend(server) => self.suspended.push(server),
            Step::Resume => self.suspended.clear(),
        }
        self.check()
    }
}

/// Returns the number of steps in each order that is explored; `HAZELSPUR_DEPTH` overrides the default.
fn search_depth() -> usize {
    std::env::var("HAZELSPUR_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(4)
}

/// Takes each possible sequence of `depth` steps, and panics at the first that violates a limit.
fn explore(fleet: &TestFleet, depth: usize, states: &mut usize, path: &mut Vec<Step>) {
    *states += 1;
    if depth == 0 {
        return;
    }
    for step in fleet.steps() {
        let mut next = fleet.clone();
        path.push(step);
        next.take_step(step).unwrap_or_else(|error| panic!("{error} after {path:?}"));
        explore(&next, depth - 1, states, path);
        path.pop();
    }
}

/// Three voters and one server that is only a lessee, in three initial states: when votes are granted for
/// the first time, with a settled allocation, and after the allocator has been suspended until its election
/// expired.
#[test]
fn sum_stays_within_limit_in_every_short_order_of_events() {
    let mut starting = TestFleet::new(4, config(3, 4));
    starting.max_in_flight = 4;
    starting.now = START + VOTE_DURATION;
    let mut settled = TestFleet::new(4, config(3, 4));
    settled.run(20_000).expect("shares stay within the limits");
    settled.max_in_flight = 4;
    let mut expiring = settled.clone();
    expiring.suspended.push(0);
    expiring.now = expiring.now + Duration::from_ms(5000);
    let mut states = 0;
    for fleet in [starting, settled, expiring] {
        explore(&fleet, search_depth(), &mut states, &mut Vec::new());
    }
    assert!(states > 10_000, "{states} states");
}

/// Takes random steps and returns the fleet, or the first violation of a limit or an invariant.
fn random_walk(
    mut fleet: TestFleet,
    seed: u64,
    steps: usize,
    fault: Option<InjectedFault>,
) -> Result<TestFleet, String> {
    let mut random = Pcg::new(seed);
    let mut largest_share: f64 = 0.0;
    for _ in 0..steps {
        let possible = fleet.steps();
        let step = possible[random.draw() as usize % possible.len()];
        // Most steps must deliver a message or handle a timer, otherwise no lease is ever granted.
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
        fleet.take_step(step)?;
        if let Some(InjectedFault::LeaseNeverExpires) = fault
            && let Some(manager) = fleet.managers.get_mut(&3)
        {
            // Simulates a stopped clock of n3, which goes on using the largest share that it ever had.
            largest_share = manager.share(fleet.now, SLOTS).amount.max(largest_share);
            if largest_share > 5.0 {
                manager.set_demand(SLOTS, 1.0);
            }
            if let Some(usage) = fleet.usages.iter_mut().rfind(|usage| usage.incarnation.name == name(3)) {
                usage.past =
                    VecDeque::from([PastShares { since: fleet.now, amounts: vec![largest_share, 0.0] }]);
            }
        }
    }
    Ok(fleet)
}

/// A fault of the protocol that the check of the sum must find.
#[derive(Clone, Copy, Debug)]
enum InjectedFault {
    /// Server n3 reports that it retains a lease that it never had, and a new allocator accepts this.
    RetainsTooMuch,
    /// Server n3 goes on using its largest share after the lease has expired.
    LeaseNeverExpires,
}

/// Six servers that together demand more than the total of `SLOTS`.
fn contended_fleet(max_in_flight: usize) -> TestFleet {
    let mut fleet = TestFleet::new(6, config(3, 6));
    fleet.max_in_flight = max_in_flight;
    fleet.managers.values_mut().for_each(|manager| manager.set_demand(SLOTS, 90.0));
    fleet
}

#[test]
fn random_walks_stay_within_limit_and_end_with_pool_in_use() {
    for seed in 0..200 {
        let fleet = random_walk(contended_fleet(12), seed, 400, None);
        let mut fleet = fleet.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        fleet.suspended.clear();
        fleet.managers.values_mut().for_each(|manager| manager.set_demand(SLOTS, 90.0));
        fleet.max_in_flight = 10_000;
        fleet.run(40_000).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(fleet.total_in_use() > 95.0, "seed {seed}: {}", fleet.describe_shares());
    }
}

#[test]
fn sum_check_finds_injected_faults() {
    for fault in [InjectedFault::RetainsTooMuch, InjectedFault::LeaseNeverExpires] {
        let found = (0..400).any(|seed| random_walk(contended_fleet(12), seed, 600, Some(fault)).is_err());
        assert!(found, "{fault:?}: no violation found in 400 random walks");
    }
    // Two lists of voters whose majorities do not intersect elect two allocators.
    let mut fleet = TestFleet::new(3, config(3, 6));
    let mut others = config(3, 6);
    others.voters = (3..6).map(name).collect();
    fleet.config = others;
    (3..6).for_each(|server| fleet.start(server, START));
    fleet.managers.values_mut().for_each(|manager| manager.set_demand(SLOTS, 90.0));
    assert!(fleet.run(30_000).is_err(), "unexpected shares: {}", fleet.describe_shares());
}

/// Holders of the key may send any values, in lists of any length and in any order.
#[test]
fn arbitrary_authenticated_messages_keep_the_invariants() {
    let mut random = Pcg::new(11);
    let mut fleet = TestFleet::new(3, config(3, 10));
    fleet.run(20_000).expect("shares stay within the limits");
    let arbitrary_number = |random: &mut Pcg| match random.draw() % 6 {
        0 => f32::NAN,
        1 => f32::INFINITY,
        2 => -1.0,
        3 => 1e30,
        4 => f32::from_bits(random.draw()),
        _ => random.draw_fraction() as f32 * 100.0,
    };
    for i in 0..20_000u64 {
        let arbitrary_list = |random: &mut Pcg| -> Vec<f32> {
            let length = if random.draw().is_multiple_of(4) { random.draw() as usize % 20 } else { 2 };
            (0..length).map(|_| arbitrary_number(random)).collect()
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
                demands: arbitrary_list(&mut random),
                retained: arbitrary_list(&mut random),
            }),
            4 => QuotaMessage::LeaseGrant(LeaseGrant {
                number,
                duration_ms: random.draw(),
                amounts: arbitrary_list(&mut random),
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
            manager.check_invariants(now).unwrap_or_else(|error| panic!("{error} after {message:?}"));
            while manager.next_message().is_some() {}
        }
    }
}
