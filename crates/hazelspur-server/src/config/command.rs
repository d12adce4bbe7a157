//! The command line. Exit statuses: 0 served and shut down in order, or a file checked and found good; 1 the
//! server failed; 2 a fault in the command line, the configuration or the operator's file.

use clap::builder::PossibleValue;
use clap::{Args, Parser, Subcommand, ValueEnum};

/// The command line.
#[derive(Parser)]
#[command(name = "hazelspur-server", version, about = "Admission and scheduling behind others' balancers")]
pub struct CommandLine {
    /// The options of `serve`, which is the default command.
    #[command(flatten)]
    pub serve: ServeOptions,
    /// The command.
    #[command(subcommand)]
    pub command: Option<Command>,
}

// The `///` comments of clap's items below are the program's help text.

/// A command.
#[derive(Subcommand)]
pub enum Command {
    /// Serve; the same as no word at all. The platform's JSON is named by ROUTER_CONFIG.
    Serve(ServeOptions),
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
        #[arg(long = "shape", value_name = "SHAPE", default_value = "table")]
        format: OutputFormat,
    },
}

/// The options of `serve`.
#[derive(Args, Clone, Default)]
pub struct ServeOptions {
    /// The operator's file; without it only gateways are served.
    #[arg(long = "file", env = "HAZELSPUR_FILE", value_name = "FILE")]
    pub operator_file: Option<String>,
    /// How log lines are printed.
    #[arg(long, env = "HAZELSPUR_LOG_FORMAT", value_name = "FORMAT", default_value = "text")]
    pub log_format: LogFormat,
    /// For rehearsals: this server's wall clock is so many milliseconds apart from the machine's.
    #[arg(
        long = "clock-apart-ms",
        value_name = "MS",
        default_value_t = 0,
        hide = true,
        allow_negative_numbers = true
    )]
    pub clock_offset_ms: i64,
}

/// How log lines are printed.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum LogFormat {
    /// `seconds level message key=value ...`
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// How the view of the fleet is printed.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum OutputFormat {
    /// A table.
    #[default]
    Table,
    /// One JSON object.
    Json,
}

// Not derived: `clap` would print the variants' doc comments in the program's help.

impl ValueEnum for LogFormat {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Text, Self::Json]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            Self::Text => "text",
            Self::Json => "json",
        }))
    }
}

impl ValueEnum for OutputFormat {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Table, Self::Json]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            Self::Table => "table",
            Self::Json => "json",
        }))
    }
}
