//! The `hazelspur-server` program: runs the command that the command line names and returns its exit status.

use clap::Parser;
use hazelspur::Catalog;
use hazelspur_server::clock::Clock;
use hazelspur_server::commands;
use hazelspur_server::config::command::{Command, CommandLine, ServeOptions};
use hazelspur_server::config::operator::{self, OperatorConfig, OperatorError};
use hazelspur_server::config::server_config;
use hazelspur_server::event_loop::EventLoop;
use hazelspur_server::logging;
use hazelspur_server::process::error::{ProcessError, StartError};
use hazelspur_server::process::{self, Signals, StartInputs};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    match command_line.command {
        Some(Command::Check { file }) => commands::check(&file),
        Some(Command::Fleet { file, format }) => commands::show_fleet(&file, format),
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
    // First of all, because a signal without a handler would end the process.
    let signals = {
        let _entered = runtime.enter();
        Signals::register()?
    };
    let inputs = read_inputs(options)?;
    let clock = Rc::new(Clock::with_wall_offset_ms(inputs.options.clock_offset_ms));
    let tasks = LocalSet::new();
    let serving = tasks.run_until(process::serve(inputs, clock.clone(), signals));
    EventLoop::new(clock, serving).run(&runtime)?
}

fn read_inputs(options: ServeOptions) -> Result<StartInputs, StartError> {
    let loaded = server_config::load(|name| std::env::var(name).ok())?;
    let operator = read_operator(options.operator_file.as_deref(), &loaded.catalog)?;
    Ok(StartInputs { loaded, operator, options })
}

fn read_operator(file: Option<&str>, catalog: &Catalog) -> Result<OperatorConfig, OperatorError> {
    file.map_or_else(|| Ok(OperatorConfig::default()), |file| operator::read(file, Some(catalog)))
}
