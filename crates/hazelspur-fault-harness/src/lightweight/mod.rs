//! Runs a fleet of a few real servers and many lightweight members, and measures the cost of a member by the
//! size of its fleet, at sizes for which one machine can't run enough real servers. A lightweight member runs
//! the state machine of a server and exchanges real datagrams; hundreds of them share a process. The
//! subcommand, its flags and the printed figures call them hollow members.
//!
//! Each run has a network of its own in 127.0.0.0/8, ends every process that it started, and uses at most a
//! hundred processes and half of the memory of the machine.
//!
//! - `member`: a process of lightweight members; `processes`: starts and ends processes;
//! - `fleet_queries`: queries real members for their views of the fleet; `process_usage`: limits and usage of
//!   processes;
//! - `figures`: the figures of a measuring window, as a table and as points; `command`: the subcommand
//!   `hollow`.

pub mod command;
pub mod figures;
pub mod fleet_queries;
pub mod member;
pub mod process_usage;
pub mod processes;

use anyhow::Context;
use figures::{Figures, Reading};
use fleet_queries::FleetQuerier;
use hazelspur::Duration;
use hazelspur::pcg::Pcg;
use hazelspur_fleet::quota::{QuotaConfig, SharedLimit};
use hazelspur_fleet::{
    FleetSize, Installation, LimitName, LocalStatus, MemberName, MemberStatus, NodeConfig, SiteName,
};
use member::{Order, Task};
use processes::{LightweightProcess, RealServers};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::ControlFlow;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration as StdDuration, Instant};

/// Text of the key of the fleet.
pub const KEY: &str = "a key for the fleet on this machine only";
/// Name of the installation.
pub const INSTALLATION: &str = "hollow";
/// Name of the limit that all members share.
pub const SHARED_LIMIT: &str = "calls";
/// Duration of quota leases, in seconds.
pub const QUOTA_LEASE_S: u64 = 4;
/// Cores of each worker.
pub const WORKER_CORES: usize = 2;
/// Time from the shutdown notice to the end of a real server, in milliseconds, as configured.
pub const STOP_MS: u64 = 1500;
/// Sites: two regions of three zones each.
pub const SITES: [&str; 6] = ["r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r2-c"];
/// Highest number of members of a run. The setting `most` of the fleet is twice its number of members, and at
/// most 4,096.
pub const MAX_MEMBERS: usize = 2048;
/// Highest number of real servers.
pub const MAX_REAL_SERVERS: usize = 90;
/// Highest number of processes of a run.
pub const MAX_PROCESSES: usize = 100;
/// Highest number of lightweight members in a process.
pub const MAX_MEMBERS_PER_PROCESS: usize = 500;
/// Highest sum of all durations of a plan, in seconds.
pub const MAX_SECONDS: u64 = 600;
/// Number of voters, if there are that many real servers.
const VOTERS: usize = 5;
/// Number of seed members, if there are that many real servers.
const SEED_MEMBERS: usize = 3;
/// Number of lightweight members whose addresses have the same third byte (row).
const ADDRESSES_PER_ROW: usize = 200;
/// Third byte of the addresses of the first lightweight members; real servers have 1.
const FIRST_LIGHTWEIGHT_ROW: usize = 20;
/// Guaranteed minimum, as a fraction of the shared limit.
const GUARANTEED_FRACTION: f64 = 0.2;
/// Duration of the residual load of a call, in seconds.
const RESIDUAL_LOAD_S: f64 = 1.0;
/// Time for which members that left are retained, in seconds.
const RETENTION_S: f64 = 900.0;
/// File descriptors of a process without any members.
const BASE_DESCRIPTORS: u64 = 64;
/// File descriptors of the harness process for each real server with its test doubles.
const DESCRIPTORS_PER_REAL_SERVER: u64 = 24;
/// File descriptors of the harness process for each process of lightweight members.
const DESCRIPTORS_PER_LIGHTWEIGHT_PROCESS: u64 = 4;
/// File descriptors of a real server: its configured 512 sockets, and 64 more.
const SERVER_DESCRIPTORS: u64 = 512 + 64;
/// Time between two queries of the real members, and between two checks of the processes.
const POLL_INTERVAL: StdDuration = StdDuration::from_millis(100);
/// Time between two checks of the memory use.
const MEMORY_CHECK_INTERVAL: StdDuration = StdDuration::from_secs(1);
/// Timeout of queries for the status and for the allocator.
const QUERY_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// Timeout of queries for the member lists of all servers.
const MEMBER_LISTS_TIMEOUT: StdDuration = StdDuration::from_secs(10);
/// Longest wait for an answer or the exit of a process of lightweight members; the first answer comes once
/// all its sockets are bound.
const PROCESS_ANSWER_TIMEOUT: StdDuration = StdDuration::from_secs(20);
/// Time added to the longest duration of a run for the lifetime of a process of lightweight members, in
/// seconds.
const LIFETIME_MARGIN_S: u64 = 60;
/// Number of runs that this process has begun; part of the choice of the network of each run.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Server program.
    pub server_binary: PathBuf,
    /// Program that serves lightweight members when started with [`command::MEMBERS_SUBCOMMAND`].
    pub own_binary: PathBuf,
    /// Number of members, real and lightweight.
    pub members: usize,
    /// Number of members that are real servers.
    pub real: usize,
    /// Number of lightweight members in each process.
    pub per_process: usize,
    /// Time over which the starts of the members are spread.
    pub spread: StdDuration,
    /// Longest time until all real members show all members as alive; after it the run goes on without
    /// agreement.
    pub agree_within: StdDuration,
    /// Shortest time from agreement to the measuring window.
    pub settle: StdDuration,
    /// Length of the measuring window; zero to measure nothing.
    pub window: StdDuration,
    /// Time from the start to the end of the measuring window; longer if the members agree late.
    pub duration: StdDuration,
    /// Requests per second to all real members together.
    pub rate: f64,
    /// Seed of everything random.
    pub seed: u64,
    /// Number of lightweight members, the last ones, that never send anything: a planted fault.
    pub silent: usize,
    /// Flag that ends the run early with an error once it is set.
    pub stop: Arc<AtomicBool>,
}

impl Plan {
    /// Returns the number of processes of the run, including the harness itself.
    pub fn processes(&self) -> usize {
        1 + self.real + (self.members - self.real).div_ceil(self.per_process)
    }

    /// Returns the highest number of file descriptors that a process of the run needs.
    pub fn descriptors(&self) -> u64 {
        let lightweight = self.members - self.real;
        let own = BASE_DESCRIPTORS
            + self.real as u64 * DESCRIPTORS_PER_REAL_SERVER
            + lightweight.div_ceil(self.per_process) as u64 * DESCRIPTORS_PER_LIGHTWEIGHT_PROCESS;
        let per_lightweight_process = BASE_DESCRIPTORS + self.per_process.min(lightweight) as u64;
        own.max(per_lightweight_process).max(SERVER_DESCRIPTORS)
    }

    /// Checks the parameters against their limits. `limit` is the number of file descriptors that a process
    /// may have.
    ///
    /// # Errors
    /// Returns an error that names the flag, its value and its limit.
    pub fn check(&self, limit: u64) -> anyhow::Result<()> {
        let range = |flag: &str, value: usize, min: usize, max: usize| {
            anyhow::ensure!((min..=max).contains(&value), "{flag}: {value} is not from {min} to {max}");
            Ok(())
        };
        range("--real", self.real, 1, MAX_REAL_SERVERS)?;
        range("--members", self.members, self.real + 1, MAX_MEMBERS)?;
        range("--per-process", self.per_process, 1, MAX_MEMBERS_PER_PROCESS)?;
        range("--silent", self.silent, 0, self.members - self.real)?;
        let seconds = (self.duration + self.agree_within + self.settle + self.window + self.spread).as_secs();
        range("seconds of all flags together", seconds as usize, 0, MAX_SECONDS as usize)?;
        anyhow::ensure!((0.0..=1000.0).contains(&self.rate), "--rate: {} is not from 0 to 1000", self.rate);
        let processes = self.processes();
        anyhow::ensure!(
            processes <= MAX_PROCESSES,
            "the run needs {processes} processes, at most {MAX_PROCESSES} are allowed: raise --per-process or lower --real"
        );
        let needed = self.descriptors();
        anyhow::ensure!(
            needed <= limit,
            "a process needs {needed} descriptors, its limit is {limit}: raise it (ulimit -n), or lower \
             --per-process or --real"
        );
        Ok(())
    }
}

/// Names, sites, addresses and roles of all members. They follow from a few numbers, so that all processes of
/// a run derive the same ones. Members are identified by an index from 0.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fleet {
    /// Second byte of the network, 127.`net`.0.0/16.
    pub net: u8,
    /// Number of members, real and lightweight.
    pub members: usize,
    /// Number of real members, which have the lowest indices.
    pub real: usize,
    /// Seed of everything random.
    pub seed: u64,
    /// Time over which the starts of the members are spread, in milliseconds.
    pub spread_ms: u64,
    /// Number of members, the last ones, that never send anything.
    pub silent: usize,
}

impl Fleet {
    /// Returns the name of a member. All names have the same length, so that the datagrams of real and
    /// lightweight members have comparable lengths.
    pub fn name(&self, index: usize) -> String {
        format!("{}{index:04}", if index < self.real { 'n' } else { 'h' })
    }

    /// Returns the site of a member.
    pub fn site(&self, index: usize) -> &'static str {
        SITES[index % SITES.len()]
    }

    /// Returns the address at which a member receives datagrams.
    pub fn gossip_address(&self, index: usize) -> SocketAddr {
        let (row, place) = match index.checked_sub(self.real) {
            None => (1, index),
            Some(lightweight) => {
                (FIRST_LIGHTWEIGHT_ROW + lightweight / ADDRESSES_PER_ROW, lightweight % ADDRESSES_PER_ROW)
            }
        };
        SocketAddr::from((Ipv4Addr::new(127, self.net, row as u8, place as u8 + 1), 7946))
    }

    /// Returns the address at which a real member accepts connections of gateways.
    pub fn gateway_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.gossip_address(index).ip(), 9000)
    }

    /// Returns the highest number of members that the fleet may have.
    pub fn max_members(&self) -> usize {
        self.members * 2
    }

    /// Returns the number of concurrent calls that the dependency serves, which is also the total of the
    /// shared limit.
    pub fn call_slots(&self) -> f64 {
        self.members as f64 * 2.0
    }

    /// Returns the names of the voters: the first real members, each in a site of its own.
    pub fn voters(&self) -> Vec<String> {
        (0..self.voter_count()).map(|index| self.name(index)).collect()
    }

    /// Returns the number of voters.
    pub fn voter_count(&self) -> usize {
        if self.real >= VOTERS { VOTERS } else { 1 }
    }

    /// Returns the addresses of the seed members.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        (0..self.real.min(SEED_MEMBERS)).map(|index| self.gossip_address(index)).collect()
    }

    /// Returns whether a member never sends anything.
    pub fn is_silent(&self, index: usize) -> bool {
        index + self.silent >= self.members
    }

    /// Returns the time from the start of the run to the start of a member.
    pub fn start_delay(&self, index: usize) -> StdDuration {
        let drawn = Pcg::new(self.seed.wrapping_mul(1_000_003) ^ index as u64).draw();
        StdDuration::from_millis(u64::from(drawn) % self.spread_ms.max(1))
    }

    /// Returns the configuration of a lightweight member, equal to the one that a server derives from the
    /// operator's file of the real members.
    pub fn node_config(&self, index: usize) -> NodeConfig {
        NodeConfig {
            installation: Installation::new(INSTALLATION).expect("a short name"),
            name: MemberName::new(&self.name(index)).expect("a short name"),
            site: SiteName::new(self.site(index)).expect("a short name"),
            address: self.gossip_address(index),
            seeds: self.seed_addresses(),
            max_servers: self.max_members(),
            probe_period: Duration::from_secs(1.0),
            retention: Duration::from_secs(RETENTION_S),
        }
    }

    /// Returns the quota configuration, equal to the one that a server derives from the operator's file.
    pub fn quota_config(&self) -> QuotaConfig {
        let voters = self.voters();
        QuotaConfig {
            voters: voters.iter().map(|name| MemberName::new(name).expect("a short name")).collect(),
            max_servers: self.max_members(),
            vote_duration: Duration::from_secs(QUOTA_LEASE_S as f64),
            limits: vec![SharedLimit {
                name: LimitName::new(SHARED_LIMIT).expect("a short name"),
                total: self.call_slots(),
                guaranteed_fraction: GUARANTEED_FRACTION,
                residual_duration: Duration::from_secs(RESIDUAL_LOAD_S),
                max_turn: None,
            }],
        }
    }
}

/// Answers of the real members to a query for their status at one time.
pub struct FleetSnapshot {
    /// Time since the start of the run.
    pub elapsed: StdDuration,
    /// Local status and estimated fleet size that each real member reports; `None` without an answer.
    pub answers: Vec<Option<(LocalStatus, FleetSize)>>,
    /// Ids of the running processes: those of lightweight members, then the real servers.
    pub process_ids: Vec<u32>,
}

impl FleetSnapshot {
    /// Returns the lowest number of alive members that a real member reports; 0 if one did not answer.
    pub fn min_alive(&self) -> usize {
        self.answers.iter().map(|answer| answer.map_or(0, |(_, size)| size.min)).min().unwrap_or(0)
    }

    /// Returns whether all real members are healthy and report exactly this number of alive members.
    fn shows_all_alive(&self, members: usize) -> bool {
        let shows_all = |answer: &Option<(LocalStatus, FleetSize)>| {
            answer.is_some_and(|(status, size)| status == LocalStatus::Healthy && size.min == members)
        };
        self.answers.iter().all(shows_all)
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of members, real and lightweight.
    pub members: usize,
    /// Number of real members.
    pub real: usize,
    /// Number of processes, including the harness itself.
    pub processes: usize,
    /// Time from the start until every real member showed all members as alive; `None` if that did not
    /// happen.
    pub agreed_after: Option<StdDuration>,
    /// Names of the members that at least one real member did not show as alive when agreement was reached or
    /// given up.
    pub missing: BTreeSet<String>,
    /// Names of the members that at least one real member did not show as alive at the end of the window.
    pub missing_at_end: BTreeSet<String>,
    /// Figures of the measuring window; `None` if its length is zero.
    pub figures: Option<Figures>,
    /// Highest resident memory of all processes together, in bytes.
    pub max_memory_bytes: u64,
    /// Number of requests that succeeded, and number of attempts that were sent.
    pub requests: (usize, usize),
    /// Ids of all processes that were started, all of which have ended.
    pub process_ids: Vec<u32>,
}

/// Executes a plan. `observe` gets each snapshot of the fleet until the members agree, and may end this wait
/// early.
///
/// # Errors
/// Returns an error if the plan or the memory use exceeds a limit, if a process does not start, exits early or does not
/// end properly, or if the run is stopped from outside.
pub fn run(
    plan: &Plan,
    observe: &mut dyn FnMut(&FleetSnapshot) -> ControlFlow<()>,
) -> anyhow::Result<Outcome> {
    plan.check(process_usage::descriptor_limit()?)?;
    let run_number = RUNS.fetch_add(1, Ordering::Relaxed);
    let first_net = std::process::id().wrapping_mul(13) + run_number;
    let (net, _claim) =
        crate::test_fleet::claim_network(first_net).context("cannot claim a network in 127.0.0.0/8")?;
    let fleet = Fleet {
        net,
        members: plan.members,
        real: plan.real,
        seed: plan.seed,
        spread_ms: plan.spread.as_millis() as u64,
        silent: plan.silent,
    };
    let folder = TemporaryFolder::new(run_number)?;
    let mut run = Run::start(plan, fleet, &folder)?;
    run.play(observe)
}

/// Temporary folder of a run, removed when the value is dropped unless `HAZELSPUR_KEEP` is set.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(run_number: u32) -> anyhow::Result<Self> {
        let path = std::env::temp_dir().join(format!("hazelspur-hollow-{}-{run_number}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if std::env::var("HAZELSPUR_KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Run in progress.
struct Run<'a> {
    plan: &'a Plan,
    fleet: Fleet,
    // Declared before the lightweight members, so that the real servers end first.
    real_servers: RealServers,
    lightweight: Vec<LightweightProcess>,
    querier: FleetQuerier,
    max_memory_bytes: u64,
    memory_limit_bytes: u64,
    memory_check_due: Instant,
}

impl<'a> Run<'a> {
    fn start(plan: &'a Plan, fleet: Fleet, folder: &TemporaryFolder) -> anyhow::Result<Self> {
        let real_servers = RealServers::new(plan, &fleet, folder.0.clone())?;
        let max_duration = plan.duration + plan.agree_within + plan.settle + plan.window + plan.spread;
        let mut lightweight = Vec::new();
        for first in (plan.real..plan.members).step_by(plan.per_process) {
            let count = plan.per_process.min(plan.members - first);
            let life_s = max_duration.as_secs() + LIFETIME_MARGIN_S;
            lightweight.push(LightweightProcess::start(
                plan,
                &Task { fleet: fleet.clone(), first_member: first, count, life_s },
            )?);
        }
        for process in &mut lightweight {
            process
                .wait_for_answer(PROCESS_ANSWER_TIMEOUT)
                .context("lightweight members did not bind their addresses; another program may use them")?;
        }
        Ok(Self {
            plan,
            fleet,
            real_servers,
            lightweight,
            querier: FleetQuerier::new()?,
            max_memory_bytes: 0,
            memory_limit_bytes: process_usage::machine_memory_bytes()? / 2,
            memory_check_due: Instant::now(),
        })
    }

    fn play(
        &mut self,
        observe: &mut dyn FnMut(&FleetSnapshot) -> ControlFlow<()>,
    ) -> anyhow::Result<Outcome> {
        let plan = self.plan;
        for process in &mut self.lightweight {
            process.send_order(Order::Start)?;
        }
        let began = Instant::now();
        for process in &mut self.lightweight {
            process.wait_for_answer(PROCESS_ANSWER_TIMEOUT)?;
        }
        let agreed_after = self.start_until_agreed(began, observe)?;
        let process_ids = self.process_ids();
        let missing = self.missing();
        let (mut figures, mut missing_at_end) = (None, BTreeSet::new());
        if !plan.window.is_zero() {
            self.real_servers.start_requests(plan.rate);
            self.wait(Instant::now() + plan.settle)?;
            self.wait(began + plan.duration.saturating_sub(plan.window))?;
            let allocator = self.querier.allocator(&self.addresses(), QUERY_TIMEOUT);
            let before = self.read()?;
            self.wait(before.at + plan.window)?;
            let after = self.read()?;
            figures = Some(Figures::new(&self.fleet, allocator, &self.lightweight, &before, &after));
            missing_at_end = self.missing();
        }
        let requests = self.real_servers.stop().context("cannot stop the real members")?;
        for process in &mut self.lightweight {
            process.stop(PROCESS_ANSWER_TIMEOUT)?;
        }
        Ok(Outcome {
            members: plan.members,
            real: plan.real,
            processes: plan.processes(),
            agreed_after,
            missing,
            missing_at_end,
            figures,
            max_memory_bytes: self.max_memory_bytes,
            requests,
            process_ids,
        })
    }

    /// Starts the real members, each after its delay, and waits until all of them show all members as alive.
    /// Returns the time from the start; `None` if the wait timed out or was ended by `observe`.
    fn start_until_agreed(
        &mut self,
        began: Instant,
        observe: &mut dyn FnMut(&FleetSnapshot) -> ControlFlow<()>,
    ) -> anyhow::Result<Option<StdDuration>> {
        let mut to_start: Vec<(StdDuration, usize)> =
            (0..self.plan.real).map(|index| (self.fleet.start_delay(index), index)).collect();
        to_start.sort();
        to_start.reverse();
        while began.elapsed() < self.plan.agree_within {
            while let Some((_, index)) = to_start.pop_if(|(due, _)| *due <= began.elapsed()) {
                self.real_servers.start(index)?;
            }
            if to_start.is_empty() {
                let snapshot = self.snapshot(began);
                if snapshot.shows_all_alive(self.plan.members) {
                    return Ok(Some(snapshot.elapsed));
                }
                if observe(&snapshot).is_break() {
                    return Ok(None);
                }
            }
            let next = to_start.last().map_or(began.elapsed() + POLL_INTERVAL, |(due, _)| *due);
            self.wait(began + next.min(began.elapsed() + POLL_INTERVAL))?;
        }
        Ok(None)
    }

    fn process_ids(&self) -> Vec<u32> {
        let lightweight = self.lightweight.iter().map(LightweightProcess::id);
        lightweight.chain(self.real_servers.ids().into_iter().flatten()).collect()
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        (0..self.plan.real).map(|index| self.fleet.gossip_address(index)).collect()
    }

    fn snapshot(&mut self, began: Instant) -> FleetSnapshot {
        let answers = self.querier.statuses(&self.addresses(), QUERY_TIMEOUT);
        FleetSnapshot { elapsed: began.elapsed(), answers, process_ids: self.process_ids() }
    }

    /// Returns the names of the members that at least one real member does not show as alive.
    fn missing(&mut self) -> BTreeSet<String> {
        let member_lists = self.querier.member_lists(&self.addresses(), MEMBER_LISTS_TIMEOUT);
        let mut missing = BTreeSet::new();
        for (observer, member_list) in member_lists.into_iter().enumerate() {
            let member_list: BTreeMap<MemberName, MemberStatus> = member_list.unwrap_or_default();
            let alive = member_list.iter().filter(|(_, status)| **status == MemberStatus::Alive);
            let alive: BTreeSet<&str> = alive.map(|(name, _)| name.as_str()).collect();
            let others =
                (0..self.plan.members).filter(|index| *index != observer).map(|index| self.fleet.name(index));
            missing.extend(others.filter(|name| !alive.contains(name.as_str())));
        }
        missing
    }

    /// Waits until a time.
    ///
    /// # Errors
    /// Returns an error if a process has exited early, the memory use exceeds its limit, or the run is stopped.
    fn wait(&mut self, until: Instant) -> anyhow::Result<()> {
        loop {
            self.real_servers.check_running()?;
            self.lightweight.iter_mut().try_for_each(LightweightProcess::check_running)?;
            anyhow::ensure!(!self.plan.stop.load(Ordering::Relaxed), "the run was stopped by a signal");
            if Instant::now() >= self.memory_check_due {
                self.memory_check_due = Instant::now() + MEMORY_CHECK_INTERVAL;
                let ids = self.process_ids().into_iter().chain([std::process::id()]);
                let used_bytes: u64 = ids.filter_map(process_usage::resident_bytes).sum();
                self.max_memory_bytes = self.max_memory_bytes.max(used_bytes);
                let limit = self.memory_limit_bytes;
                anyhow::ensure!(
                    used_bytes <= limit,
                    "all processes use {used_bytes} bytes of memory, the limit is half of the machine, {limit}"
                );
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(POLL_INTERVAL));
        }
    }

    /// Reads all counters and usages.
    fn read(&mut self) -> anyhow::Result<Reading> {
        for process in &mut self.lightweight {
            process.send_order(Order::Count)?;
        }
        let at = Instant::now();
        let counters = self
            .lightweight
            .iter_mut()
            .map(|process| process.wait_for_answer(PROCESS_ANSWER_TIMEOUT))
            .collect::<Result<_, _>>()?;
        let real_usage =
            self.real_servers.ids().into_iter().map(|id| id.and_then(process_usage::usage)).collect();
        let lightweight_usage =
            self.lightweight.iter().map(|process| process_usage::usage(process.id())).collect();
        Ok(Reading {
            at,
            counters,
            real_usage,
            lightweight_usage,
            kernel_drops: process_usage::udp_drops(self.fleet.net),
        })
    }
}
