//! Periodic check of all connections: input that is overdue, idle connections, the end of the process.

use super::connection::{GatewayConnection, Stage};
use super::error::ProtocolError;
use super::server::{GatewayServer, MAX_ERROR_LINES_PER_ROUND};
use crate::process::phases::Phase;
use hazelspur::{Duration, Timestamp};
use std::rc::Rc;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_ms(100);
/// Time between two rounds while the process closes.
const CLOSING_ROUND_INTERVAL: Duration = Duration::from_ms(10);
/// Time that a gateway has to close a connection after the goodbye message.
const GOODBYE_TIMEOUT: Duration = Duration::from_ms(1500);
/// The same while the process closes.
const CLOSING_GOODBYE_TIMEOUT: Duration = Duration::from_ms(400);
/// Time after which a connection for health checks is idle.
const HEALTH_CHECK_IDLE_TIMEOUT: Duration = Duration::from_ms(60_000);
/// Time within which a connection has to send valid input.
const FIRST_INPUT_TIMEOUT: Duration = Duration::from_ms(1800);
/// Time within which a line has to be complete.
const PARTIAL_LINE_TIMEOUT: Duration = Duration::from_ms(2500);
/// The same for a gateway that the worker knows: its path may be cut in the middle of a request.
const KNOWN_PARTIAL_LINE_TIMEOUT: Duration = Duration::from_ms(30_000);

/// What holds for all connections in one round.
struct Round {
    /// The input watermark: a line or a close that had arrived by then has been read.
    now: Timestamp,
    phase: Phase,
    /// Idle timeout decided by the admission controller, if any.
    idle_timeout: Option<Duration>,
}

impl Round {
    fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing | Phase::Ending)
    }

    fn interval(&self) -> Duration {
        if self.is_closing() { CLOSING_ROUND_INTERVAL } else { ROUND_INTERVAL }
    }

    fn goodbye_timeout(&self) -> Duration {
        if self.is_closing() { CLOSING_GOODBYE_TIMEOUT } else { GOODBYE_TIMEOUT }
    }

    fn maintain(&self, connection: &GatewayConnection) {
        let overdue = self.is_overdue(connection);
        if connection.was_overdue.replace(overdue) && overdue {
            connection.dismiss(ProtocolError::InputTimeout);
        }
        if connection.is_closing() {
            return;
        }
        if self.phase == Phase::Ending {
            if connection.is_open() {
                connection.send_goodbye();
            }
            connection.close();
        }
        if !connection.has_open_requests() {
            self.close_if_idle(connection);
        }
    }

    fn is_overdue(&self, connection: &GatewayConnection) -> bool {
        let reputation = &connection.reputation;
        let known = reputation.is_known_to_worker();
        let line_timeout = if known { KNOWN_PARTIAL_LINE_TIMEOUT } else { PARTIAL_LINE_TIMEOUT };
        let partial_line_since = connection.partial_line_since.get();
        let line_overdue = partial_line_since.is_some_and(|since| self.now - since >= line_timeout);
        let needs_input = !connection.has_open_requests() && !reputation.has_sent_valid_input();
        line_overdue || needs_input && self.now - connection.connected_at >= FIRST_INPUT_TIMEOUT
    }

    fn close_if_idle(&self, connection: &GatewayConnection) {
        let idle_for = self.now - connection.idle_since.get();
        let checks_health = connection.checks_health.get();
        let idle_timeout = if checks_health { Some(HEALTH_CHECK_IDLE_TIMEOUT) } else { self.idle_timeout };
        match connection.stage.get() {
            Stage::Open if self.is_closing() || idle_timeout.is_some_and(|timeout| idle_for >= timeout) => {
                connection.send_goodbye();
            }
            Stage::GoodbyeSent(sent_at) => {
                let timeout = self.goodbye_timeout();
                let in_partial_line = connection.partial_line_since.get().is_some();
                if self.now - sent_at >= timeout && idle_for >= timeout && !in_partial_line {
                    connection.close();
                }
            }
            _ => {}
        }
    }
}

impl GatewayServer {
    /// Checks all connections in rounds; never completes.
    pub async fn maintain_connections(self: Rc<Self>) {
        loop {
            let dispatcher = &self.services.dispatcher;
            let round = Round {
                now: dispatcher.clock.input_watermark(),
                phase: self.phases.current(),
                idle_timeout: dispatcher.idle_timeout.get(),
            };
            self.connections.borrow().values().for_each(|connection| round.maintain(connection));
            self.log_unreported_errors();
            dispatcher.clock.sleep(round.interval()).await;
        }
    }

    fn log_unreported_errors(&self) {
        let unreported = self.ended_with_errors.take().saturating_sub(MAX_ERROR_LINES_PER_ROUND);
        if unreported > 0 {
            log::warn!(connections_not_told = unreported, connections = self.connection_count();
                "further connections closed after protocol errors");
        }
    }
}
