//! The hazelspur server: gateways and queues on one side, the worker process, the shared dependency and the
//! registry on the other. `hazelspur::AdmissionController` makes every decision in between.

mod clock;
mod commands;
mod config;
mod fleet;
mod ingress;
mod logging;
mod process;
mod request;
mod upstream;

use clap::Parser;
use config::command::{Command, CommandLine, ServeOptions};
use config::operator::{self, OperatorConfig, OperatorError};
use config::server_config;
use hazelspur::Catalog;
use process::error::{ProcessError, StartError};
use process::{Signals, StartInputs};
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    match command_line.command {
        Some(Command::Check { file }) => commands::check(&file),
        Some(Command::Fleet { file, shape }) => commands::show_fleet(&file, shape),
        Some(Command::Serve(options)) => serve(options),
        None => serve(command_line.serve),
    }
}

fn serve(options: ServeOptions) -> ExitCode {
    logging::init(&std::env::var("HAZELSPUR_LOG").unwrap_or_default(), options.log_format);
    match run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error.log();
            error.exit_code()
        }
    }
}

fn run(options: ServeOptions) -> Result<(), ProcessError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    // Before anything else: without a handler a signal would end the process.
    let signals = {
        let _entered = runtime.enter();
        Signals::register()?
    };
    let inputs = read_inputs(options)?;
    LocalSet::new().block_on(&runtime, process::serve(inputs, signals))
}

fn read_inputs(options: ServeOptions) -> Result<StartInputs, StartError> {
    let loaded = server_config::load(|name| std::env::var(name).ok())?;
    let operator = read_operator(options.file.as_deref(), &loaded.catalog)?;
    Ok(StartInputs { loaded, operator, options })
}

fn read_operator(file: Option<&str>, catalog: &Catalog) -> Result<OperatorConfig, OperatorError> {
    file.map_or_else(|| Ok(OperatorConfig::default()), |file| operator::read(file, Some(catalog)))
}
