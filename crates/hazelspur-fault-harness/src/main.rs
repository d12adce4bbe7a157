//! Command line of the fault harness: runs a fleet on this machine under scripted faults, prints the servers'
//! views of the fleet as they change, and the verdict.

use anyhow::Context;
use clap::{Args, Parser, Subcommand};
use hazelspur_fault_harness::endings::command::Options;
use hazelspur_fault_harness::lightweight::command;
use hazelspur_fault_harness::run::{Verdict, play, summary};
use hazelspur_fault_harness::script::Script;
use hazelspur_fault_harness::test_fleet::Plan;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "hazelspur-fault-harness",
    version,
    about = "Runs many servers and injects faults between them"
)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one script, or one random script per seed; exits with status 1 if a rule is broken.
    Run(RunOptions),
    /// Runs a few real servers and many lightweight members, and reports the cost of a member by fleet size;
    /// exits with status 1 if the members did not agree on the fleet.
    #[command(name = "hollow")]
    Lightweight(command::Options),
    /// Drains one server after another while clients use their connections until the process is killed; exits
    /// with status 1 if a rule is broken.
    Endings(Options),
    /// Runs lightweight members, commanded by lines on standard input; started by `hollow`.
    #[command(name = command::MEMBERS_SUBCOMMAND, hide = true)]
    LightweightMembers,
}

/// Options of the subcommand `run`.
#[derive(Args)]
struct RunOptions {
    /// Number of servers, assigned to three sites in turn.
    #[arg(long, default_value_t = 12)]
    servers: usize,
    /// Number of gateways.
    #[arg(long, default_value_t = 4)]
    gateways: usize,
    /// Requests per second of all gateways together.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// Timed faults, as in "2+5 cut east west; 3+4 stop n4; 8+2 kill north".
    #[arg(long, conflicts_with = "seed")]
    script: Option<String>,
    /// Seed of the first random script; `--seeds` sets the number of scripts.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time within which the faults of random scripts fall, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Reduces a script that breaks a rule, by leaving out faults one by one while a rule stays broken.
    #[arg(long)]
    shrink: bool,
    /// Lets servers act on each other's load reports and share the dependency's slots by leases.
    #[arg(long = "joint")]
    coordinated: bool,
    /// Leaves out the servers' views of the fleet.
    #[arg(long)]
    quiet: bool,
    /// Path of the server binary; the default is `hazelspur-server` in the directory of this program.
    #[arg(long)]
    server: Option<PathBuf>,
}

/// Script of a run without `--script` and `--seed`: a site is cut off, a server is suspended, a site is
/// killed and a server drains. The README shows this run.
const DEFAULT_SCRIPT: &str = "2+12 cut west servers; 5+9 stop n3; 18+4 kill north; 24+3 term n1";

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> anyhow::Result<bool> {
    match CommandLine::parse().command {
        Command::Run(options) => options.run(),
        Command::Lightweight(line) => line.run(),
        Command::Endings(options) => options.run(),
        Command::LightweightMembers => hazelspur_fault_harness::lightweight::member::serve().map(|()| true),
    }
}

impl RunOptions {
    fn run(&self) -> anyhow::Result<bool> {
        let server_binary = self.server_binary()?;
        let mut all_held = true;
        for (seed, script) in self.scripts()? {
            println!("faults: {script}");
            let plan = |script: &Script| self.plan(&server_binary, script.clone(), seed);
            let verdict = self.play_and_show(plan(&script))?;
            all_held &= print_verdict(&verdict);
            if !verdict.breaches.is_empty() {
                let smallest = if self.shrink { shrink_script(&script, plan) } else { script };
                self.print_replay_command(&smallest);
            }
        }
        Ok(all_held)
    }

    fn server_binary(&self) -> anyhow::Result<PathBuf> {
        let default_binary = std::env::current_exe()?.with_file_name("hazelspur-server");
        let server_binary = self.server.clone().unwrap_or(default_binary);
        anyhow::ensure!(
            server_binary.exists(),
            "server binary {server_binary:?} not found: build it or pass its path with --server"
        );
        Ok(server_binary)
    }

    /// Returns the scripts to run, each with its seed, which is 1 for scripts that are not random.
    ///
    /// # Errors
    ///
    /// Fails if `--script` cannot be parsed.
    fn scripts(&self) -> anyhow::Result<Vec<(u64, Script)>> {
        match (&self.script, self.seed) {
            (Some(text), _) => Ok(vec![(1, text.parse().map_err(anyhow::Error::msg).context("--script")?)]),
            (None, Some(first)) => {
                let draw =
                    |seed| (seed, Script::random(seed, self.servers, self.gateways, self.seconds * 1000));
                Ok((first..first + self.seeds).map(draw).collect())
            }
            (None, None) => Ok(vec![(1, DEFAULT_SCRIPT.parse().map_err(anyhow::Error::msg)?)]),
        }
    }

    fn plan(&self, server_binary: &Path, script: Script, seed: u64) -> Plan {
        Plan {
            server_binary: server_binary.to_path_buf(),
            servers: self.servers,
            gateways: self.gateways,
            script,
            seed,
            rate: self.rate,
            max_servers: self.servers * 2,
            calls_per_server: hazelspur_fault_harness::test_fleet::CALLS_PER_SERVER,
            coordinated: self.coordinated,
        }
    }

    /// Runs a plan, prints the summary of the servers' views whenever it changes, and then the figures of the
    /// run.
    fn play_and_show(&self, plan: Plan) -> anyhow::Result<Verdict> {
        let mut previous = String::new();
        let mut on_views =
            |elapsed_ms: u64, views: &[Option<hazelspur_fault_harness::observer::FleetView>]| {
                let current = summary(views);
                if !self.quiet && current != previous {
                    println!("{:6.1} s  {current}", elapsed_ms as f64 / 1000.0);
                    previous = current;
                }
            };
        let verdict = play(plan, &mut on_views)?;
        println!("{}", verdict.figures());
        Ok(verdict)
    }

    fn print_replay_command(&self, script: &Script) {
        println!(
            "again: hazelspur-fault-harness run --servers {} --gateways {} --rate {}{} --script {:?}",
            self.servers,
            self.gateways,
            self.rate,
            if self.coordinated { " --joint" } else { "" },
            script.to_string()
        );
    }
}

/// Returns a part of the script that still breaks a rule when run, after leaving out each fault that is not
/// needed for that.
fn shrink_script(script: &Script, plan: impl Fn(&Script) -> Plan) -> Script {
    let still_fails = |candidate: &Script| {
        println!("without one: {candidate}");
        play(plan(candidate), &mut |_, _| {}).is_ok_and(|verdict| !verdict.breaches.is_empty())
    };
    script.shrunk(still_fails)
}

/// Prints the verdict, and returns whether all rules held.
fn print_verdict(verdict: &Verdict) -> bool {
    /// Highest number of breaches printed.
    const MAX_PRINTED_BREACHES: usize = 20;
    if verdict.breaches.is_empty() {
        println!("verdict: all rules held");
        return true;
    }
    println!("verdict: {} breaches", verdict.breaches.len());
    verdict.breaches.iter().take(MAX_PRINTED_BREACHES).for_each(|breach| println!("  {breach}"));
    false
}
