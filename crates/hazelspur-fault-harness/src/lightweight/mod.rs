//! A fleet of a few real servers and many lightweight members: the same state machines with real datagrams, hundreds
//! to a process. It measures what a member costs by the size of its fleet, at sizes that one machine can't hold in real
//! servers. Addresses are of a network of its own in 127.0.0.0/8; every process that it starts is ended; a run has at
//! most a hundred processes and half of the machine's memory.
//!
//! - `member`: a process of lightweight members; `processes`: starting and ending processes;
//! - `fleet_queries`: the real members' views of the fleet; `process_usage`: limits and usage of processes;
//! - `figures`: a window's figures, as a table and as points; `command`: the subcommand `hollow`.

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

/// The text of the fleet's key.
pub const KEY: &str = "a key for the fleet on this machine only";
/// The installation's name.
pub const INSTALLATION: &str = "hollow";
/// The limit that all share.
pub const SHARED_LIMIT: &str = "calls";
/// Duration of quota leases, in seconds.
pub const QUOTA_LEASE_S: u64 = 4;
/// Cores of each worker.
pub const WORKER_CORES: usize = 2;
/// Time from the shutdown notice to the end of a real server, in milliseconds.
pub const STOP_MS: u64 = 1500;
/// Two regions of three zones.
pub const SITES: [&str; 6] = ["r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r2-c"];
/// `most` of the fleet is twice its members, and 4,096 at most.
pub const MAX_MEMBERS: usize = 2048;
/// The most real servers.
pub const MAX_REAL_SERVERS: usize = 90;
/// The most processes of a run.
pub const MAX_PROCESSES: usize = 100;
/// The most lightweight members of a process.
pub const MAX_MEMBERS_PER_PROCESS: usize = 500;
/// The longest run, in seconds.
pub const MAX_SECONDS: u64 = 600;
/// Voters.
const VOTERS: usize = 5;
/// Seed members.
const SEED_MEMBERS: usize = 3;
/// Addresses of lightweight members by turns: so many a row, from this row on.
const ADDRESSES_PER_ROW: usize = 200;
/// The first row of addresses of lightweight members.
const FIRST_LIGHTWEIGHT_ROW: usize = 20;
/// Guaranteed minimum, as a part of the shared limit.
const GUARANTEED_FRACTION: f64 = 0.2;
/// Residual load of a call, in seconds.
const RESIDUAL_LOAD_S: f64 = 1.0;
/// How long members that left are remembered, in seconds.
const RETENTION_S: f64 = 900.0;
/// Descriptors of a process by itself.
const BASE_DESCRIPTORS: u64 = 64;
/// Descriptors of ours for each real server with its test doubles.
const DESCRIPTORS_PER_REAL_SERVER: u64 = 24;
/// Descriptors of ours for each process of lightweight members.
const DESCRIPTORS_PER_LIGHTWEIGHT_PROCESS: u64 = 4;
/// Descriptors of a real server.
const SERVER_DESCRIPTORS: u64 = 512 + 64;
/// How often the real members are asked, and what else is looked at.
const POLL_INTERVAL: StdDuration = StdDuration::from_millis(100);
/// How often memory is looked at.
const MEMORY_CHECK_INTERVAL: StdDuration = StdDuration::from_secs(1);
/// How long a server may take to answer a query.
const QUERY_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// How long all servers may take to send their views.
const MEMBER_LISTS_TIMEOUT: StdDuration = StdDuration::from_secs(10);
/// All sockets of a process of lightweight members are there within this; a count comes within this.
const PROCESS_ANSWER_TIMEOUT: StdDuration = StdDuration::from_secs(20);
/// A lightweight process ends so long after all else would have.
const LIFETIME_MARGIN_S: u64 = 60;
/// Runs of this process so far; part of each run's network.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The server's program.
    pub server_binary: PathBuf,
    /// The program that serves lightweight members when started with the hidden subcommand.
    pub own_binary: PathBuf,
    /// Members in all.
    pub members: usize,
    /// Members that are real servers.
    pub real: usize,
    /// Lightweight members of a process.
    pub per_process: usize,
    /// All start within so long.
    pub spread: StdDuration,
    /// The real ones show all as alive within this, or the run goes on without.
    pub agree_within: StdDuration,
    /// At rest for so long before the window.
    pub settle: StdDuration,
    /// What is measured; nothing where it is zero.
    pub window: StdDuration,
    /// The whole of it from the start, where they agree in time.
    pub duration: StdDuration,
    /// Requests a second of all real members together.
    pub rate: f64,
    /// The seed of everything random.
    pub seed: u64,
    /// So many lightweight members, the last ones, never say a word: planted.
    pub silent: usize,
    /// Set from outside, it ends the run early with an error.
    pub stop: Arc<AtomicBool>,
}

impl Plan {
    /// Processes of the run.
    pub fn processes(&self) -> usize {
        1 + self.real + (self.members - self.real).div_ceil(self.per_process)
    }

    /// The most that one process needs.
    pub fn descriptors(&self) -> u64 {
        let lightweight = self.members - self.real;
        let own = BASE_DESCRIPTORS
            + self.real as u64 * DESCRIPTORS_PER_REAL_SERVER
            + lightweight.div_ceil(self.per_process) as u64 * DESCRIPTORS_PER_LIGHTWEIGHT_PROCESS;
        let per_lightweight_process = BASE_DESCRIPTORS + self.per_process.min(lightweight) as u64;
        own.max(per_lightweight_process).max(SERVER_DESCRIPTORS)
    }

    /// Errors name the flag and both numbers. `limit`: descriptors that a process may have.
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
            "{processes} processes, {MAX_PROCESSES} may be: raise --per-process or lower --real"
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

/// Who is who; all of it follows from a few numbers, the same in all processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fleet {
    /// The network, 127.`net`.0.0/16.
    pub net: u8,
    /// Members in all.
    pub members: usize,
    /// The first so many are real.
    pub real: usize,
    /// The seed of everything random.
    pub seed: u64,
    /// All start within so many milliseconds.
    pub spread_ms: u64,
    /// Members, the last ones, that never send anything.
    pub silent: usize,
}

impl Fleet {
    /// Names of one length, so that datagrams of both kinds compare.
    pub fn name(&self, index: usize) -> String {
        format!("{}{index:04}", if index < self.real { 'n' } else { 'h' })
    }

    /// The site of a member.
    pub fn site(&self, index: usize) -> &'static str {
        SITES[index % SITES.len()]
    }

    /// Where a member receives datagrams.
    pub fn gossip_address(&self, index: usize) -> SocketAddr {
        let (row, place) = match index.checked_sub(self.real) {
            None => (1, index),
            Some(lightweight) => {
                (FIRST_LIGHTWEIGHT_ROW + lightweight / ADDRESSES_PER_ROW, lightweight % ADDRESSES_PER_ROW)
            }
        };
        SocketAddr::from((Ipv4Addr::new(127, self.net, row as u8, place as u8 + 1), 7946))
    }

    /// Where a real member accepts gateways.
    pub fn gateway_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.gossip_address(index).ip(), 9000)
    }

    /// The most members that the fleet may have.
    pub fn max_members(&self) -> usize {
        self.members * 2
    }

    /// Of the ledger, and shared.
    pub fn call_slots(&self) -> f64 {
        self.members as f64 * 2.0
    }

    /// The first real ones, each in a site of its own.
    pub fn voters(&self) -> Vec<String> {
        (0..self.voter_count()).map(|index| self.name(index)).collect()
    }

    /// The number of voters.
    pub fn voter_count(&self) -> usize {
        if self.real >= VOTERS { VOTERS } else { 1 }
    }

    /// Addresses of the seed members.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        (0..self.real.min(SEED_MEMBERS)).map(|index| self.gossip_address(index)).collect()
    }

    /// Whether a member never sends anything.
    pub fn is_silent(&self, index: usize) -> bool {
        index + self.silent >= self.members
    }

    /// After the start of all.
    pub fn start_delay(&self, index: usize) -> StdDuration {
        let drawn = Pcg::new(self.seed.wrapping_mul(1_000_003) ^ index as u64).draw();
        StdDuration::from_millis(u64::from(drawn) % self.spread_ms.max(1))
    }

    /// As the server makes them of the operator's file that the real ones get.
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

    /// The quota configuration, as the server makes it of the operator's file.
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

/// What the real members say at one time: condition and bounds of the size; none without an answer.
pub struct FleetSnapshot {
    /// From the start.
    pub elapsed: StdDuration,
    /// What each real member said.
    pub answers: Vec<Option<(LocalStatus, FleetSize)>>,
    /// Processes that run: of lightweight members, then real ones.
    pub process_ids: Vec<u32>,
}

impl FleetSnapshot {
    /// The fewest that one of them has for alive.
    pub fn min_alive(&self) -> usize {
        self.answers.iter().map(|answer| answer.map_or(0, |(_, size)| size.min)).min().unwrap_or(0)
    }

    fn shows_all_alive(&self, members: usize) -> bool {
        let shows_all = |answer: &Option<(LocalStatus, FleetSize)>| {
            answer.is_some_and(|(status, size)| status == LocalStatus::Healthy && size.min == members)
        };
        self.answers.iter().all(shows_all)
    }
}

/// What came out of one size.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub members: usize,
    pub real: usize,
    pub processes: usize,
    /// From the start until every real member showed all as alive; none where that did not come.
    pub agreed_after: Option<StdDuration>,
    /// Whom at least one real member did not show as alive when that came or was given up.
    pub missing: BTreeSet<String>,
    /// The same at the window's end.
    pub missing_at_end: BTreeSet<String>,
    pub figures: Option<Figures>,
    /// The most of all processes together, in bytes.
    pub max_memory_bytes: u64,
    /// Requests that were acked, and tries that were sent.
    pub requests: (usize, usize),
    /// All processes that were started; none of them runs any more.
    pub process_ids: Vec<u32>,
}

/// One run. `look` is told what the real members say while agreement is awaited, and may end that early.
/// Errors: limits of the machine, processes that could not start or ended by themselves.
pub fn run(
    plan: &Plan,
    observe: &mut dyn FnMut(&FleetSnapshot) -> ControlFlow<()>,
) -> anyhow::Result<Outcome> {
    plan.check(process_usage::descriptor_limit()?)?;
    let run_number = RUNS.fetch_add(1, Ordering::Relaxed);
    let first_net = std::process::id().wrapping_mul(13) + run_number;
    let (net, _claim) = crate::test_fleet::claim_net(first_net).context("a net of its own")?;
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

struct Run<'a> {
    plan: &'a Plan,
    fleet: Fleet,
    // Ended first.
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
            process.wait_for_answer(PROCESS_ANSWER_TIMEOUT).context("are all addresses free?")?;
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
        let requests = self.real_servers.stop().context("the real members' ends")?;
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

    /// Starts the real members, each when it is its time, and waits until all show all as alive.
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

    /// Until then; fails where a process has ended by itself, memory is over its bound, or it is to stop.
    fn wait(&mut self, until: Instant) -> anyhow::Result<()> {
        loop {
            self.real_servers.check_running()?;
            self.lightweight.iter_mut().try_for_each(LightweightProcess::check_running)?;
            anyhow::ensure!(!self.plan.stop.load(Ordering::Relaxed), "stopped from outside");
            if Instant::now() >= self.memory_check_due {
                self.memory_check_due = Instant::now() + MEMORY_CHECK_INTERVAL;
                let ids = self.process_ids().into_iter().chain([std::process::id()]);
                let used_bytes: u64 = ids.filter_map(process_usage::resident_bytes).sum();
                self.max_memory_bytes = self.max_memory_bytes.max(used_bytes);
                let limit = self.memory_limit_bytes;
                anyhow::ensure!(
                    used_bytes <= limit,
                    "all processes take {used_bytes} bytes, half of the machine is {limit}"
                );
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(POLL_INTERVAL));
        }
    }

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
