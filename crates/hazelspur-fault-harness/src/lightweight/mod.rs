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
pub const CALLS: &str = "calls";
/// Duration of quota leases, in seconds.
pub const LEASE_S: u64 = 4;
/// Cores of each worker.
pub const CORES: usize = 2;
/// Time from the shutdown notice to the end of a real server, in milliseconds.
pub const STOP_MS: u64 = 1500;
/// Two regions of three zones.
pub const SITES: [&str; 6] = ["r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r2-c"];
/// `most` of the fleet is twice its members, and 4,096 at most.
pub const MAX_MEMBERS: usize = 2048;
/// The most real servers.
pub const MAX_REAL: usize = 90;
/// The most processes of a run.
pub const MAX_PROCESSES: usize = 100;
/// The most lightweight members of a process.
pub const MAX_IN_A_PROCESS: usize = 500;
/// The longest run, in seconds.
pub const MAX_SECONDS: u64 = 600;
/// Voters.
const KEEPERS: usize = 5;
/// Seed members.
const CONTACTS: usize = 3;
/// Addresses of lightweight members by turns: so many a row, from this row on.
const IN_A_ROW: usize = 200;
/// The first row of addresses of lightweight members.
const FIRST_ROW: usize = 20;
/// Guaranteed minimum, as a part of the shared limit.
const FLOOR: f64 = 0.2;
/// Residual load of a call, in seconds.
const LINGER_S: f64 = 1.0;
/// How long members that left are remembered, in seconds.
const REMEMBER_S: f64 = 900.0;
/// Descriptors of a process by itself.
const OWN: u64 = 64;
/// Descriptors of ours for each real server with its test doubles.
const FOR_A_REAL: u64 = 24;
/// Descriptors of ours for each process of lightweight members.
const FOR_A_PROCESS: u64 = 4;
/// Descriptors of a real server.
const OF_A_SERVER: u64 = 512 + 64;
/// How often the real members are asked, and what else is looked at.
const LOOK: StdDuration = StdDuration::from_millis(100);
/// How often memory is looked at.
const LOOK_AT_MEMORY: StdDuration = StdDuration::from_secs(1);
/// How long a server may take to answer a query.
const ASKED_WITHIN: StdDuration = StdDuration::from_millis(500);
/// How long all servers may take to send their views.
const PICTURES_WITHIN: StdDuration = StdDuration::from_secs(10);
/// All sockets of a process of lightweight members are there within this; a count comes within this.
const READY: StdDuration = StdDuration::from_secs(20);
/// A lightweight process ends so long after all else would have.
const GRACE_S: u64 = 60;
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
    pub whole: StdDuration,
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
        let hollow = self.members - self.real;
        let ours =
            OWN + self.real as u64 * FOR_A_REAL + hollow.div_ceil(self.per_process) as u64 * FOR_A_PROCESS;
        let theirs = OWN + self.per_process.min(hollow) as u64;
        ours.max(theirs).max(OF_A_SERVER)
    }

    /// Errors name the flag and both numbers. `limit`: descriptors that a process may have.
    pub fn check(&self, limit: u64) -> anyhow::Result<()> {
        let range = |flag: &str, n: usize, least: usize, most: usize| {
            anyhow::ensure!((least..=most).contains(&n), "{flag}: {n} is not from {least} to {most}");
            Ok(())
        };
        range("--real", self.real, 1, MAX_REAL)?;
        range("--members", self.members, self.real + 1, MAX_MEMBERS)?;
        range("--per-process", self.per_process, 1, MAX_IN_A_PROCESS)?;
        range("--silent", self.silent, 0, self.members - self.real)?;
        let seconds = (self.whole + self.agree_within + self.settle + self.window + self.spread).as_secs();
        range("seconds of all flags together", seconds as usize, 0, MAX_SECONDS as usize)?;
        anyhow::ensure!((0.0..=1000.0).contains(&self.rate), "--rate: {} is not from 0 to 1000", self.rate);
        let processes = self.processes();
        anyhow::ensure!(
            processes <= MAX_PROCESSES,
            "{processes} processes, {MAX_PROCESSES} may be: raise --per-process or lower --real"
        );
        let need = self.descriptors();
        anyhow::ensure!(
            need <= limit,
            "a process needs {need} descriptors, its limit is {limit}: raise it (ulimit -n), or lower \
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
    pub fn name(&self, of: usize) -> String {
        format!("{}{of:04}", if of < self.real { 'n' } else { 'h' })
    }

    /// The site of a member.
    pub fn site(&self, of: usize) -> &'static str {
        SITES[of % SITES.len()]
    }

    /// Where a member receives datagrams.
    pub fn talks_at(&self, of: usize) -> SocketAddr {
        let (row, place) = match of.checked_sub(self.real) {
            None => (1, of),
            Some(hollow) => (FIRST_ROW + hollow / IN_A_ROW, hollow % IN_A_ROW),
        };
        SocketAddr::from((Ipv4Addr::new(127, self.net, row as u8, place as u8 + 1), 7946))
    }

    /// Where a real member accepts gateways.
    pub fn serves_at(&self, of: usize) -> SocketAddr {
        SocketAddr::new(self.talks_at(of).ip(), 9000)
    }

    /// The most members that the fleet may have.
    pub fn most(&self) -> usize {
        self.members * 2
    }

    /// Of the ledger, and shared.
    pub fn slots(&self) -> f64 {
        self.members as f64 * 2.0
    }

    /// The first real ones, each in a site of its own.
    pub fn keepers(&self) -> Vec<String> {
        (0..self.keeping()).map(|of| self.name(of)).collect()
    }

    /// The number of voters.
    pub fn keeping(&self) -> usize {
        if self.real >= KEEPERS { KEEPERS } else { 1 }
    }

    /// Addresses of the seed members.
    pub fn contacts(&self) -> Vec<SocketAddr> {
        (0..self.real.min(CONTACTS)).map(|of| self.talks_at(of)).collect()
    }

    /// Whether a member never sends anything.
    pub fn is_silent(&self, of: usize) -> bool {
        of + self.silent >= self.members
    }

    /// After the start of all.
    pub fn starts_after(&self, of: usize) -> StdDuration {
        let drawn = Pcg::new(self.seed.wrapping_mul(1_000_003) ^ of as u64).draw();
        StdDuration::from_millis(u64::from(drawn) % self.spread_ms.max(1))
    }

    /// As the server makes them of the operator's file that the real ones get.
    pub fn terms(&self, of: usize) -> NodeConfig {
        NodeConfig {
            installation: Installation::new(INSTALLATION).expect("a short name"),
            name: MemberName::new(&self.name(of)).expect("a short name"),
            site: SiteName::new(self.site(of)).expect("a short name"),
            address: self.talks_at(of),
            seeds: self.contacts(),
            max_servers: self.most(),
            probe_period: Duration::from_secs(1.0),
            retention: Duration::from_secs(REMEMBER_S),
        }
    }

    /// The quota configuration, as the server makes it of the operator's file.
    pub fn share_terms(&self) -> QuotaConfig {
        let keepers = self.keepers();
        QuotaConfig {
            voters: keepers.iter().map(|name| MemberName::new(name).expect("a short name")).collect(),
            max_servers: self.most(),
            vote_duration: Duration::from_secs(LEASE_S as f64),
            limits: vec![SharedLimit {
                name: LimitName::new(CALLS).expect("a short name"),
                total: self.slots(),
                guaranteed_fraction: FLOOR,
                residual_duration: Duration::from_secs(LINGER_S),
                max_turn: None,
            }],
        }
    }
}

/// What the real members say at one time: condition and bounds of the size; none without an answer.
pub struct Look {
    /// From the start.
    pub at: StdDuration,
    /// What each real member said.
    pub said: Vec<Option<(LocalStatus, FleetSize)>>,
    /// Processes that run: of lightweight members, then real ones.
    pub ids: Vec<u32>,
}

impl Look {
    /// The fewest that one of them has for alive.
    pub fn least(&self) -> usize {
        self.said.iter().map(|said| said.map_or(0, |(_, size)| size.min)).min().unwrap_or(0)
    }

    fn all(&self, members: usize) -> bool {
        let all = |said: &Option<(LocalStatus, FleetSize)>| {
            said.is_some_and(|(condition, size)| condition == LocalStatus::Healthy && size.min == members)
        };
        self.said.iter().all(all)
    }
}

/// What came out of one size.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub members: usize,
    pub real: usize,
    pub processes: usize,
    /// From the start until every real member showed all as alive; none where that did not come.
    pub agree: Option<StdDuration>,
    /// Whom at least one real member did not show as alive when that came or was given up.
    pub missing: BTreeSet<String>,
    /// The same at the window's end.
    pub missing_at_end: BTreeSet<String>,
    pub figures: Option<Figures>,
    /// The most of all processes together, in bytes.
    pub most_memory: u64,
    /// Requests that were acked, and tries that were sent.
    pub requests: (usize, usize),
    /// All processes that were started; none of them runs any more.
    pub ids: Vec<u32>,
}

/// One run. `look` is told what the real members say while agreement is awaited, and may end that early.
/// Errors: limits of the machine, processes that could not start or ended by themselves.
pub fn run(plan: &Plan, look: &mut dyn FnMut(&Look) -> ControlFlow<()>) -> anyhow::Result<Outcome> {
    plan.check(process_usage::descriptors()?)?;
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let from = std::process::id().wrapping_mul(13) + run;
    let (net, _claim) = crate::test_fleet::claim_network(from).context("a net of its own")?;
    let fleet = Fleet {
        net,
        members: plan.members,
        real: plan.real,
        seed: plan.seed,
        spread_ms: plan.spread.as_millis() as u64,
        silent: plan.silent,
    };
    let folder = Folder::new(run)?;
    let mut run = Run::start(plan, fleet, &folder)?;
    run.play(look)
}

struct Folder(PathBuf);

impl Folder {
    fn new(run: u32) -> anyhow::Result<Self> {
        let path = std::env::temp_dir().join(format!("hazelspur-hollow-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
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
    reals: RealServers,
    hollows: Vec<LightweightProcess>,
    asker: FleetQuerier,
    most_memory: u64,
    may_take: u64,
    memory_due: Instant,
}

impl<'a> Run<'a> {
    fn start(plan: &'a Plan, fleet: Fleet, folder: &Folder) -> anyhow::Result<Self> {
        let reals = RealServers::new(plan, &fleet, folder.0.clone())?;
        let all = plan.whole + plan.agree_within + plan.settle + plan.window + plan.spread;
        let mut hollows = Vec::new();
        for first in (plan.real..plan.members).step_by(plan.per_process) {
            let count = plan.per_process.min(plan.members - first);
            let life_s = all.as_secs() + GRACE_S;
            hollows
                .push(LightweightProcess::start(plan, &Task { fleet: fleet.clone(), first, count, life_s })?);
        }
        for hollow in &mut hollows {
            hollow.answer(READY).context("are all addresses free?")?;
        }
        Ok(Self {
            plan,
            fleet,
            reals,
            hollows,
            asker: FleetQuerier::new()?,
            most_memory: 0,
            may_take: process_usage::memory()? / 2,
            memory_due: Instant::now(),
        })
    }

    fn play(&mut self, look: &mut dyn FnMut(&Look) -> ControlFlow<()>) -> anyhow::Result<Outcome> {
        let plan = self.plan;
        for hollow in &mut self.hollows {
            hollow.order(Order::Go)?;
        }
        let began = Instant::now();
        for hollow in &mut self.hollows {
            hollow.answer(READY)?;
        }
        let agree = self.come_together(began, look)?;
        let ids = self.ids();
        let missing = self.missing();
        let (mut figures, mut missing_at_end) = (None, BTreeSet::new());
        if !plan.window.is_zero() {
            self.reals.begin_ops(plan.rate);
            self.wait(Instant::now() + plan.settle)?;
            self.wait(began + plan.whole.saturating_sub(plan.window))?;
            let divider = self.asker.divider(&self.addresses(), ASKED_WITHIN);
            let before = self.read()?;
            self.wait(before.at + plan.window)?;
            let after = self.read()?;
            figures = Some(Figures::new(&self.fleet, divider, &self.hollows, &before, &after));
            missing_at_end = self.missing();
        }
        let requests = self.reals.end().context("the real members' ends")?;
        for hollow in &mut self.hollows {
            hollow.end(READY)?;
        }
        Ok(Outcome {
            members: plan.members,
            real: plan.real,
            processes: plan.processes(),
            agree,
            missing,
            missing_at_end,
            figures,
            most_memory: self.most_memory,
            requests,
            ids,
        })
    }

    /// Starts the real members, each when it is its time, and waits until all show all as alive.
    fn come_together(
        &mut self,
        began: Instant,
        look: &mut dyn FnMut(&Look) -> ControlFlow<()>,
    ) -> anyhow::Result<Option<StdDuration>> {
        let mut to_start: Vec<(StdDuration, usize)> =
            (0..self.plan.real).map(|of| (self.fleet.starts_after(of), of)).collect();
        to_start.sort();
        to_start.reverse();
        while began.elapsed() < self.plan.agree_within {
            while let Some((_, of)) = to_start.pop_if(|(due, _)| *due <= began.elapsed()) {
                self.reals.start(of)?;
            }
            if to_start.is_empty() {
                let seen = self.look(began);
                if seen.all(self.plan.members) {
                    return Ok(Some(seen.at));
                }
                if look(&seen).is_break() {
                    return Ok(None);
                }
            }
            let next = to_start.last().map_or(began.elapsed() + LOOK, |(due, _)| *due);
            self.wait(began + next.min(began.elapsed() + LOOK))?;
        }
        Ok(None)
    }

    fn ids(&self) -> Vec<u32> {
        let hollows = self.hollows.iter().map(LightweightProcess::id);
        hollows.chain(self.reals.ids().into_iter().flatten()).collect()
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        (0..self.plan.real).map(|of| self.fleet.talks_at(of)).collect()
    }

    fn look(&mut self, began: Instant) -> Look {
        let said = self.asker.sizes(&self.addresses(), ASKED_WITHIN);
        Look { at: began.elapsed(), said, ids: self.ids() }
    }

    fn missing(&mut self) -> BTreeSet<String> {
        let pictures = self.asker.pictures(&self.addresses(), PICTURES_WITHIN);
        let mut missing = BTreeSet::new();
        for (me, picture) in pictures.into_iter().enumerate() {
            let picture: BTreeMap<MemberName, MemberStatus> = picture.unwrap_or_default();
            let alive = picture.iter().filter(|(_, standing)| **standing == MemberStatus::Alive);
            let alive: BTreeSet<&str> = alive.map(|(name, _)| name.as_str()).collect();
            let others = (0..self.plan.members).filter(|of| *of != me).map(|of| self.fleet.name(of));
            missing.extend(others.filter(|name| !alive.contains(name.as_str())));
        }
        missing
    }

    /// Until then; fails where a process has ended by itself, memory is over its bound, or it is to stop.
    fn wait(&mut self, until: Instant) -> anyhow::Result<()> {
        loop {
            self.reals.check()?;
            self.hollows.iter_mut().try_for_each(LightweightProcess::check)?;
            anyhow::ensure!(!self.plan.stop.load(Ordering::Relaxed), "stopped from outside");
            if Instant::now() >= self.memory_due {
                self.memory_due = Instant::now() + LOOK_AT_MEMORY;
                let ids = self.ids().into_iter().chain([std::process::id()]);
                let taken: u64 = ids.filter_map(process_usage::taken).sum();
                self.most_memory = self.most_memory.max(taken);
                let may = self.may_take;
                anyhow::ensure!(
                    taken <= may,
                    "all processes take {taken} bytes, half of the machine is {may}"
                );
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(LOOK));
        }
    }

    fn read(&mut self) -> anyhow::Result<Reading> {
        for hollow in &mut self.hollows {
            hollow.order(Order::Count)?;
        }
        let at = Instant::now();
        let counted = self.hollows.iter_mut().map(|hollow| hollow.answer(READY)).collect::<Result<_, _>>()?;
        let reals = self.reals.ids().into_iter().map(|id| id.and_then(process_usage::process)).collect();
        let hollows = self.hollows.iter().map(|hollow| process_usage::process(hollow.id())).collect();
        Ok(Reading { at, counted, reals, hollows, drops: process_usage::udp_drops(self.fleet.net) })
    }
}
