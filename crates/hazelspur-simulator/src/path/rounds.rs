//! Runs the rounds of `path`: each starts a new server with the small tables, then one with the large tables,
//! and measures each at all rates.

use crate::path::command::{LARGE, MAX_DIRECT_DURATION, PathArguments, SETTLING_PERIOD, SMALL, WARM_UP};
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

/// Timeout for the last answers of a run, longer than the timeout of any request.
const LAST_ANSWER_TIMEOUT: StdDuration = StdDuration::from_millis(3200);
/// Greatest share of requests rejected, unknown or failed at which latency and CPU time still count as those
/// of requests that the worker ran.
const MAX_NOT_RUN_SHARE: f64 = 0.01;

/// Result of one table size at one rate, over all rounds.
pub(super) struct RateResult {
    pub(super) counts: OutcomeCounts,
    /// Latency added by the server, in microseconds.
    pub(super) added_us: Histogram<u64>,
    /// CPU time of the server less that of an idle server.
    pub(super) cpu: StdDuration,
}

impl Default for RateResult {
    fn default() -> Self {
        Self { counts: OutcomeCounts::default(), added_us: latency_histogram(), cpu: StdDuration::ZERO }
    }
}

impl RateResult {
    pub(super) fn cpu_us_per_request(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.counts.planned.max(1) as f64
    }

    /// Returns whether nearly all requests were run by the worker. Requests without an answer count as run,
    /// because the latency contains them.
    pub(super) fn nearly_all_ran(&self) -> bool {
        let OutcomeCounts { refused, unknown, failed, .. } = self.counts;
        self.counts.share_of_planned(refused + unknown + failed) <= MAX_NOT_RUN_SHARE
    }
}

/// Result of one table size, over all rounds.
pub(super) struct SizeResult {
    /// Name of the size in the saved points: "small" and "large" for the default sizes, otherwise the size
    /// itself.
    pub(super) case: String,
    pub(super) size: TableSize,
    /// Results in the order of `--rates`.
    pub(super) by_rate: Vec<RateResult>,
    /// CPU share of the idle server in each round.
    pub(super) idle_cpu_shares: Vec<f64>,
    /// CPU time of a request in each round, in microseconds.
    pub(super) cpu_us_per_request_by_round: Vec<f64>,
    /// Memory at the end of the last round.
    pub(super) memory: Memory,
    /// CPU time of its servers over their whole lives: from the CPU clock, and from `/proc/PID/stat`.
    pub(super) lifetime_cpu: [StdDuration; 2],
}

impl SizeResult {
    fn new(size: TableSize, rates: usize) -> Self {
        let by_rate = (0..rates).map(|_| RateResult::default()).collect();
        let case = match size {
            SMALL => "small".into(),
            LARGE => "large".into(),
            other => other.to_string(),
        };
        let (idle_cpu_shares, cpu_us_per_request_by_round) = (Vec::new(), Vec::new());
        Self {
            case,
            size,
            by_rate,
            idle_cpu_shares,
            cpu_us_per_request_by_round,
            memory: Memory::default(),
            lifetime_cpu: Default::default(),
        }
    }

    pub(super) fn cpu_us_per_request(&self) -> f64 {
        let cpu: StdDuration = self.by_rate.iter().map(|rate_result| rate_result.cpu).sum();
        let requests: usize = self.by_rate.iter().map(|rate_result| rate_result.counts.planned).sum();
        cpu.as_secs_f64() * 1e6 / requests.max(1) as f64
    }

    pub(super) fn nearly_all_ran(&self) -> bool {
        self.by_rate.iter().all(RateResult::nearly_all_ran)
    }
}

/// Result of direct runs against the worker test double at one rate, over all rounds.
pub(super) struct DirectResult {
    pub(super) latency_us: Histogram<u64>,
    pub(super) send_delay_us: Histogram<u64>,
}

/// Runs all rounds, prints the tables, and saves the points.
pub(super) fn measure_path(arguments: &PathArguments) -> anyhow::Result<()> {
    let large = TableSize { request_classes: arguments.request_classes, tenants: arguments.tenants };
    let count = arguments.rates.len();
    let mut size_results = [SizeResult::new(arguments.small, count), SizeResult::new(large, count)];
    let empty = || DirectResult { latency_us: latency_histogram(), send_delay_us: latency_histogram() };
    let mut direct_results: Vec<DirectResult> = arguments.rates.iter().map(|_| empty()).collect();
    for round in 0..arguments.rounds {
        for size_result in &mut size_results {
            run_round(arguments, size_result, &mut direct_results, round)
                .with_context(|| format!("{} tables, round {}", size_result.size, round + 1))?;
        }
    }
    println!("{}", path_tables(arguments, &size_results, &direct_results)?);
    arguments.save(path_points(arguments, &size_results))
}

/// Measures a new server of one table size at each rate and adds the results.
fn run_round(
    arguments: &PathArguments,
    size_result: &mut SizeResult,
    direct_results: &mut [DirectResult],
    round: u32,
) -> anyhow::Result<()> {
    let server = arguments.start(size_result.size)?;
    server.wait_until_serving()?;
    let mut runs = 0;
    let mut next_run = || {
        runs += 1;
        runs
    };
    let through_server = |run: u32, plan: &[Arrival]| -> anyhow::Result<LoadResult> {
        let protocol: Arc<dyn WireProtocol> = Arc::new(GatewayProtocol::new(run, arguments.body_bytes));
        run_plan(&protocol, server.address, plan, arguments.connections, LAST_ANSWER_TIMEOUT)
    };
    let max_rate = arguments.rates.iter().copied().fold(0.0, f64::max);
    through_server(next_run(), &arguments.plan(size_result.size, max_rate, WARM_UP, u64::MAX)?)?;
    std::thread::sleep(SETTLING_PERIOD);
    let idle_cpu_share = server.idle_cpu_share(StdDuration::from_secs_f64(arguments.rest_seconds))?;
    size_result.idle_cpu_shares.push(idle_cpu_share);
    let (mut cpu_s, mut requests) = (0.0, 0);
    for (i, rate) in arguments.rates.iter().enumerate() {
        let seed_offset = (u64::from(round) << 8) | i as u64;
        let plan = arguments.plan(
            size_result.size,
            *rate,
            Duration::from_secs(arguments.seconds / f64::from(arguments.rounds)),
            seed_offset,
        )?;
        let direct = run_direct(arguments, size_result.size, *rate, seed_offset)?;
        direct_results[i].latency_us.add(&direct.latency_us)?;
        direct_results[i].send_delay_us.add(&direct.send_delay_us)?;
        let cpu_before = server.cpu_time()?;
        let result = through_server(next_run(), &plan)?;
        let cpu =
            (server.cpu_time()? - cpu_before).as_secs_f64() - idle_cpu_share * result.duration.as_secs_f64();
        cpu_s += cpu;
        requests += result.counts.planned;
        let rate_result = &mut size_result.by_rate[i];
        rate_result.cpu += StdDuration::from_secs_f64(cpu.max(0.0));
        rate_result.counts.add(&result.counts);
        rate_result.added_us.add(added_latency(&result.latency_us, &direct.latency_us))?;
    }
    size_result.cpu_us_per_request_by_round.push(cpu_s * 1e6 / f64::from(u32::try_from(requests)?.max(1)));
    size_result.memory = server.memory()?;
    size_result.lifetime_cpu[0] += server.cpu_time()?;
    size_result.lifetime_cpu[1] += server.cpu_time_by_stat()?;
    Ok(())
}

/// Runs the same plan, at most `MAX_DIRECT_DURATION` long, directly against a worker test double without a
/// server.
fn run_direct(
    arguments: &PathArguments,
    size: TableSize,
    rate: f64,
    seed_offset: u64,
) -> anyhow::Result<LoadResult> {
    let length = Duration::from_secs(
        (arguments.seconds / f64::from(arguments.rounds)).min(MAX_DIRECT_DURATION.secs()),
    );
    let plan = arguments.plan(size, rate, length, seed_offset)?;
    let worker = start_worker(arguments.run_ms);
    let protocol: Arc<dyn WireProtocol> = Arc::new(WorkerProtocol::new(1, arguments.body_bytes));
    run_plan(&protocol, worker.address, &plan, 1, LAST_ANSWER_TIMEOUT)
}
