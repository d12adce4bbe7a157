//! The subcommand `endings`: runs the plans of many seeds, shows the progress, writes a report for each seed
//! that fails, and prints a summary.

use super::checker::{Breach, Evidence, Rule};
use super::client::Answer;
use super::instants::Instants;
use super::plan::{Action, Plan};
use super::run::play;
use clap::Args;
use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::signal::unix::SignalKind;

/// Highest number of seeds of one call.
const MAX_SEEDS: u64 = 100_000;
/// Highest number of concurrent runs.
const MAX_JOBS: usize = 16;
/// Time within which at least nine of ten restarted servers must be ready.
const MAX_READY_TIME: Duration = Duration::from_secs(10);
/// Highest number of breaches that are printed for one seed.
const MAX_PRINTED_BREACHES: usize = 5;
/// Highest number of runs for shrinking one plan.
const MAX_SHRINKING_RUNS: usize = 60;
/// Shortest time between two lines of progress if standard error is not a terminal.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(10);
/// Set by SIGINT: no further run begins, and the runs in progress don't restart their server.
static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// Options of `endings`.
#[derive(Args)]
pub struct Options {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 50)]
    pub seeds: u64,
    /// Number of concurrent runs.
    #[arg(long, default_value_t = 4)]
    pub jobs: usize,
    /// Numbers of the parts of each plan to leave out, as printed by --shrink.
    #[arg(long, value_delimiter = ',')]
    pub without: Vec<usize>,
    /// Shrinks a failing plan: leaves out its parts one by one as long as it still fails.
    #[arg(long)]
    pub shrink: bool,
    /// Folder for the reports of failing seeds.
    #[arg(long, default_value_os_t = std::env::temp_dir())]
    pub reports: PathBuf,
    /// Server program; by default `hazelspur-server` in the folder of this program.
    #[arg(long)]
    pub server: Option<PathBuf>,
}

/// Summary of all runs.
#[derive(Debug, Default)]
pub struct Summary {
    /// Number of runs that were completed.
    pub played: u64,
    /// Runs that could not be completed: seed and error of each.
    pub not_played: Vec<String>,
    /// Seeds with a breach.
    pub failed: Vec<u64>,
    /// Number of breaches by rule.
    pub breaches_by_rule: BTreeMap<Rule, usize>,
    /// Number of requests by the name of their answer; requests without an answer are not counted.
    answers: BTreeMap<&'static str, usize>,
    /// Number of requests that met each critical instant.
    instants: Instants,
    /// Number of steps of all completed runs, by kind.
    steps: BTreeMap<&'static str, usize>,
    /// Time at which progress was last shown; `None` before the first time.
    progress_shown_at: Option<Instant>,
    /// Number of completed runs, each of which restarts its server at the end.
    restarted: usize,
    /// Number of restarted servers that were ready within `MAX_READY_TIME`.
    ready_in_time: usize,
}

/// Starts a thread that sets `INTERRUPTED` at the first SIGINT.
fn watch_for_interrupt() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut interrupt = {
        let _entered = runtime.enter();
        tokio::signal::unix::signal(SignalKind::interrupt())?
    };
    std::thread::spawn(move || {
        runtime.block_on(interrupt.recv());
        INTERRUPTED.store(true, Ordering::Relaxed);
    });
    Ok(())
}

impl Options {
    /// Runs the plans of all seeds and prints the summary. Returns whether all runs were completed and all
    /// rules held.
    ///
    /// # Errors
    /// Returns an error if an option is out of its bounds, names a missing file or folder, or if SIGINT cannot be
    /// handled.
    pub fn run(self) -> anyhow::Result<bool> {
        let program = self.program()?;
        anyhow::ensure!(
            (1..=MAX_SEEDS).contains(&self.seeds),
            "--seeds {} is not from 1 to {MAX_SEEDS}",
            self.seeds
        );
        anyhow::ensure!(
            (1..=MAX_JOBS).contains(&self.jobs),
            "--jobs {} is not from 1 to {MAX_JOBS}",
            self.jobs
        );
        anyhow::ensure!(self.reports.is_dir(), "--reports {:?} is not a folder", self.reports);
        watch_for_interrupt()?;
        let summary = self.play_all(&program);
        print!("{}", summary.report(self.seeds));
        Ok(summary.passed(self.seeds))
    }

    fn program(&self) -> anyhow::Result<PathBuf> {
        let default_path = std::env::current_exe()?.with_file_name("hazelspur-server");
        let program = self.server.clone().unwrap_or(default_path);
        anyhow::ensure!(
            program.exists(),
            "--server {program:?} does not exist: build it, or name another program"
        );
        Ok(program)
    }

    fn play_all(&self, program: &Path) -> Summary {
        let next = AtomicU64::new(self.seed);
        let summary = Mutex::new(Summary::default());
        std::thread::scope(|scope| {
            for _ in 0..self.jobs {
                scope.spawn(|| {
                    while !INTERRUPTED.load(Ordering::Relaxed) {
                        let seed = next.fetch_add(1, Ordering::Relaxed);
                        if seed >= self.seed.saturating_add(self.seeds) {
                            break;
                        }
                        let plan = Plan::from_seed(seed).without(&self.without);
                        let result = play(program, &plan, &INTERRUPTED);
                        let mut summary = summary.lock().expect("no thread of the soak has panicked");
                        match result {
                            Ok(evidence) => self.record(&mut summary, program, &plan, &evidence),
                            Err(why) => summary.not_played.push(format!("seed {seed}: {why:#}")),
                        }
                        summary.show_progress(self.seeds);
                    }
                });
            }
        });
        summary.into_inner().expect("no thread of the soak has panicked")
    }

    fn record(&self, summary: &mut Summary, program: &Path, plan: &Plan, evidence: &Evidence) {
        let breaches = evidence.breaches();
        summary.add(plan, evidence, &breaches);
        if breaches.is_empty() {
            return;
        }
        summary.failed.push(plan.seed);
        let file = self.reports.join(format!("hazelspur-endings-seed-{}.txt", plan.seed));
        println!("\n{plan}\n  again: hazelspur-fault-harness endings --seed {} --seeds 1", plan.seed);
        breaches.iter().take(MAX_PRINTED_BREACHES).for_each(|breach| println!("  {breach}"));
        println!("  report: {}", file.display());
        if let Err(why) = std::fs::write(&file, failure_report(plan, evidence, &breaches)) {
            println!("  the report was not kept: {why}");
        }
        if self.shrink {
            let without = shrunk(program, plan);
            println!("  least: --seed {} --seeds 1 --without {}", plan.seed, join_numbers(&without));
        }
    }
}

/// Returns the parts that can be left out of a failing plan so that it still fails; tries them one by one,
/// from the last one.
fn shrunk(program: &Path, plan: &Plan) -> Vec<usize> {
    let mut without = Vec::new();
    for part in (0..plan.part_count()).rev().take(MAX_SHRINKING_RUNS) {
        let fewer = [&without[..], &[part]].concat();
        let still_fails = play(program, &plan.without(&fewer), &INTERRUPTED)
            .is_ok_and(|evidence| !evidence.breaches().is_empty());
        if still_fails {
            without = fewer;
        }
    }
    without
}

fn join_numbers(numbers: &[usize]) -> String {
    numbers.iter().map(usize::to_string).collect::<Vec<_>>().join(",")
}

fn failure_report(plan: &Plan, evidence: &Evidence, breaches: &[Breach]) -> String {
    let breaches: String = breaches.iter().map(|breach| format!("{breach}\n")).collect();
    let requests: String = evidence.requests().map(|sent| format!("{sent:?}\n")).collect();
    let (notice_ms, end) = (evidence.notice_ms, &evidence.end);
    format!("{plan}\n{breaches}notice {notice_ms} {end:?}\n{requests}{plan:#?}\n{}", evidence.log)
}

impl Summary {
    fn add(&mut self, plan: &Plan, evidence: &Evidence, breaches: &[Breach]) {
        self.played += 1;
        plan.steps.iter().for_each(|step| *self.steps.entry(step.action.kind()).or_default() += 1);
        breaches.iter().for_each(|breach| *self.breaches_by_rule.entry(breach.rule).or_default() += 1);
        let counts = [
            ("succeeded", evidence.count_answered(Answer::Success)),
            ("rejected", evidence.count_answered(Answer::Rejected)),
            ("failed", evidence.count_answered(Answer::Failed)),
        ];
        counts.into_iter().for_each(|(name, count)| *self.answers.entry(name).or_default() += count);
        self.instants.add(Instants::of(plan, evidence));
        self.restarted += 1;
        self.ready_in_time += usize::from(evidence.ready_after.is_some_and(|after| after <= MAX_READY_TIME));
    }

    fn show_progress(&mut self, seeds: u64) {
        let (played, failed) = (self.played + self.not_played.len() as u64, self.failed.len());
        let mut stderr = std::io::stderr();
        // Progress that cannot be written does not fail the soak.
        if stderr.is_terminal() {
            let _ = write!(stderr, "\r{played} of {seeds} seeds, {failed} failed ");
            let _ = stderr.flush();
        } else if self.progress_shown_at.is_none_or(|shown_at| shown_at.elapsed() >= PROGRESS_INTERVAL) {
            self.progress_shown_at = Some(Instant::now());
            let _ = writeln!(stderr, "{played} of {seeds} seeds, {failed} failed");
        }
    }

    /// Returns whether all seeds were run, all rules held, and nine of ten restarted servers were ready in
    /// time.
    fn passed(&self, seeds: u64) -> bool {
        let in_time = self.ready_in_time * 10 >= self.restarted * 9;
        self.played == seeds && self.failed.is_empty() && self.not_played.is_empty() && in_time
    }

    fn report(&self, seeds: u64) -> String {
        let Self {
            played,
            not_played,
            failed,
            breaches_by_rule,
            answers,
            instants,
            restarted,
            ready_in_time,
            ..
        } = self;
        let steps = Action::KINDS.map(|kind| format!("{} {kind}", self.steps.get(kind).unwrap_or(&0)));
        let answers: Vec<String> = answers.iter().map(|(name, count)| format!("{count} {name}")).collect();
        let mut text = format!(
            "\n{played} of {seeds} seeds played, {} failed {failed:?}\nrequests: {}\ninstants: {instants}\nsteps: {}\n\
             ready again within {} s: {ready_in_time} of {restarted}\n",
            failed.len(),
            answers.join(", "),
            steps.join("; "),
            MAX_READY_TIME.as_secs()
        );
        breaches_by_rule.iter().for_each(|(rule, count)| text += &format!("breaches of {rule:?}: {count}\n"));
        not_played.iter().for_each(|why| text += &format!("not played: {why}\n"));
        text
    }
}
