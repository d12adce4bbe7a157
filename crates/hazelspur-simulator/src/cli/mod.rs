//! The command line: one module a subcommand, which parses its arguments, plays and prints.

mod choices;
mod scale;
mod shares;
mod sums;
mod table;
mod together;
mod who_is_here;

use clap::{Parser, Subcommand};
use hazelspur_simulator::{capacity, path};

/// Exit status of a study that could not be played or written.
const EXIT_STUDY_FAILED: i32 = 1;
/// Exit status of a measurement of a real server that could not be made.
const EXIT_PATH_FAILED: i32 = 2;

#[derive(Parser)]
#[command(name = "hazelspur-simulator", version, about = "Many servers in virtual time")]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Compares the ways of knowing who is here.
    WhoIsHere(who_is_here::WhoIsHereArguments),
    /// The real decision modules of many servers, at several sizes.
    Together(together::TogetherArguments),
    /// What each role needs at the size in a file, beside its budgets: status 1 where one is passed.
    Capacity(capacity::command::Asked),
    /// The hard cases of choices that add up, under each way of choosing.
    Choices(choices::ChoicesArguments),
    /// Shares of one limit through troubles, without the servers' other work.
    Shares(shares::SharesArguments),
    /// What the machines cost a server as the fleet grows, in two regions of three zones.
    Scale(scale::ScaleArguments),
    /// What choices that all make alike come to in sum: reports, subsets, turns.
    Sums(sums::SumsArguments),
    /// One real server's own path: what it adds to a request, and what it costs, by the size of its settings.
    Path(path::command::PathArguments),
}

impl CommandLine {
    /// Runs the subcommand; ends the process with its status where that is not 0.
    pub(crate) fn run(&self) {
        match &self.command {
            Command::WhoIsHere(arguments) => who_is_here::run(arguments),
            Command::Together(arguments) => together::run(arguments),
            Command::Capacity(asked) => std::process::exit(capacity::command::run(asked)),
            Command::Choices(arguments) => choices::run(arguments),
            Command::Shares(arguments) => shares::run(arguments),
            Command::Scale(arguments) => exit_on_error(scale::run(arguments), EXIT_STUDY_FAILED, message),
            Command::Sums(arguments) => exit_on_error(sums::run(arguments), EXIT_STUDY_FAILED, message),
            Command::Path(asked) => {
                exit_on_error(path::command::run(asked), EXIT_PATH_FAILED, message_with_causes)
            }
        }
    }
}

/// Ends the process with this status where a subcommand failed; `text` says whether causes are printed too.
fn exit_on_error(result: anyhow::Result<()>, status: i32, text: fn(&anyhow::Error) -> String) {
    if let Err(error) = result {
        eprintln!("{}", text(&error));
        std::process::exit(status);
    }
}

/// The message of an error that names its cause itself.
fn message(error: &anyhow::Error) -> String {
    error.to_string()
}

/// The message of an error and of its causes.
fn message_with_causes(error: &anyhow::Error) -> String {
    format!("{error:#}")
}
