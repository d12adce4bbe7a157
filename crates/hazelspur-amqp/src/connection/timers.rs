//! Timeouts of a connection and its heartbeats.

use super::{CONNECTION_CHANNEL, Connection, ConnectionState};
use crate::error::{ConnectionEnd, ProtocolError};
use crate::frame::{self, FrameKind};
use hazelspur::{Duration, Timestamp};

/// Time within which the handshake is complete.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_ms(10_000);
/// Time within which the broker answers `connection.close`.
const CLOSE_TIMEOUT: Duration = Duration::from_ms(2000);
/// Time within which a message is complete.
const CONTENT_TIMEOUT: Duration = Duration::from_ms(20_000);
/// Delay before a silence that was found too long is checked again: this process may have been suspended.
const SILENCE_RECHECK_DELAY: Duration = Duration::from_ms(250);
/// Time without output after which a heartbeat is sent, in heartbeat intervals.
const HEARTBEAT_SEND_INTERVALS: f64 = 0.5;
/// Time without input after which the broker is taken for dead, in heartbeat intervals.
const MAX_SILENCE_INTERVALS: f64 = 2.0;

impl Connection {
    /// When `tick` has to be called next.
    pub fn next_tick(&self) -> Option<Timestamp> {
        if self.state == ConnectionState::Closed {
            return None;
        }
        let heartbeats = self.heartbeat > Duration::ZERO;
        let send_at = heartbeats.then(|| self.next_heartbeat_at());
        let silence_at = heartbeats.then(|| self.silence_recheck_at.unwrap_or(self.silence_deadline()));
        [self.state_deadline(), send_at, silence_at, self.content_deadline()].into_iter().flatten().min()
    }

    /// Checks the timeouts and sends a heartbeat if one is due.
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

    /// Ends the connection at the second check, since input may wait that was received during a suspension.
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
