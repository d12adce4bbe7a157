//! Runs the server from its start to its exit, through all phases.

use super::error::ProcessError;
use super::listener::bind;
use super::phases::Phase;
use super::server::Server;
use super::shutdown;
use crate::clock::Clock;
use crate::config::command::ServeOptions;
use crate::config::operator::OperatorConfig;
use crate::config::server_config::LoadedConfig;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process handles.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    /// Installs the handlers of SIGHUP and SIGTERM; without a handler either signal would end the process.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    ///
    /// # Panics
    /// Panics outside a Tokio runtime.
    pub fn register() -> std::io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { hangup, terminate })
    }
}

/// The inputs of a start: both files and the command line.
pub struct StartInputs {
    /// The platform's configuration.
    pub loaded: LoadedConfig,
    /// The content of the operator's file; the default without one.
    pub operator: OperatorConfig,
    /// The options of the command line.
    pub options: ServeOptions,
}

/// Serves until the shutdown notice, and then shuts down. `clock` is the one that the event loop advances.
///
/// # Errors
/// Returns a `ProcessError` if the fleet cannot be joined or the listener cannot be bound.
pub async fn serve(inputs: StartInputs, clock: Rc<Clock>, mut signals: Signals) -> Result<(), ProcessError> {
    let StartInputs { loaded, operator, options } = inputs;
    let server = Server::new(loaded, &operator, clock).await?;
    // Once the listener is bound, clients may connect, so from here on every exit goes through the shutdown.
    let listener = tokio::select! {
        bound = bind(server.config.listen) => bound?,
        _ = signals.terminate.recv() => return Ok(()),
    };
    let gateways = server.gateways(listener);
    server.log_start(&operator);
    let reloader = server.reloader(&operator, options.operator_file);
    server.spawn_tasks(&gateways, signals.hangup, reloader);
    let is_serving = tokio::select! {
        // If a notice arrives together with the worker's status, the server counts as serving and is drained.
        biased;
        worker = server.services.worker.ready() => {
            server.start_controller(worker);
            true
        }
        _ = signals.terminate.recv() => false,
    };
    if is_serving {
        server.phases.enter(Phase::Serving, gateways.counts());
        signals.terminate.recv().await;
    }
    shutdown::shut_down(&server, &gateways, is_serving).await;
    Ok(())
}
