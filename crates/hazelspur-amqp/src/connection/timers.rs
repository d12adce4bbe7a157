//! Timeouts of the handshake, the close and incomplete messages; heartbeats in both directions.

use super::{CONNECTION_CHANNEL, Connection, ConnectionState};
use crate::error::{ConnectionEnd, ProtocolError};
use crate::frame::{self, FrameKind};
use hazelspur::{Duration, Timestamp};

/// Maximum time from the creation of a connection to `connection.open-ok`.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_ms(10_000);
/// Maximum time from `connection.close` to `connection.close-ok`.
const CLOSE_TIMEOUT: Duration = Duration::from_ms(2000);
/// Maximum time from the method that announces a message to the last frame of its body.
const CONTENT_TIMEOUT: Duration = Duration::from_ms(20_000);
/// Delay before the second check of a silence that exceeded the limit. This process may have been suspended,
/// so input received meanwhile is read first.
const SILENCE_RECHECK_DELAY: Duration = Duration::from_ms(250);
/// Time without output after which a heartbeat is sent, in heartbeat intervals.
const HEARTBEAT_SEND_INTERVALS: f64 = 0.5;
/// Time without input after which the broker is considered failed, in heartbeat intervals.
const MAX_SILENCE_INTERVALS: f64 = 2.0;

impl Connection {
    /// Returns the time at which `tick` must be called next; `None` if no timeout is pending.
    pub fn next_tick(&self) -> Option<Timestamp> {
        if self.state == ConnectionState::Closed {
            return None;
        }
        let heartbeats = self.heartbeat > Duration::ZERO;
        let send_at = heartbeats.then(|| self.next_heartbeat_at());
        let silence_at = heartbeats.then(|| self.silence_recheck_at.unwrap_or(self.silence_deadline()));
        [self.state_deadline(), send_at, silence_at, self.content_deadline()].into_iter().flatten().min()
    }

    /// Ends or closes the connection if a timeout has passed, and sends a heartbeat if one is due.
    pub fn tick(&mut self, now: Timestamp) {
        if self.state == ConnectionState::Closed {
            return;
        }
        if self.state_deadline().is_some_and(|deadline| now >= deadline) {
            return self.finish(ConnectionEnd::HandshakeTimeout);
        }
        if self.content_deadline().is_some_and(|deadline| now >= deadline) {
            return self.protocol_error(now, ProtocolError::ContentTimeout);
        }
        if self.heartbeat > Duration::ZERO {
            self.send_heartbeat_if_due(now);
            self.check_silence(now);
        }
    }

    fn state_deadline(&self) -> Option<Timestamp> {
        match self.state {
            ConnectionState::Starting | ConnectionState::Tuning | ConnectionState::Opening => {
                Some(self.state_since + HANDSHAKE_TIMEOUT)
            }
            ConnectionState::Closing => Some(self.state_since + CLOSE_TIMEOUT),
            ConnectionState::Open | ConnectionState::Closed => None,
        }
    }

    fn content_deadline(&self) -> Option<Timestamp> {
        let incomplete = self.channels.values().filter_map(|channel| channel.content.as_ref());
        incomplete.map(|content| content.started_at + CONTENT_TIMEOUT).min()
    }

    fn next_heartbeat_at(&self) -> Timestamp {
        self.last_sent + self.heartbeat.scaled(HEARTBEAT_SEND_INTERVALS)
    }

    fn silence_deadline(&self) -> Timestamp {
        self.last_received + self.heartbeat.scaled(MAX_SILENCE_INTERVALS)
    }

    fn send_heartbeat_if_due(&mut self, now: Timestamp) {
        if now >= self.next_heartbeat_at() {
            frame::put(&mut self.output, FrameKind::Heartbeat, CONNECTION_CHANNEL, |_| {});
            self.last_sent = now;
        }
    }

    /// Ends the connection if the silence still exceeds the limit at a second check. At the first one, input
    /// that was received while this process was suspended may not have been read yet.
    fn check_silence(&mut self, now: Timestamp) {
        if now < self.silence_deadline() {
            return;
        }
        match self.silence_recheck_at {
            None => self.silence_recheck_at = Some(now + SILENCE_RECHECK_DELAY),
            Some(recheck_at) if now >= recheck_at => self.finish(ConnectionEnd::HeartbeatTimeout),
            Some(_) => {}
        }
    }
}
