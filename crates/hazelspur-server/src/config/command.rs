//! The command line.
//!
//! Exit statuses: 0 after an orderly shutdown or a successful command; 1 when the server failed; 2 for a
//! fault in the command line, the configuration or the operator's file, and for a `fleet` command that gets
//! no answer.

use clap::builder::PossibleValue;
use clap::{Args, Parser, Subcommand, ValueEnum};

/// The command line.
#[derive(Parser)]
#[command(
    name = "hazelspur-server",
    version,
    about = "Admission control and scheduling of requests behind external load balancers"
)]
pub struct CommandLine {
    /// The options of `serve`, which is the default command.
    #[command(flatten)]
    pub serve: ServeOptions,
    /// The command; without one the server serves.
    #[command(subcommand)]
    pub command: Option<Command>,
}

// The `///` comments of clap's items below are the program's help text.

/// A command of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Serve requests (the default command); ROUTER_CONFIG names the platform's JSON configuration.
    Serve(ServeOptions),
    /// Check an operator's file and print a summary of its settings.
    Check {
        /// The operator's file, such as deploy/hazelspur.star.
        file: String,
    },
    /// Print the view of the fleet of the server that an operator's file configures.
    Fleet {
        /// The operator's file; it must call `fleet(...)`.
        file: String,
        /// Format of the output.
        #[arg(long = "shape", value_name = "SHAPE", default_value = "table")]
        format: OutputFormat,
    },
}

/// The options of `serve`.
#[derive(Args, Clone, Default)]
pub struct ServeOptions {
    /// The operator's file; without it only gateways are served, not queues.
    #[arg(long = "file", env = "HAZELSPUR_FILE", value_name = "FILE")]
    pub operator_file: Option<String>,
    /// Format of log lines.
    #[arg(long, env = "HAZELSPUR_LOG_FORMAT", value_name = "FORMAT", default_value = "text")]
    pub log_format: LogFormat,
    /// Offset of this server's wall clock from the machine's, in milliseconds, for tests of clock skew.
    #[arg(
        long = "clock-apart-ms",
        value_name = "MS",
        default_value_t = 0,
        hide = true,
        allow_negative_numbers = true
    )]
    pub clock_offset_ms: i64,
}

/// A format of log lines.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum LogFormat {
    /// One line of text: `seconds level message key=value ...`.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// A format of the view of the fleet.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum OutputFormat {
    /// A summary and a table of members.
    #[default]
    Table,
    /// One JSON object.
    Json,
}

// `ValueEnum` is implemented by hand, because a derived one prints the variants' doc comments in the help.

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
