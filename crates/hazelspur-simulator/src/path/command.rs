//! The subcommand `path`: its arguments, the check that the planned runs fit the time limit, and the file
//! that the measured points are saved to.

use crate::path::cost::measure_costs;
use crate::path::figures::{Point, Study};
use crate::path::plan::{Arrival, DistinctEntries, TableSize, arrivals};
use crate::path::process::{Server, ServerOptions, end_servers_on_signal_or_after};
use crate::path::rounds::measure_path;
use anyhow::ensure;
use clap::Args;
use hazelspur::Duration;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration as StdDuration;

/// Duration of the unmeasured load before the measured one, so that connections, code and allocator are warm.
pub(super) const WARM_UP: Duration = Duration::from_ms(1000);
/// Longest run directly against the worker test double.
pub(super) const MAX_DIRECT_DURATION: Duration = Duration::from_ms(2000);
/// Pause before the CPU time of an idle server is measured, so that start-up or warm-up work is over.
pub(super) const SETTLING_PERIOD: StdDuration = StdDuration::from_millis(700);
/// Default size of the small tables.
pub(super) const SMALL: TableSize = TableSize { request_classes: 87, tenants: 420 };
/// Default size of the large tables.
pub(super) const LARGE: TableSize = TableSize { request_classes: 8700, tenants: 42_000 };
const MAX_ROUNDS: u32 = 20;
const MAX_RATES: usize = 16;
/// Least time between the planned end and the time limit.
const LIMIT_MARGIN: StdDuration = StdDuration::from_secs(5);
/// Operator's file that lets a server reload its settings while it runs.
const RELOADING_OPERATOR_FILE: &str = "reload(settings = True)\n";

/// Arguments of `hazelspur-simulator path`.
#[derive(Args, Clone, Debug)]
pub struct PathArguments {
    /// Program of the server; by default `hazelspur-server` in the directory of this program.
    #[arg(long)]
    pub server: Option<PathBuf>,
    /// Request classes of the large tables.
    #[arg(long = "op-types", default_value_t = LARGE.request_classes)]
    pub request_classes: usize,
    /// Tenants of the large tables.
    #[arg(long, default_value_t = LARGE.tenants)]
    pub tenants: usize,
    /// Size of the small tables, as request classes x tenants.
    #[arg(long, default_value_t = SMALL)]
    pub small: TableSize,
    /// Number of distinct request classes that requests use, spread evenly over the tables; all by
    /// default.
    #[arg(long)]
    pub met_op_types: Option<usize>,
    /// Number of distinct tenants that requests use, spread evenly over the tables; all by default.
    #[arg(long)]
    pub met_tenants: Option<usize>,
    /// Request rates to measure, in requests a second. The defaults are one server's part of 120,000 requests
    /// a second over 810 servers with 6, 5 and 3 zones in service.
    #[arg(long, value_delimiter = ',', default_value = "148,178,296")]
    pub rates: Vec<f64>,
    /// Duration of the load at each rate for each table size, over all rounds, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Number of rounds; each starts a new server with the small tables, then one with the large tables.
    #[arg(long, default_value_t = 2)]
    pub rounds: u32,
    /// Number of gateway connections, each with at most 32 open requests.
    #[arg(long, default_value_t = 8)]
    pub connections: usize,
    /// Time that the worker test double takes for a request, in ms; it answers at once for 0.
    #[arg(long, default_value_t = 0)]
    pub run_ms: u64,
    /// Size of a request's body in bytes, rounded down to a multiple of 3.
    #[arg(long, default_value_t = 201)]
    pub body_bytes: usize,
    /// Measures the cost of a server without requests, by table size.
    #[arg(long)]
    pub cost: bool,
    /// Table sizes for `--cost`, as request classes x tenants.
    #[arg(long, value_delimiter = ',', default_value = "87x420,870x4200,2000x10000,4000x20000,8700x42000")]
    pub sizes: Vec<TableSize>,
    /// With `--cost`: number of reloads measured on another server of each size; each changes one tenant's
    /// quota in the configuration file. Needs a server that knows `reload(...)` in the operator's file.
    #[arg(long, default_value_t = 0)]
    pub reloads: u32,
    /// Time over which the CPU time of an idle server is measured, in seconds.
    #[arg(long, default_value_t = 3.0)]
    pub rest_seconds: f64,
    /// Number of servers in the fleet according to the settings.
    #[arg(long, default_value_t = 810)]
    pub servers: usize,
    /// Seed of the arrivals and of the settings.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Time limit in seconds, after which all servers are killed and the command ends with status 3.
    #[arg(long, default_value_t = 170)]
    pub limit_seconds: u64,
    /// JSON file for the measured points. Points in it that this run does not measure stay, unless they come
    /// from another build or machine.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Name of the source version that the server was built from; by default the commit of this checkout.
    #[arg(long)]
    pub text: Option<String>,
}

impl PathArguments {
    fn program(&self) -> anyhow::Result<PathBuf> {
        let default_program = std::env::current_exe()?.with_file_name("hazelspur-server");
        let program = self.server.clone().unwrap_or(default_program);
        ensure!(
            program.exists(),
            "server program {program:?} does not exist: build it, or name it by --server"
        );
        Ok(program)
    }

    pub(super) fn start(&self, size: TableSize) -> anyhow::Result<Server> {
        self.start_with(size, None)
    }

    /// Starts a server that reloads its settings while it runs.
    pub(super) fn start_reloading(&self, size: TableSize) -> anyhow::Result<Server> {
        self.start_with(size, Some(RELOADING_OPERATOR_FILE))
    }

    fn start_with(&self, size: TableSize, operator_file: Option<&str>) -> anyhow::Result<Server> {
        let program = self.program()?;
        let Self { servers, run_ms, seed, .. } = *self;
        Server::start(&ServerOptions { program: &program, size, servers, run_ms, seed, operator_file })
    }

    pub(super) fn plan(
        &self,
        size: TableSize,
        rate: f64,
        length: Duration,
        seed_offset: u64,
    ) -> anyhow::Result<Vec<Arrival>> {
        let distinct = DistinctEntries { request_classes: self.met_op_types, tenants: self.met_tenants };
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(seed_offset);
        Ok(arrivals(size, distinct, rate, length, seed)?)
    }

    /// Estimates how long the whole command takes at most, so that a plan over the time limit is rejected
    /// before the start and not cut short.
    fn planned_duration(&self) -> StdDuration {
        let idle = self.rest_seconds + SETTLING_PERIOD.as_secs_f64();
        let seconds = if self.cost {
            self.sizes.len() as f64 * (idle + 1.0)
        } else {
            let direct = (self.seconds / f64::from(self.rounds)).min(MAX_DIRECT_DURATION.secs());
            let per_rate = self.seconds + f64::from(self.rounds) * direct;
            let round_overhead = idle + WARM_UP.secs() + 1.0;
            2.0 * (self.rates.len() as f64 * per_rate + f64::from(self.rounds) * round_overhead)
        };
        StdDuration::from_secs_f64(seconds.clamp(0.0, 1e6))
    }

    pub(super) fn point(
        &self,
        figure: &str,
        case: &str,
        unit: &str,
        (by, size): (&str, f64),
        value: f64,
    ) -> Point {
        let [figure, case, unit, by] = [figure, case, unit, by].map(str::to_string);
        Point { figure, case, unit, by, size, seed: self.seed, value }
    }

    pub(super) fn save(&self, points: Vec<Point>) -> anyhow::Result<()> {
        let Some(file) = &self.json else { return Ok(()) };
        // Leaves out the paths of the program and of the file, which differ between machines, and `--text`,
        // which is saved on its own.
        let mut kept_words = vec!["hazelspur-simulator path".to_string()];
        let mut arguments = std::env::args().skip(2);
        while let Some(word) = arguments.next() {
            let name = word.split('=').next().unwrap_or_default();
            if matches!(name, "--json" | "--server" | "--text") {
                arguments.by_ref().take(usize::from(!word.contains('='))).for_each(drop);
            } else {
                kept_words.push(word);
            }
        }
        let command = kept_words.join(" ");
        let text = self.text.clone().unwrap_or_else(checkout_commit);
        let study = Study { study: "server".into(), command, text, machine: describe_machine(), points };
        study.save(file)
    }
}

fn checkout_commit() -> String {
    let output = Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let output = output.ok().filter(|output| output.status.success());
    output.map_or("not known".into(), |output| String::from_utf8_lossy(&output.stdout).trim().to_string())
}

fn describe_machine() -> String {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let kb = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kb: f64 = kb.and_then(|kb| kb.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0.0);
    format!("{cores} cores, {:.0} GiB; real process on loopback", kb / (1024.0 * 1024.0))
}

/// Runs the measurements, prints the tables, and saves the points.
///
/// # Errors
/// Returns an error if an argument is out of range, the planned duration exceeds the time limit, the server's
/// program is missing or does not become ready, or the points cannot be saved.
pub fn run(arguments: &PathArguments) -> anyhow::Result<()> {
    ensure!(
        (1..=MAX_ROUNDS).contains(&arguments.rounds),
        "--rounds is {}, allowed are 1 to {MAX_ROUNDS}",
        arguments.rounds
    );
    ensure!(
        (1..=MAX_RATES).contains(&arguments.rates.len()),
        "--rates has {} entries, allowed are 1 to {MAX_RATES}",
        arguments.rates.len()
    );
    ensure!(
        arguments.seconds > 0.0 && arguments.rest_seconds > 0.0,
        "--seconds is {} and --rest-seconds is {}, both must be over 0",
        arguments.seconds,
        arguments.rest_seconds
    );
    let (planned_duration, limit) =
        (arguments.planned_duration(), StdDuration::from_secs(arguments.limit_seconds));
    ensure!(
        planned_duration + LIMIT_MARGIN <= limit,
        "planned duration of {} s plus a margin of {} s exceeds --limit-seconds {}: \
         use fewer rates, rounds, seconds or sizes",
        planned_duration.as_secs(),
        LIMIT_MARGIN.as_secs(),
        limit.as_secs()
    );
    arguments.program()?;
    end_servers_on_signal_or_after(limit)?;
    if arguments.cost { measure_costs(arguments) } else { measure_path(arguments) }
}
