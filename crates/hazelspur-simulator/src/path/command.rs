//! The subcommand `path`: its arguments, the check that its plan fits the time limit, and the study's file.

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

/// Requests before the measured ones, so that connections, code and allocator are warm.
pub(super) const WARM_UP: Duration = Duration::from_ms(1000);
/// The longest play straight to the runtime.
pub(super) const MAX_DIRECT_DURATION: Duration = Duration::from_ms(2000);
/// After a start, before the rest is measured.
pub(super) const SETTLING_PERIOD: StdDuration = StdDuration::from_millis(700);
/// Sizes of the small tables.
pub(super) const SMALL: TableSize = TableSize { request_classes: 87, tenants: 420 };
/// Sizes of the large tables.
pub(super) const LARGE: TableSize = TableSize { request_classes: 8700, tenants: 42_000 };
/// The greatest number of rounds.
const MAX_ROUNDS: u32 = 20;
/// The greatest number of rates.
const MAX_RATES: usize = 16;
/// Time between the end of the plan and the time limit.
const LIMIT_MARGIN: StdDuration = StdDuration::from_secs(5);
/// The operator's file of a server whose settings change while it runs.
const RELOADING_OPERATOR_FILE: &str = "reload(settings = True)\n";

#[derive(Args, Clone, Debug)]
pub struct PathArguments {
    /// The server's program; otherwise the one beside this.
    #[arg(long)]
    pub server: Option<PathBuf>,
    /// Request classes of the large tables.
    #[arg(long = "op-types", default_value_t = LARGE.request_classes)]
    pub request_classes: usize,
    /// Tenants of the large tables.
    #[arg(long, default_value_t = LARGE.tenants)]
    pub tenants: usize,
    /// The small tables beside the large ones.
    #[arg(long, default_value_t = SMALL)]
    pub small: TableSize,
    /// Different request classes that are met, spread over the whole table; all without it.
    #[arg(long)]
    pub met_op_types: Option<usize>,
    /// Different tenants that are met.
    #[arg(long)]
    pub met_tenants: Option<usize>,
    /// Requests a second: one server's part of 120,000 over 810 servers at 6, 5 and 3 zones.
    #[arg(long, value_delimiter = ',', default_value = "148,178,296")]
    pub rates: Vec<f64>,
    /// How long each rate is played on each size of tables, over all rounds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Small and large tables by turns, so often, each time with a fresh server.
    #[arg(long, default_value_t = 2)]
    pub rounds: u32,
    /// Gateways' connections, each with at most 32 requests open.
    #[arg(long, default_value_t = 8)]
    pub connections: usize,
    /// What the stand-in runtime takes for a request, in ms; 0 is at once.
    #[arg(long, default_value_t = 0)]
    pub run_ms: u64,
    /// Bytes of a request's body.
    #[arg(long, default_value_t = 201)]
    pub body_bytes: usize,
    /// Measures what a server costs that nothing is asked of, by the size of its tables.
    #[arg(long)]
    pub cost: bool,
    /// Sizes for `--cost`.
    #[arg(long, value_delimiter = ',', default_value = "87x420,870x4200,2000x10000,4000x20000,8700x42000")]
    pub sizes: Vec<TableSize>,
    /// With `--cost`: another server of each size has one tenant's quota changed in its file and is told to read it
    /// again, so often. Not for a program that knows no `reload(...)` in the operator's file.
    #[arg(long, default_value_t = 0)]
    pub reloads: u32,
    /// How long a server's rest is measured.
    #[arg(long, default_value_t = 3.0)]
    pub rest_seconds: f64,
    /// Servers of the fleet, by the settings.
    #[arg(long, default_value_t = 810)]
    pub servers: usize,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// All is ended after so many seconds in any case.
    #[arg(long, default_value_t = 170)]
    pub limit_seconds: u64,
    /// Points are put into this file; those of it that this run does not measure stay.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// The text that the program was built from; otherwise this checkout's commit.
    #[arg(long)]
    pub text: Option<String>,
}

impl PathArguments {
    fn program(&self) -> anyhow::Result<PathBuf> {
        let default_program = std::env::current_exe()?.with_file_name("hazelspur-server");
        let program = self.server.clone().unwrap_or(default_program);
        ensure!(program.exists(), "{program:?} is not there: build it, or name it by --server");
        Ok(program)
    }

    pub(super) fn start(&self, size: TableSize) -> anyhow::Result<Server> {
        self.start_with(size, None)
    }

    /// One whose settings change while it runs.
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

    /// What one call of this takes at most as planned_duration, so that a play is refused rather than cut short.
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
        // Without where the program and the file are, which are this machine's.
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

/// Plays what is asked for and prints it.
///
/// # Errors
/// Where the program is missing or does not serve, or more is asked for than fits the time limit.
pub fn run(arguments: &PathArguments) -> anyhow::Result<()> {
    ensure!((1..=MAX_ROUNDS).contains(&arguments.rounds), "1 to {MAX_ROUNDS} rounds");
    ensure!((1..=MAX_RATES).contains(&arguments.rates.len()), "1 to {MAX_RATES} rates");
    ensure!(arguments.seconds > 0.0 && arguments.rest_seconds > 0.0, "--seconds and --rest-seconds: over 0");
    let (planned_duration, limit) =
        (arguments.planned_duration(), StdDuration::from_secs(arguments.limit_seconds));
    ensure!(
        planned_duration + LIMIT_MARGIN <= limit,
        "this takes {} s, more than --limit-seconds {}: fewer rates, rounds, seconds or sizes",
        planned_duration.as_secs(),
        limit.as_secs()
    );
    arguments.program()?;
    end_servers_on_signal_or_after(limit)?;
    if arguments.cost { measure_costs(arguments) } else { measure_path(arguments) }
}
