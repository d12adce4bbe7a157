//! The subcommand `hollow`: sizes one after the other, a table, and the file of measured figures.

use super::{Outcome, Plan, figures, process_usage, run};
use anyhow::Context;
use serde_json::{Value, json};
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// The subcommand by which the program serves lightweight members.
pub const MEMBERS_SUBCOMMAND: &str = "hollow-members";
/// The study's name in its file.
const STUDY_NAME: &str = "hollow";

/// Arguments of the subcommand.
#[derive(clap::Args, Debug)]
pub struct Options {
    /// All members, real and hollow.
    #[arg(long, default_value_t = 100)]
    members: usize,
    /// Sizes one after the other, as in 100,200,400,810, in place of --members.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// How many of them are real servers.
    #[arg(long, default_value_t = 24)]
    real: usize,
    /// Lightweight members of a process.
    #[arg(long, default_value_t = 200)]
    per_process: usize,
    /// From the start to the end of the window; longer where they agree late.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// The last seconds, which are measured.
    #[arg(long, default_value_t = 25)]
    window: u64,
    /// Seconds from agreement to the window, at least.
    #[arg(long, default_value_t = 5)]
    settle: u64,
    /// Seconds within which all real members are to show all as alive.
    #[arg(long, default_value_t = 60)]
    agree_within: u64,
    /// All start within so many milliseconds.
    #[arg(long, default_value_t = 1000)]
    spread_ms: u64,
    /// Requests a second of all real members together.
    #[arg(long, default_value_t = 24.0)]
    rate: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many lightweight members never say a word: planted, to see that it is told.
    #[arg(long, default_value_t = 0)]
    silent: usize,
    /// Measured figures; sizes of another run that are there already stay.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The text that was measured, for the file; otherwise what git says here.
    #[arg(long)]
    text: Option<String>,
    /// The server's program; otherwise the one beside this.
    #[arg(long)]
    server: Option<PathBuf>,
}

impl Options {
    /// Whether all sizes agreed.
    pub fn run(self) -> anyhow::Result<bool> {
        let own_binary = std::env::current_exe()?;
        let server_binary = self.server.clone().unwrap_or(own_binary.with_file_name("hazelspur-server"));
        anyhow::ensure!(
            server_binary.exists(),
            "{server_binary:?} is not there: build it, or name it by --server"
        );
        anyhow::ensure!(self.window <= self.seconds, "--window: longer than --seconds");
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
        // All of them before the first one starts.
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
        // A point a line, so that a change of one is seen.
        let mut header = serde_json::to_string(&fields)?;
        header.truncate(header.len() - 1);
        let points: Vec<String> = points.iter().map(Value::to_string).collect();
        Ok(std::fs::write(path, format!("{header},\"points\":[\n{}\n]}}\n", points.join(",\n")))?)
    }
}

/// What was there stays before what is new: a file may come of a run for each size.
fn joined(existing: &Value, new: String) -> String {
    match existing.as_str() {
        Some(old) if old.split("; ").any(|old| old == new) => old.into(),
        Some(old) => format!("{old}; {new}"),
        None => new,
    }
}

fn git_revision() -> Option<String> {
    let output = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output().ok()?;
    let revision = String::from_utf8(output.stdout).ok()?.trim().to_string();
    (output.status.success() && !revision.is_empty()).then_some(revision)
}

/// The first SIGINT or SIGTERM ends the run early, with all that it started.
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
