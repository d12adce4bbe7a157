//! Takes the process from its start through its phases to its exit.

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
    /// Handles SIGHUP and SIGTERM from now on; without a handler either would end the process.
    pub fn register() -> std::io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { hangup, terminate })
    }
}

/// What a process starts with.
pub struct StartInputs {
    /// The platform's configuration.
    pub loaded: LoadedConfig,
    /// What the operator's file sets.
    pub operator: OperatorConfig,
    /// The command line's options.
    pub options: ServeOptions,
}

/// Serves until the shutdown notice and its end, by the clock that the event loop advances.
pub async fn serve(inputs: StartInputs, clock: Rc<Clock>, mut signals: Signals) -> Result<(), ProcessError> {
    let StartInputs { loaded, operator, options } = inputs;
    let server = Server::new(loaded, &operator, clock).await?;
    // From here on connections may be accepted: whatever ends the process ends them first.
    let listener = tokio::select! {
        bound = bind(server.config.listen) => bound?,
        _ = signals.terminate.recv() => return Ok(()),
    };
    let gateways = server.gateways(listener);
    server.log_start(&operator);
    let reloader = server.reloader(&operator, options.operator_file);
    server.spawn_tasks(&gateways, signals.hangup, reloader);
    let is_serving = tokio::select! {
        // A notice that comes with the worker's status finds a server that serves.
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
