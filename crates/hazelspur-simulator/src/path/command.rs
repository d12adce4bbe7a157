//! The command line of `path`, what is played when, and the tables.

use crate::path::figures::{Point, Study, added, ms};
use crate::path::load::{Played, Tally, Wire, histogram, play};
use crate::path::plan::{Arrival, Met, TableSize, arrivals, distinct};
use crate::path::process::{Memory, Server, runtime, watch};
use crate::path::wires::{GatewayWire, RuntimeWire};
use anyhow::{Context, ensure};
use clap::Args;
use comfy_table::{Table, presets};
use hazelspur::Duration;
use hdrhistogram::Histogram;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration as StdDuration;

/// How long the last answers of a play are waited for: longer than any request's timeout.
const PATIENCE: StdDuration = StdDuration::from_millis(3200);
/// Played first and not counted, so that connections, code and allocator are warm.
const WARM_UP: Duration = Duration::from_ms(1000);
/// The longest play straight to the runtime.
const STRAIGHT: Duration = Duration::from_ms(2000);
/// After a start, before the rest is measured.
const SETTLE: StdDuration = StdDuration::from_millis(700);
const SMALL: TableSize = TableSize { request_classes: 87, tenants: 420 };
const LARGE: TableSize = TableSize { request_classes: 8700, tenants: 42_000 };
const MAX_ROUNDS: u32 = 20;
const MAX_RATES: usize = 16;
/// Where more than this share was answered otherwise than by a run, times are no times of runs.
const OTHERWISE: f64 = 0.01;
/// A figure of the issue: what one request costs may grow by so much with the tables.
const LOOKUP_RATIO: f64 = 1.2;

#[derive(Args, Clone, Debug)]
pub struct Asked {
    /// The server's program; otherwise the one beside this.
    #[arg(long)]
    pub server: Option<PathBuf>,
    /// Request classes of the large tables.
    #[arg(long, default_value_t = LARGE.request_classes)]
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

impl Asked {
    fn program(&self) -> anyhow::Result<PathBuf> {
        let beside = std::env::current_exe()?.with_file_name("hazelspur-server");
        let program = self.server.clone().unwrap_or(beside);
        ensure!(program.exists(), "{program:?} is not there: build it, or name it by --server");
        Ok(program)
    }

    fn start(&self, size: TableSize) -> anyhow::Result<Server> {
        Server::start(&self.program()?, size, self.servers, self.run_ms, self.seed, None)
    }

    /// One whose settings change while it runs.
    fn start_changing(&self, size: TableSize) -> anyhow::Result<Server> {
        let word = Some("reload(settings = True)\n");
        Server::start(&self.program()?, size, self.servers, self.run_ms, self.seed, word)
    }

    fn plan(&self, size: TableSize, rate: f64, length: Duration, part: u64) -> anyhow::Result<Vec<Arrival>> {
        let met = Met { request_classes: self.met_op_types, tenants: self.met_tenants };
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(part);
        arrivals(size, met, rate, length, seed).map_err(anyhow::Error::msg)
    }

    /// What one call of this takes at most as planned, so that a play is refused rather than cut short.
    fn planned(&self) -> StdDuration {
        let rest = self.rest_seconds + SETTLE.as_secs_f64();
        let seconds = if self.cost {
            self.sizes.len() as f64 * (rest + 1.0)
        } else {
            let straight = (self.seconds / f64::from(self.rounds)).min(STRAIGHT.secs());
            let each = self.seconds + f64::from(self.rounds) * straight;
            let turn = rest + WARM_UP.secs() + 1.0;
            2.0 * (self.rates.len() as f64 * each + f64::from(self.rounds) * turn)
        };
        StdDuration::from_secs_f64(seconds.clamp(0.0, 1e6))
    }

    fn point(&self, figure: &str, case: &str, unit: &str, (by, size): (&str, f64), value: f64) -> Point {
        let [figure, case, unit, by] = [figure, case, unit, by].map(str::to_string);
        Point { figure, case, unit, by, size, seed: self.seed, value }
    }

    fn save(&self, points: Vec<Point>) -> anyhow::Result<()> {
        let Some(file) = &self.json else { return Ok(()) };
        // Without where the program and the file are, which are this machine's.
        let mut words = vec!["hazelspur-simulator path".to_string()];
        let mut told = std::env::args().skip(2);
        while let Some(word) = told.next() {
            let key = word.split('=').next().unwrap_or_default();
            if matches!(key, "--json" | "--server" | "--text") {
                told.by_ref().take(usize::from(!word.contains('='))).for_each(drop);
            } else {
                words.push(word);
            }
        }
        let command = words.join(" ");
        let text = self.text.clone().unwrap_or_else(checkout);
        let study = Study { study: "server".into(), command, text, machine: machine(), points };
        study.save(file)
    }
}

fn checkout() -> String {
    let said = Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let said = said.ok().filter(|said| said.status.success());
    said.map_or("not known".into(), |said| String::from_utf8_lossy(&said.stdout).trim().to_string())
}

fn machine() -> String {
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
pub fn run(asked: &Asked) -> anyhow::Result<()> {
    ensure!((1..=MAX_ROUNDS).contains(&asked.rounds), "1 to {MAX_ROUNDS} rounds");
    ensure!((1..=MAX_RATES).contains(&asked.rates.len()), "1 to {MAX_RATES} rates");
    ensure!(asked.seconds > 0.0 && asked.rest_seconds > 0.0, "--seconds and --rest-seconds: over 0");
    let (planned, limit) = (asked.planned(), StdDuration::from_secs(asked.limit_seconds));
    ensure!(
        planned + StdDuration::from_secs(5) <= limit,
        "this takes {} s, more than --limit-seconds {}: fewer rates, rounds, seconds or sizes",
        planned.as_secs(),
        limit.as_secs()
    );
    asked.program()?;
    watch(limit)?;
    if asked.cost { cost(asked) } else { path(asked) }
}

/// One size of tables under one rate, over all rounds.
struct Cell {
    tally: Tally,
    added_us: Histogram<u64>,
    cpu: StdDuration,
}

impl Default for Cell {
    fn default() -> Self {
        Self { tally: Tally::default(), added_us: histogram(), cpu: StdDuration::ZERO }
    }
}

impl Cell {
    fn cpu_us_per_op(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.tally.planned.max(1) as f64
    }

    /// Whether nearly all requests were run, or had no answer at all, which counts in the latency.
    fn ran(&self) -> bool {
        let Tally { refused, unknown, failed, .. } = self.tally;
        self.tally.share(refused + unknown + failed) <= OTHERWISE
    }
}

/// One size of tables, over all rounds.
struct Side {
    /// "small" and "large" are the sizes that are asked for by default; others go by their figures.
    case: String,
    size: TableSize,
    cells: Vec<Cell>,
    rest: Vec<f64>,
    /// CPU of a request in each round, in microseconds.
    rounds: Vec<f64>,
    memory: Memory,
    /// CPU of the whole lives of its servers, by their clock and by `/proc/PID/stat`.
    cpu: [StdDuration; 2],
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

    fn cpu_us_per_op(&self) -> f64 {
        let cpu: StdDuration = self.cells.iter().map(|cell| cell.cpu).sum();
        let requests: usize = self.cells.iter().map(|cell| cell.tally.planned).sum();
        cpu.as_secs_f64() * 1e6 / requests.max(1) as f64
    }

    fn ran(&self) -> bool {
        self.cells.iter().all(Cell::ran)
    }
}

struct Straight {
    latency_us: Histogram<u64>,
    late_us: Histogram<u64>,
}

fn path(asked: &Asked) -> anyhow::Result<()> {
    let large = TableSize { request_classes: asked.request_classes, tenants: asked.tenants };
    let count = asked.rates.len();
    let mut sides = [Side::new(asked.small, count), Side::new(large, count)];
    let straight = || Straight { latency_us: histogram(), late_us: histogram() };
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
fn turn(asked: &Asked, side: &mut Side, straights: &mut [Straight], round: u32) -> anyhow::Result<()> {
    let server = asked.start(side.size)?;
    server.until_serving()?;
    let mut plays = 0;
    let mut next = || {
        plays += 1;
        plays
    };
    let through = |play_no: u32, plan: &[Arrival]| -> anyhow::Result<Played> {
        let wire: Arc<dyn Wire> = Arc::new(GatewayWire::new(play_no, asked.body_bytes));
        play(&wire, server.address, plan, asked.connections, PATIENCE)
    };
    let warm = asked.rates.iter().copied().fold(0.0, f64::max);
    through(next(), &asked.plan(side.size, warm, WARM_UP, u64::MAX)?)?;
    std::thread::sleep(SETTLE);
    let rest = server.rest_share(StdDuration::from_secs_f64(asked.rest_seconds))?;
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
        straights[i].late_us.add(&usual.late_us)?;
        let from = server.cpu()?;
        let played = through(next(), &plan)?;
        let cpu = (server.cpu()? - from).as_secs_f64() - rest * played.took.as_secs_f64();
        used += cpu;
        requests += played.tally.planned;
        let cell = &mut side.cells[i];
        cell.cpu += StdDuration::from_secs_f64(cpu.max(0.0));
        cell.tally.add(&played.tally);
        cell.added_us.add(added(&played.latency_us, &usual.latency_us))?;
    }
    side.rounds.push(used * 1e6 / f64::from(u32::try_from(requests)?.max(1)));
    side.memory = server.memory()?;
    side.cpu[0] += server.cpu()?;
    side.cpu[1] += server.cpu_by_stat()?;
    Ok(())
}

/// The same arrivals, without a server between this tool and a stand-in runtime.
fn straight(asked: &Asked, size: TableSize, rate: f64, part: u64) -> anyhow::Result<Played> {
    let length = Duration::from_secs((asked.seconds / f64::from(asked.rounds)).min(STRAIGHT.secs()));
    let plan = asked.plan(size, rate, length, part)?;
    let runtime = runtime(asked.run_ms);
    let wire: Arc<dyn Wire> = Arc::new(RuntimeWire::new(1, asked.body_bytes));
    play(&wire, runtime.address, &plan, 1, PATIENCE)
}

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(head);
    table
}

fn path_tables(asked: &Asked, sides: &[Side; 2], straights: &[Straight]) -> anyhow::Result<String> {
    let mut out = String::new();
    let mut rows = table(&[
        "ops/s",
        "tables",
        "ops",
        "added p50 ms",
        "p99 ms",
        "p99.9 ms",
        "CPU us/op",
        "refused",
        "unknown",
        "failed",
        "broken",
        "unanswered",
        "unsent",
    ]);
    for (i, rate) in asked.rates.iter().enumerate() {
        for side in sides {
            let Cell { tally, added_us, .. } = &side.cells[i];
            let mut row = vec![rate.to_string(), side.size.to_string(), tally.planned.to_string()];
            row.extend([0.5, 0.99, 0.999].map(|quantile| format!("{:.3}", ms(added_us, quantile))));
            row.push(format!("{:.1}", side.cells[i].cpu_us_per_op()));
            let counts = [tally.refused, tally.unknown, tally.failed, tally.broken];
            let counts = counts.into_iter().chain([tally.unanswered, tally.unsent]);
            row.extend(counts.map(|count| format!("{:.4}", tally.share(count))));
            rows.add_row(row);
        }
    }
    out += &format!("Through one server, less the middle of those straight to the runtime:\n{rows}\n\n");
    let mut rows = table(&["ops/s", "straight p50 ms", "p99 ms", "p99.9 ms", "sent late p50 ms", "p99 ms"]);
    for (rate, Straight { latency_us, late_us }) in asked.rates.iter().zip(straights) {
        let mut row = vec![rate.to_string()];
        row.extend([0.5, 0.99, 0.999].map(|quantile| format!("{:.3}", ms(latency_us, quantile))));
        row.extend([0.5, 0.99].map(|quantile| format!("{:.3}", ms(late_us, quantile))));
        rows.add_row(row);
    }
    out += &format!("Straight to the runtime, what this tool takes among it:\n{rows}\n\n");
    let mut rows = table(&[
        "tables",
        "op types met",
        "tenants met",
        "CPU us/op",
        "rest, share of a core",
        "anon MB after",
        "peak MB",
        "CPU s by clock",
        "by stat",
    ]);
    for side in sides {
        let mut met = Vec::new();
        for (round, i) in (0..asked.rounds).flat_map(|r| (0..asked.rates.len()).map(move |i| (r, i))) {
            let length = Duration::from_secs(asked.seconds / f64::from(asked.rounds));
            met.extend(asked.plan(side.size, asked.rates[i], length, (u64::from(round) << 8) | i as u64)?);
        }
        let (request_classes, tenants) = distinct(&met);
        let rest = side.rest.iter().sum::<f64>() / side.rest.len().max(1) as f64;
        rows.add_row([
            side.size.to_string(),
            request_classes.to_string(),
            tenants.to_string(),
            format!("{:.1}", side.cpu_us_per_op()),
            format!("{rest:.4}"),
            format!("{:.1}", side.memory.anon_bytes as f64 / 1e6),
            format!("{:.1}", side.memory.peak_bytes as f64 / 1e6),
            format!("{:.2}", side.cpu[0].as_secs_f64()),
            format!("{:.2}", side.cpu[1].as_secs_f64()),
        ]);
    }
    out += &format!("All rates together:\n{rows}\n\n");
    let mut rows = table(&["ops/s", "CPU of an op", "p50", "p99", "p99.9"]);
    let [small, large] = sides;
    for (i, rate) in asked.rates.iter().enumerate() {
        let (s, l) = (&small.cells[i], &large.cells[i]);
        let mut row = vec![rate.to_string(), format!("{:.2}", l.cpu_us_per_op() / s.cpu_us_per_op())];
        let ratio = |quantile| ms(&l.added_us, quantile) / ms(&s.added_us, quantile);
        row.extend([0.5, 0.99, 0.999].map(|quantile| format!("{:.2}", ratio(quantile))));
        rows.add_row(row);
    }
    let rounds: Vec<String> =
        large.rounds.iter().zip(&small.rounds).map(|(l, s)| format!("{:.2}", l / s)).collect();
    let whole = large.cpu_us_per_op() / small.cpu_us_per_op();
    let verdict = match (small.ran() && large.ran(), whole <= LOOKUP_RATIO) {
        (false, _) => "not comparable, too many ops were answered otherwise than by a run; asked is".into(),
        (true, true) => format!("{whole:.2}, within"),
        (true, false) => format!("{whole:.2}, OVER"),
    };
    out += &format!("Large over small:\n{rows}\nCPU of an op over all rates: {verdict} {LOOKUP_RATIO}");
    out += &format!("; by rounds {}", rounds.join(" "));
    Ok(out)
}

fn path_points(asked: &Asked, sides: &[Side; 2]) -> Vec<Point> {
    let mut points = Vec::new();
    for side in sides {
        let tenants = ("tenants", side.size.tenants as f64);
        for (cell, rate) in side.cells.iter().zip(&asked.rates) {
            let at = ("rate_per_s", *rate);
            let quantiles = [("p50_ms", 0.5), ("p99_ms", 0.99), ("p999_ms", 0.999)];
            for (name, quantile) in quantiles.into_iter().filter(|_| cell.ran()) {
                let value = ms(&cell.added_us, quantile);
                points.push(asked.point(&format!("path.added.{name}"), &side.case, "ms", at, value));
            }
            points.push(asked.point("path.ops", &side.case, "ops", at, cell.tally.planned as f64));
            let Tally { refused, unknown, failed, broken, unanswered, unsent, .. } = cell.tally;
            for (name, count) in [
                ("refused", refused),
                ("unknown", unknown),
                ("failed", failed + broken),
                ("unanswered", unanswered + unsent),
            ] {
                let share = cell.tally.share(count);
                points.push(asked.point(&format!("path.{name}.share"), &side.case, "share", at, share));
            }
            if cell.ran() {
                let cpu = cell.cpu_us_per_op();
                points.push(asked.point("path.rate.cpu_us_per_op", &side.case, "us", at, cpu));
            }
        }
        let size = side.size.to_string();
        if side.ran() {
            points.push(asked.point("path.cpu_us_per_op", &size, "us", tenants, side.cpu_us_per_op()));
        }
        let anon = side.memory.anon_bytes as f64;
        points.push(asked.point("path.memory.anon_bytes", &size, "B", tenants, anon));
    }
    let [small, large] = sides;
    if !(small.ran() && large.ran()) {
        return points;
    }
    let tenants = ("tenants", large.size.tenants as f64);
    let whole = large.cpu_us_per_op() / small.cpu_us_per_op();
    points.push(asked.point("path.lookup_ratio", "cpu", "ratio", tenants, whole));
    for (i, rate) in asked.rates.iter().enumerate() {
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let ratio = ms(&large.cells[i].added_us, quantile) / ms(&small.cells[i].added_us, quantile);
            let case = format!("{name} at {rate}/s");
            points.push(asked.point("path.lookup_ratio", &case, "ratio", tenants, ratio));
        }
    }
    points
}

fn cost(asked: &Asked) -> anyhow::Result<()> {
    let mut rows = table(&[
        "op types x tenants",
        "file MB",
        "serving after s",
        "CPU of the start s",
        "anon MB",
        "resident MB",
        "peak MB",
        "rest, share of a core",
        "last op type",
        "last tenant",
        "both",
    ]);
    let mut reloads = table(&[
        "op types x tenants",
        "CPU of a reload s",
        "longest until it holds s",
        "longest health check meanwhile s",
        "anon MB after",
        "peak MB",
    ]);
    let mut points = Vec::new();
    for size in &asked.sizes {
        let server = asked.start(*size)?;
        let (after, cpu) = server.until_serving().with_context(|| format!("{size} tables"))?;
        std::thread::sleep(SETTLE);
        let rest = server.rest_share(StdDuration::from_secs_f64(asked.rest_seconds))?;
        let memory = server.memory()?;
        let (request_class, tenant) = (size.request_classes - 1, size.tenants - 1);
        let probes = [(request_class, 0), (0, tenant), (request_class, tenant)];
        let answers = probes.map(|(request_class, tenant)| server.probe(request_class, tenant));
        let mb = |bytes: u64| format!("{:.2}", bytes as f64 / 1e6);
        let mut row = vec![size.to_string(), mb(server.file_bytes), format!("{:.3}", after.as_secs_f64())];
        row.push(format!("{:.3}", cpu.as_secs_f64()));
        row.extend([memory.anon_bytes, memory.resident_bytes, memory.peak_bytes].map(mb));
        row.push(format!("{rest:.4}"));
        row.extend(answers);
        rows.add_row(row);
        let (case, by) = (size.to_string(), ("tenants", size.tenants as f64));
        for (figure, unit, value) in [
            ("server.memory.anon_bytes", "B", memory.anon_bytes as f64),
            ("server.memory.resident_bytes", "B", memory.resident_bytes as f64),
            ("server.memory.peak_bytes", "B", memory.peak_bytes as f64),
            ("server.start.cpu_s", "s", cpu.as_secs_f64()),
            ("server.start.s", "s", after.as_secs_f64()),
            ("server.rest.cpu_share", "share", rest),
            ("server.file_bytes", "B", server.file_bytes as f64),
        ] {
            points.push(asked.point(figure, &case, unit, by, value));
        }
        drop(server);
        if asked.reloads > 0 {
            let server = asked.start_changing(*size)?;
            server.until_serving().with_context(|| format!("{size} tables"))?;
            let (mut took, mut cpu, mut stall) = (StdDuration::ZERO, StdDuration::ZERO, StdDuration::ZERO);
            for n in 0..asked.reloads {
                let (each, its_cpu, its_stall) = server.reload(n)?;
                (took, cpu, stall) = (took.max(each), cpu + its_cpu, stall.max(its_stall));
            }
            let (each, took) = (cpu.as_secs_f64() / f64::from(asked.reloads), took.as_secs_f64());
            let stall = stall.as_secs_f64();
            let memory = server.memory()?;
            let times = [each, took, stall].map(|secs| format!("{secs:.4}"));
            let memories = [memory.anon_bytes, memory.peak_bytes].map(mb);
            reloads.add_row([vec![case.clone()], times.to_vec(), memories.to_vec()].concat());
            points.push(asked.point("server.reload.stall_s", &case, "s", by, stall));
            points.push(asked.point("server.reload.anon_bytes", &case, "B", by, memory.anon_bytes as f64));
            points.push(asked.point("server.reload.cpu_s", &case, "s", by, each));
            points.push(asked.point("server.reload.s", &case, "s", by, took));
            points.push(asked.point("server.reload.peak_bytes", &case, "B", by, memory.peak_bytes as f64));
        }
    }
    if asked.reloads > 0 {
        println!("One server whose file changes by one tenant, {} times:\n{reloads}", asked.reloads);
    }
    println!("One server that nothing is asked of, beside runtime and control plane:\n{rows}");
    asked.save(points)
}
