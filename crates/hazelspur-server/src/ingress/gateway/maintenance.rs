//! Periodic check of all connections. Dismisses connections whose input is overdue, sends goodbye messages to
//! idle ones, and closes connections when the process ends.

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
/// Time within which a gateway has to close a connection after the goodbye message.
const GOODBYE_TIMEOUT: Duration = Duration::from_ms(1500);
/// Value of `GOODBYE_TIMEOUT` while the process closes.
const CLOSING_GOODBYE_TIMEOUT: Duration = Duration::from_ms(400);
/// Idle time after which a connection that has sent health checks gets the goodbye message.
const HEALTH_CHECK_IDLE_TIMEOUT: Duration = Duration::from_ms(60_000);
/// Time within which a new connection has to send valid input.
const FIRST_INPUT_TIMEOUT: Duration = Duration::from_ms(1800);
/// Time within which a line has to be complete, counted from its first part.
const PARTIAL_LINE_TIMEOUT: Duration = Duration::from_ms(2500);
/// Value of `PARTIAL_LINE_TIMEOUT` for a gateway that has sent requests known to the worker. It is longer
/// because such a gateway's network path may be interrupted in the middle of a request.
const KNOWN_PARTIAL_LINE_TIMEOUT: Duration = Duration::from_ms(30_000);

/// Values of one maintenance round, the same for all connections.
struct MaintenanceRound {
    /// Input watermark: every line and close that arrived before this time has been read.
    now: Timestamp,
    phase: Phase,
    /// Idle timeout set by the admission controller; `None` if connections may be idle without limit.
    idle_timeout: Option<Duration>,
}

impl MaintenanceRound {
    fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing | Phase::Ending)
    }

    fn interval(&self) -> Duration {
        if self.is_closing() { CLOSING_ROUND_INTERVAL } else { ROUND_INTERVAL }
    }

    fn goodbye_timeout(&self) -> Duration {
        if self.is_closing() { CLOSING_GOODBYE_TIMEOUT } else { GOODBYE_TIMEOUT }
    }

    /// Checks one connection.
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

    /// Returns whether the first valid input or the rest of a line is overdue.
    fn is_overdue(&self, connection: &GatewayConnection) -> bool {
        let reputation = &connection.reputation;
        let known = reputation.is_known_to_worker();
        let line_timeout = if known { KNOWN_PARTIAL_LINE_TIMEOUT } else { PARTIAL_LINE_TIMEOUT };
        let partial_line_since = connection.partial_line_since.get();
        let line_overdue = partial_line_since.is_some_and(|since| self.now - since >= line_timeout);
        let needs_input = !connection.has_open_requests() && !reputation.has_sent_valid_input();
        line_overdue || needs_input && self.now - connection.connected_at >= FIRST_INPUT_TIMEOUT
    }

    /// Sends the goodbye message on an idle connection, or closes it if the gateway has not done so in time.
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
    /// Runs maintenance rounds; never completes.
    pub async fn maintain_connections(self: Rc<Self>) {
        loop {
            let dispatcher = &self.services.dispatcher;
            let round = MaintenanceRound {
                now: dispatcher.clock.input_watermark(),
                phase: self.phases.current(),
                idle_timeout: dispatcher.idle_timeout.get(),
            };
            self.connections.borrow().values().for_each(|connection| round.maintain(connection));
            self.log_unreported_errors();
            dispatcher.clock.sleep(round.interval()).await;
        }
    }

    /// Logs how many connections with protocol errors ended in this round without a log line of their own.
    fn log_unreported_errors(&self) {
        let unreported = self.ended_with_errors.take().saturating_sub(MAX_ERROR_LINES_PER_ROUND);
        if unreported > 0 {
            log::warn!(connections_not_told = unreported, connections = self.connection_count();
                "further connections closed after protocol errors");
        }
    }
}
