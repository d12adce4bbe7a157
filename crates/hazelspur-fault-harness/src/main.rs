//! A fleet on this machine with faults between its servers, its pictures as they change, and a verdict.

use anyhow::Context;
use clap::{Parser, Subcommand};
use hazelspur_fault_harness::lightweight::command;
use hazelspur_fault_harness::run::{Verdict, play, summary};
use hazelspur_fault_harness::script::Script;
use hazelspur_fault_harness::test_fleet::Plan;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "hazelspur-fault-harness", version, about = "Many real servers with faults between them")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a script, or one drawn from each seed; exit status 1 where a rule is broken.
    Run {
        /// Servers, in three sites by turns.
        #[arg(long, default_value_t = 12)]
        servers: usize,
        #[arg(long, default_value_t = 4)]
        gateways: usize,
        /// Requests a second of all gateways.
        #[arg(long, default_value_t = 60.0)]
        rate: f64,
        /// Faults over time, as in "2+5 cut east west; 3+4 stop n4; 8+2 kill north".
        #[arg(long, conflicts_with = "seed")]
        script: Option<String>,
        /// Draws the script; so many seeds from this one on are played.
        #[arg(long)]
        seed: Option<u64>,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Faults of drawn scripts fall within so many seconds.
        #[arg(long, default_value_t = 12)]
        seconds: u64,
        /// Leaves out faults one by one while a rule stays broken.
        #[arg(long)]
        shrink: bool,
        /// Servers go by what they hear of each other, and share the ledger's slots by leases.
        #[arg(long)]
        joint: bool,
        /// Only the verdict.
        #[arg(long)]
        quiet: bool,
        /// The server's program; otherwise the one beside this.
        #[arg(long)]
        server: Option<PathBuf>,
    },
    /// A fleet of a few real servers and many lightweight members: what a member costs by size; exit status 1
    /// where they did not agree.
    #[command(name = "hollow")]
    Lightweight(command::Line),
    /// Serves lightweight members by lines on its input; started by `hollow`.
    #[command(name = command::HIDDEN, hide = true)]
    HollowMembers,
}

/// What the one command of the README shows: a site cut off, a stop, a kill, a drain.
const SHOW: &str = "2+12 cut west servers; 5+9 stop n3; 18+4 kill north; 24+3 term n1";

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("{why:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> anyhow::Result<bool> {
    let command = Line::parse().command;
    if let Command::Lightweight(line) = command {
        return line.run();
    }
    let Command::Run { servers, gateways, rate, script, seed, seeds, seconds, shrink, joint, quiet, server } =
        command
    else {
        return hazelspur_fault_harness::lightweight::member::serve().map(|()| true);
    };
    let beside = std::env::current_exe()?.with_file_name("hazelspur-server");
    let server_binary = server.unwrap_or(beside);
    anyhow::ensure!(
        server_binary.exists(),
        "{server_binary:?} is not there: build it, or name it by --server"
    );
    let plan = |script: Script, seed| Plan {
        server_binary: server_binary.clone(),
        servers,
        gateways,
        script,
        seed,
        rate,
        most: servers * 2,
        calls: hazelspur_fault_harness::test_fleet::CALLS,
        joint,
    };
    let scripts: Vec<(u64, Script)> = match (script, seed) {
        (Some(text), _) => vec![(1, text.parse().map_err(anyhow::Error::msg).context("--script")?)],
        (None, Some(first)) => {
            let drawn = |seed| (seed, Script::drawn(seed, servers, gateways, seconds * 1000));
            (first..first + seeds).map(drawn).collect()
        }
        (None, None) => vec![(1, SHOW.parse().map_err(anyhow::Error::msg)?)],
    };
    let mut good = true;
    for (seed, script) in scripts {
        println!("faults: {script}");
        let mut before = String::new();
        let mut tell = |at: u64, views: &[Option<hazelspur_fault_harness::observer::View>]| {
            let now = summary(views);
            if !quiet && now != before {
                println!("{:6.1} s  {now}", at as f64 / 1000.0);
                before = now;
            }
        };
        let verdict = play(plan(script.clone(), seed), &mut tell)?;
        println!("{}", verdict.figures());
        good &= judge(&verdict);
        if !verdict.breaches.is_empty() {
            let fails = |less: &Script| {
                println!("without one: {less}");
                play(plan(less.clone(), seed), &mut |_, _| {}).is_ok_and(|v| !v.breaches.is_empty())
            };
            let least = if shrink { script.shrunk(fails) } else { script };
            println!(
                "again: hazelspur-fault-harness run --servers {servers} --gateways {gateways} --rate {rate}{} --script {:?}",
                if joint { " --joint" } else { "" },
                least.to_string()
            );
        }
    }
    Ok(good)
}

fn judge(verdict: &Verdict) -> bool {
    /// Breaches that are printed.
    const MOST: usize = 20;
    if verdict.breaches.is_empty() {
        println!("verdict: all rules held");
        return true;
    }
    println!("verdict: {} breaches", verdict.breaches.len());
    verdict.breaches.iter().take(MOST).for_each(|breach| println!("  {breach}"));
    false
}
