//! The commands that do not serve: `check` validates an operator's file, `fleet` prints a server's view of
//! the fleet. Results go to standard output, errors to standard error with the exit status of a refused
//! start.

use crate::config::command::OutputFormat;
use crate::config::operator::{self, OperatorConfig, OperatorError};
use crate::fleet;
use crate::process::error::refused_exit_code;
use std::fmt::Display;
use std::process::ExitCode;

/// Checks an operator's file and prints a summary of its settings, or the first error.
pub fn check(file: &str) -> ExitCode {
    match operator::read(file, None) {
        Ok(operator) => {
            print_summary(file, &operator);
            ExitCode::SUCCESS
        }
        Err(error) => report_error(error),
    }
}

fn print_summary(file: &str, operator: &OperatorConfig) {
    let brokers = operator.amqp.as_ref().map_or(0, |amqp| amqp.brokers.len());
    let fleet = operator.fleet.as_ref().map_or("none".into(), |fleet| fleet.site.to_string());
    println!("{file}: good: brokers={brokers} queues={} fleet={fleet}", operator.queues.len());
}

/// Asks the server that this operator's file configures for its view of the fleet, and prints it.
pub fn show_fleet(file: &str, format: OutputFormat) -> ExitCode {
    let config = operator::read(file, None);
    let fleet =
        config.and_then(|config| config.fleet.ok_or(OperatorError::NoFleet { path: file.to_string() }));
    let fleet = match fleet {
        Ok(fleet) => fleet,
        Err(error) => return report_error(error),
    };
    match fleet::query::query(&fleet) {
        Ok(output) => {
            print!("{}", output.render(format));
            ExitCode::SUCCESS
        }
        Err(error) => report_error(error),
    }
}

fn report_error(error: impl Display) -> ExitCode {
    eprintln!("{error}");
    refused_exit_code()
}
