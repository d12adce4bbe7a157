//! The command line. Exit statuses: 0 served and left in good order, or checked and found good; 1 the server
//! ended by a fault; 2 a fault in the command line or in what the program is told.

use clap::{Args, Parser, Subcommand};

#[derive(Parser)]
#[command(name = "hazelspur-server", version, about = "Admission and scheduling behind others' balancers")]
pub struct Line {
    #[command(flatten)]
    pub serve: Serve,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serve; the same as no word at all. The platform's JSON is named by ROUTER_CONFIG.
    Serve(Serve),
    /// Check an operator's file and say what it sets.
    Check {
        /// The file, such as deploy/hazelspur.star.
        file: String,
    },
    /// Ask the server that this operator's file sets up for its picture of the fleet.
    Fleet {
        /// The file with `fleet(...)`.
        file: String,
        /// How the picture is printed.
        #[arg(long, default_value = "table")]
        shape: Shape,
    },
}

#[derive(Args, Clone, Default)]
pub struct Serve {
    /// The operator's file; without it only gateways are served.
    #[arg(long, env = "HAZELSPUR_FILE", value_name = "FILE")]
    pub file: Option<String>,
    /// How log lines are printed.
    #[arg(long, env = "HAZELSPUR_LOG_FORMAT", value_name = "FORMAT", default_value = "text")]
    pub log_format: Format,
    /// For rehearsals: this server's wall clock is so many milliseconds apart from the machine's.
    #[arg(long, value_name = "MS", default_value_t = 0, hide = true, allow_negative_numbers = true)]
    pub clock_apart_ms: i64,
}

#[derive(clap::ValueEnum, Clone, Copy, Default, PartialEq)]
pub enum Format {
    #[default]
    Text,
    Json,
}

#[derive(clap::ValueEnum, Clone, Copy, Default, PartialEq)]
pub enum Shape {
    #[default]
    Table,
    Json,
}
