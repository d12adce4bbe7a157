//! The rounds of `path`: small and large tables in turn, each with a fresh server under each rate.

use crate::path::command::{LARGE, MAX_STRAIGHT, PathArguments, SETTLE, SMALL, WARM_UP};
use crate::path::figures::added_latency;
use crate::path::load::{LoadResult, OutcomeCounts, WireProtocol, latency_histogram, run_plan};
use crate::path::plan::{Arrival, TableSize};
use crate::path::points::path_points;
use crate::path::process::{Memory, start_worker};
use crate::path::tables::path_tables;
use crate::path::wires::{GatewayProtocol, WorkerProtocol};
use anyhow::Context;
use hazelspur::Duration;
use hdrhistogram::Histogram;
use std::sync::Arc;
use std::time::Duration as StdDuration;

/// How long the last answers of a play are waited for: longer than any request's timeout.
const LAST_ANSWER_TIMEOUT: StdDuration = StdDuration::from_millis(3200);
/// The greatest share answered otherwise than by a run, where times are those of runs.
const MAX_SHARE_NOT_RUN: f64 = 0.01;

/// One size of tables under one rate, over all rounds.
pub(super) struct Cell {
    pub(super) tally: OutcomeCounts,
    pub(super) added_us: Histogram<u64>,
    pub(super) cpu: StdDuration,
}

impl Default for Cell {
    fn default() -> Self {
        Self { tally: OutcomeCounts::default(), added_us: latency_histogram(), cpu: StdDuration::ZERO }
    }
}

impl Cell {
    pub(super) fn cpu_us_per_op(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.tally.planned.max(1) as f64
    }

    /// Whether nearly all requests were run, or had no answer at all, which counts in the latency.
    pub(super) fn ran(&self) -> bool {
        let OutcomeCounts { refused, unknown, failed, .. } = self.tally;
        self.tally.share_of_planned(refused + unknown + failed) <= MAX_SHARE_NOT_RUN
    }
}

/// One size of tables, over all rounds.
pub(super) struct Side {
    /// "small" and "large" are the sizes that are asked for by default; others go by their figures.
    pub(super) case: String,
    pub(super) size: TableSize,
    pub(super) cells: Vec<Cell>,
    pub(super) rest: Vec<f64>,
    /// CPU of a request in each round, in microseconds.
    pub(super) rounds: Vec<f64>,
    pub(super) memory: Memory,
    /// CPU of the whole lives of its servers, by their clock and by `/proc/PID/stat`.
    pub(super) cpu: [StdDuration; 2],
}

impl Side {
    fn new(size: TableSize, rates: usize) -> Self {
        let cells = (0..rates).map(|_| Cell::default()).collect();
        let case = match size {
            SMALL => "small".into(),
            LARGE => "large".into(),
            other => other.to_string(),
        };
        let (rest, rounds) = (Vec::new(), Vec::new());
        Self { case, size, cells, rest, rounds, memory: Memory::default(), cpu: Default::default() }
    }

    pub(super) fn cpu_us_per_op(&self) -> f64 {
        let cpu: StdDuration = self.cells.iter().map(|cell| cell.cpu).sum();
        let requests: usize = self.cells.iter().map(|cell| cell.tally.planned).sum();
        cpu.as_secs_f64() * 1e6 / requests.max(1) as f64
    }

    pub(super) fn ran(&self) -> bool {
        self.cells.iter().all(Cell::ran)
    }
}

pub(super) struct Straight {
    pub(super) latency_us: Histogram<u64>,
    pub(super) send_delay_us: Histogram<u64>,
}

/// Plays all rounds, prints the tables, and saves the points.
pub(super) fn path(asked: &PathArguments) -> anyhow::Result<()> {
    let large = TableSize { request_classes: asked.request_classes, tenants: asked.tenants };
    let count = asked.rates.len();
    let mut sides = [Side::new(asked.small, count), Side::new(large, count)];
    let straight = || Straight { latency_us: latency_histogram(), send_delay_us: latency_histogram() };
    let mut straights: Vec<Straight> = asked.rates.iter().map(|_| straight()).collect();
    for round in 0..asked.rounds {
        for side in &mut sides {
            turn(asked, side, &mut straights, round)
                .with_context(|| format!("{} tables, round {}", side.size, round + 1))?;
        }
    }
    println!("{}", path_tables(asked, &sides, &straights)?);
    asked.save(path_points(asked, &sides))
}

/// A fresh server of one size under each of the rates.
fn turn(
    asked: &PathArguments,
    side: &mut Side,
    straights: &mut [Straight],
    round: u32,
) -> anyhow::Result<()> {
    let server = asked.start(side.size)?;
    server.wait_until_serving()?;
    let mut plays = 0;
    let mut next = || {
        plays += 1;
        plays
    };
    let through = |play_no: u32, plan: &[Arrival]| -> anyhow::Result<LoadResult> {
        let wire: Arc<dyn WireProtocol> = Arc::new(GatewayProtocol::new(play_no, asked.body_bytes));
        run_plan(&wire, server.address, plan, asked.connections, LAST_ANSWER_TIMEOUT)
    };
    let warm = asked.rates.iter().copied().fold(0.0, f64::max);
    through(next(), &asked.plan(side.size, warm, WARM_UP, u64::MAX)?)?;
    std::thread::sleep(SETTLE);
    let rest = server.idle_cpu_share(StdDuration::from_secs_f64(asked.rest_seconds))?;
    side.rest.push(rest);
    let (mut used, mut requests) = (0.0, 0);
    for (i, rate) in asked.rates.iter().enumerate() {
        let part = (u64::from(round) << 8) | i as u64;
        let plan = asked.plan(
            side.size,
            *rate,
            Duration::from_secs(asked.seconds / f64::from(asked.rounds)),
            part,
        )?;
        let usual = straight(asked, side.size, *rate, part)?;
        straights[i].latency_us.add(&usual.latency_us)?;
        straights[i].send_delay_us.add(&usual.send_delay_us)?;
        let from = server.cpu_time()?;
        let played = through(next(), &plan)?;
        let cpu = (server.cpu_time()? - from).as_secs_f64() - rest * played.duration.as_secs_f64();
        used += cpu;
        requests += played.tally.planned;
        let cell = &mut side.cells[i];
        cell.cpu += StdDuration::from_secs_f64(cpu.max(0.0));
        cell.tally.add(&played.tally);
        cell.added_us.add(added_latency(&played.latency_us, &usual.latency_us))?;
    }
    side.rounds.push(used * 1e6 / f64::from(u32::try_from(requests)?.max(1)));
    side.memory = server.memory()?;
    side.cpu[0] += server.cpu_time()?;
    side.cpu[1] += server.cpu_time_by_stat()?;
    Ok(())
}

/// The same arrivals, without a server between this tool and a stand-in runtime.
fn straight(asked: &PathArguments, size: TableSize, rate: f64, part: u64) -> anyhow::Result<LoadResult> {
    let length = Duration::from_secs((asked.seconds / f64::from(asked.rounds)).min(MAX_STRAIGHT.secs()));
    let plan = asked.plan(size, rate, length, part)?;
    let runtime = start_worker(asked.run_ms);
    let wire: Arc<dyn WireProtocol> = Arc::new(WorkerProtocol::new(1, asked.body_bytes));
    run_plan(&wire, runtime.address, &plan, 1, LAST_ANSWER_TIMEOUT)
}
