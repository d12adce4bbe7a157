//! The command line. Each subcommand that runs a study has a module here, which declares its arguments, runs
//! the study and prints the result; `capacity` and `path` have theirs in the library.

mod choices;
mod scale;
mod shares;
mod sums;
mod table;
mod together;
mod who_is_here;

use clap::{Parser, Subcommand};
use hazelspur_simulator::{capacity, path};

/// Exit status of a study that failed, or whose file could not be written.
const EXIT_STUDY_FAILED: i32 = 1;
/// Exit status of a failed measurement of a real server.
const EXIT_PATH_FAILED: i32 = 2;

#[derive(Parser)]
#[command(name = "hazelspur-simulator", version, about = "Simulates many servers in virtual time")]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Compares membership protocols: false deaths, detection time, agreement and traffic.
    WhoIsHere(who_is_here::WhoIsHereArguments),
    /// Simulates uncoordinated servers with their real decision modules, at several fleet sizes.
    Together(together::TogetherArguments),
    /// Compares what each role needs at the size in a file with its budgets; status 1 if one is exceeded.
    Capacity(capacity::command::CapacityArguments),
    /// Simulates faults and uneven load under each kind of coordination.
    Choices(choices::ChoicesArguments),
    /// Simulates quota leases of one limit under faults, without the servers' other work.
    Shares(shares::SharesArguments),
    /// Measures what coordination costs a server as the fleet grows, in two regions of three zones each.
    Scale(scale::ScaleArguments),
    /// Measures the combined load of servers that follow the same rule: load reports, subsets, time slots.
    Sums(sums::SumsArguments),
    /// Measures what one real server adds to a request and what it costs, by the size of its settings.
    Path(path::command::PathArguments),
}

impl CommandLine {
    /// Runs the subcommand. Ends the process with the subcommand's status if that is not 0.
    pub(crate) fn run(&self) {
        match &self.command {
            Command::WhoIsHere(arguments) => who_is_here::run(arguments),
            Command::Together(arguments) => together::run(arguments),
            Command::Capacity(arguments) => std::process::exit(capacity::command::run(arguments)),
            Command::Choices(arguments) => choices::run(arguments),
            Command::Shares(arguments) => shares::run(arguments),
            Command::Scale(arguments) => exit_on_error(scale::run(arguments), EXIT_STUDY_FAILED, message),
            Command::Sums(arguments) => exit_on_error(sums::run(arguments), EXIT_STUDY_FAILED, message),
            Command::Path(arguments) => {
                exit_on_error(path::command::run(arguments), EXIT_PATH_FAILED, message_with_causes)
            }
        }
    }
}

/// Prints the error of a failed subcommand with `format`, and ends the process with `status`.
fn exit_on_error(result: anyhow::Result<()>, status: i32, format: fn(&anyhow::Error) -> String) {
    if let Err(error) = result {
        eprintln!("{}", format(&error));
        std::process::exit(status);
    }
}

/// Returns the message of an error, without its causes.
fn message(error: &anyhow::Error) -> String {
    error.to_string()
}

/// Returns the messages of an error and of its causes.
fn message_with_causes(error: &anyhow::Error) -> String {
    format!("{error:#}")
}
