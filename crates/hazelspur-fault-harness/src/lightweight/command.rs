//! The subcommand `hollow`: runs one fleet size after the other, prints a table, and writes the measured
//! figures to a file.

use super::{Outcome, Plan, figures, process_usage, run};
use anyhow::Context;
use serde_json::{Value, json};
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Hidden subcommand with which the program serves lightweight members.
pub const MEMBERS_SUBCOMMAND: &str = "hollow-members";
/// Name of the study in the file of figures.
const STUDY_NAME: &str = "hollow";

/// Options of `hollow`.
#[derive(clap::Args, Debug)]
pub struct Options {
    /// Number of members, real and lightweight.
    #[arg(long, default_value_t = 100)]
    members: usize,
    /// Numbers of members to run one after the other, as in 100,200,400,810, instead of --members.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Number of members that are real servers.
    #[arg(long, default_value_t = 24)]
    real: usize,
    /// Number of lightweight members in each process.
    #[arg(long, default_value_t = 200)]
    per_process: usize,
    /// Seconds from the start to the end of the measuring window; a run takes longer if the members agree
    /// late.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Length of the measuring window at the end of a run, in seconds.
    #[arg(long, default_value_t = 25)]
    window: u64,
    /// Shortest time from agreement to the measuring window, in seconds.
    #[arg(long, default_value_t = 5)]
    settle: u64,
    /// Longest time until all real members show all members as alive, in seconds.
    #[arg(long, default_value_t = 60)]
    agree_within: u64,
    /// Time over which the starts of the members are spread, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    spread_ms: u64,
    /// Requests per second to all real members together.
    #[arg(long, default_value_t = 24.0)]
    rate: f64,
    /// Seed of everything random.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of lightweight members that never send anything, to check that they are reported as missing.
    #[arg(long, default_value_t = 0)]
    silent: usize,
    /// File for the measured figures; figures of other sizes or seeds that it holds stay.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Revision of the measured sources, for the file of figures; by default the commit that git reports
    /// here.
    #[arg(long)]
    text: Option<String>,
    /// Server program; by default `hazelspur-server` in the folder of this program.
    #[arg(long)]
    server: Option<PathBuf>,
}

impl Options {
    /// Runs all sizes and prints their figures. Returns whether all members agreed in each of them.
    ///
    /// # Errors
    /// Returns an error if an option is out of its bounds, or a run or the file of figures fails.
    pub fn run(self) -> anyhow::Result<bool> {
        let own_binary = std::env::current_exe()?;
        let server_binary = self.server.clone().unwrap_or(own_binary.with_file_name("hazelspur-server"));
        anyhow::ensure!(
            server_binary.exists(),
            "server program {server_binary:?} does not exist: build it, or name another with --server"
        );
        anyhow::ensure!(
            self.window <= self.seconds,
            "--window {} is longer than --seconds {}",
            self.window,
            self.seconds
        );
        let stop = Arc::new(AtomicBool::new(false));
        stop_on_signal(stop.clone());
        let plan = |members| Plan {
            server_binary: server_binary.clone(),
            own_binary: own_binary.clone(),
            members,
            real: self.real,
            per_process: self.per_process,
            spread: Duration::from_millis(self.spread_ms),
            agree_within: Duration::from_secs(self.agree_within),
            settle: Duration::from_secs(self.settle),
            window: Duration::from_secs(self.window),
            duration: Duration::from_secs(self.seconds),
            rate: self.rate,
            seed: self.seed,
            silent: self.silent,
            stop: stop.clone(),
        };
        let sizes = if self.sizes.is_empty() { vec![self.members] } else { self.sizes.clone() };
        let plans: Vec<Plan> = sizes.into_iter().map(plan).collect();
        // All plans are checked before the first one runs.
        let limit = process_usage::descriptor_limit()?;
        plans.iter().try_for_each(|plan| plan.check(limit))?;
        let mut outcomes: Vec<Outcome> = Vec::new();
        for plan in &plans {
            let outcome = run(plan, &mut |_| ControlFlow::Continue(()))?;
            println!("{}", figures::describe(&outcome));
            if let Some(path) = &self.json {
                self.write_points(path, &outcome).with_context(|| path.display().to_string())?;
            }
            outcomes.push(outcome);
        }
        println!("{}", figures::table(&outcomes));
        Ok(outcomes.iter().all(|outcome| outcome.agreed_after.is_some()))
    }

    /// Writes the figures of one size to the file of figures, in place of those of the same size and seed.
    fn write_points(&self, path: &Path, outcome: &Outcome) -> anyhow::Result<()> {
        let existing = match std::fs::read(path) {
            Ok(bytes) => serde_json::from_slice::<Value>(&bytes)?,
            Err(_) => Value::Null,
        };
        let mut points: Vec<Value> = existing["points"].as_array().cloned().unwrap_or_default();
        points.retain(|point| point["size"] != outcome.members || point["seed"] != self.seed);
        points.extend(figures::points(outcome, self.seed));
        points.sort_by_key(|point| point["size"].as_u64());
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let command = format!("cargo run --release -p hazelspur-fault-harness -- {}", arguments.join(" "));
        let cores = std::thread::available_parallelism()?;
        let gib = (process_usage::machine_memory_bytes()? as f64 / f64::from(1 << 30)).round();
        let text = self.text.clone().or_else(git_revision).unwrap_or("not known".into());
        let fields = json!({
            "study": STUDY_NAME,
            "command": joined(&existing["command"], command),
            "text": joined(&existing["text"], text),
            "machine": format!("{cores} cores, {gib} GiB; real processes and hollow members on loopback"),
        });
        // Each point has its own line, so that a diff shows which of them changed.
        let mut header = serde_json::to_string(&fields)?;
        header.truncate(header.len() - 1);
        let points: Vec<String> = points.iter().map(Value::to_string).collect();
        Ok(std::fs::write(path, format!("{header},\"points\":[\n{}\n]}}\n", points.join(",\n")))?)
    }
}

/// Appends a text to the existing ones unless it is there already: several runs, such as one for each size,
/// may write one file.
fn joined(existing: &Value, new: String) -> String {
    match existing.as_str() {
        Some(old) if old.split("; ").any(|old| old == new) => old.into(),
        Some(old) => format!("{old}; {new}"),
        None => new,
    }
}

/// Returns the abbreviated commit of the current folder; `None` if git reports none.
fn git_revision() -> Option<String> {
    let output = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output().ok()?;
    let revision = String::from_utf8(output.stdout).ok()?.trim().to_string();
    (output.status.success() && !revision.is_empty()).then_some(revision)
}

/// Starts a thread that sets `stop` at the first SIGINT or SIGTERM, which ends the run and all its processes.
fn stop_on_signal(stop: Arc<AtomicBool>) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(async {
            let (mut int, mut term) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
            tokio::select! {
                _ = int.recv() => {}
                _ = term.recv() => {}
            }
            stop.store(true, Ordering::Relaxed);
            std::io::Result::Ok(())
        })
    });
}
