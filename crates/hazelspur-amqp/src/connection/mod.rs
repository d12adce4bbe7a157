//! State machine of one connection to a broker. Inputs are received bytes, the current time and the caller's
//! commands; outputs are bytes to send and calls of a `ConnectionHandler`.
//!
//! A connection never reconnects: once closed it stays closed, so a delivery tag cannot be mistaken for one
//! of a later connection. Each queue is consumed on its own channel, so a channel error affects that queue
//! only. Messages are published on a channel in confirm mode. A protocol error of the broker ends the
//! connection with one `connection.close`.

mod channel;
mod channel_methods;
mod commands;
mod content;
mod handler;
mod handshake;
mod settings;
mod timers;

pub use commands::OutgoingMessage;
pub use content::MAX_BODY_BYTES;
pub use handler::{ConnectionHandler, IncomingDelivery};
pub use settings::{ConnectionSettings, Credentials};

use crate::error::{ConnectionEnd, ProtocolError, reply_code};
use crate::frame::{self, FRAME_OVERHEAD_BYTES, Frame, FrameKind, MIN_FRAME_MAX_BYTES, PROTOCOL_HEADER};
use crate::method::Method;
use crate::wire::{WireReader, put_short_string};
use channel::Channel;
use hazelspur::{Duration, Timestamp};
use hazelspur_parsers::Buffer;
use std::collections::BTreeMap;

/// Channel number of the connection itself.
const CONNECTION_CHANNEL: u16 = 0;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The protocol header is sent; `connection.start` is awaited.
    Starting,
    /// `connection.start-ok` is sent; `connection.tune` is awaited.
    Tuning,
    /// `connection.tune-ok` and `connection.open` are sent; `connection.open-ok` is awaited.
    Opening,
    /// The handshake is complete; channels can be opened.
    Open,
    /// `connection.close` is sent; `connection.close-ok` is awaited.
    Closing,
    /// Final state: the remaining output can be taken, but nothing more is produced or processed.
    Closed,
}

/// Result of processing a frame or a method; an error closes the connection.
type ProtocolResult = Result<(), ProtocolError>;

/// Client side of a connection to a broker.
pub struct Connection {
    settings: ConnectionSettings,
    state: ConnectionState,
    /// Time of creation, or of sending `connection.close`: the start of the timeout of the handshake or the
    /// close.
    state_since: Timestamp,
    input: Buffer,
    output: Vec<u8>,
    channels: BTreeMap<u16, Channel>,
    /// Maximum frame size in bytes: the own proposal until `connection.tune`, then the negotiated one.
    max_frame_bytes: usize,
    /// Negotiated interval of heartbeats; zero for none.
    heartbeat: Duration,
    last_received: Timestamp,
    last_sent: Timestamp,
    /// Time of the second check of a silence that exceeded the limit; `None` before the first check that
    /// finds one.
    silence_recheck_at: Option<Timestamp>,
    /// Whether a `connection.secure` was answered; a second one is a protocol error.
    challenge_answered: bool,
    end: Option<ConnectionEnd>,
    refused: bool,
    stale_settlements: u64,
}

impl Connection {
    /// Creates a connection; its first output is the protocol header.
    pub fn new(settings: ConnectionSettings, now: Timestamp) -> Self {
        Self {
            max_frame_bytes: settings.max_frame_bytes.max(MIN_FRAME_MAX_BYTES) as usize,
            settings,
            state: ConnectionState::Starting,
            state_since: now,
            input: Buffer::default(),
            output: PROTOCOL_HEADER.to_vec(),
            channels: BTreeMap::new(),
            heartbeat: Duration::ZERO,
            last_received: now,
            last_sent: now,
            silence_recheck_at: None,
            challenge_answered: false,
            end: None,
            refused: false,
            stale_settlements: 0,
        }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> ConnectionState {
        self.state
    }

    /// Returns the reason why the connection ended. After a protocol error it is set before the state is
    /// `Closed`, while `connection.close-ok` is awaited.
    pub fn end(&self) -> Option<&ConnectionEnd> {
        self.end.as_ref()
    }

    /// Returns whether the broker refused the login, the virtual host or the settings: it closed the
    /// connection with `access-refused` or `not-allowed`, or does not offer the SASL mechanism that the
    /// settings require.
    pub fn was_refused(&self) -> bool {
        self.refused
    }

    /// Returns the number of settlements that were dropped because their delivery tag was unknown or already
    /// settled. Each is a fault of the caller.
    pub fn stale_settlements(&self) -> u64 {
        self.stale_settlements
    }

    /// Returns the buffer to append received bytes to before `process_input` is called.
    pub fn input_buffer(&mut self) -> &mut Vec<u8> {
        self.input.spare_capacity()
    }

    /// Takes all bytes to send. `now` counts as the time of sending for the heartbeats.
    pub fn take_output(&mut self, now: Timestamp) -> Vec<u8> {
        if !self.output.is_empty() {
            self.last_sent = now;
        }
        std::mem::take(&mut self.output)
    }

    /// Processes all complete frames in the input buffer and calls `handler` for each event. To be called
    /// after bytes were received at `now`.
    pub fn process_input(&mut self, now: Timestamp, handler: &mut impl ConnectionHandler) {
        self.last_received = now;
        self.silence_recheck_at = None;
        let mut input = std::mem::take(&mut self.input);
        let mut consumed_bytes = 0;
        while self.state != ConnectionState::Closed {
            let max_payload_bytes = self.max_frame_bytes - FRAME_OVERHEAD_BYTES;
            match frame::read_first(&input.unread()[consumed_bytes..], max_payload_bytes) {
                Ok(Some(frame)) => {
                    let result = self.process_frame(now, &frame, handler);
                    result.unwrap_or_else(|error| self.protocol_error(now, error));
                    consumed_bytes += frame.frame_bytes;
                }
                Ok(None) => break,
                Err(error) => {
                    self.protocol_error(now, ProtocolError::Frame(error));
                    // The start of the next frame is unknown, so `connection.close-ok` could not be read
                    // either.
                    self.finish(ConnectionEnd::UndecodableFrame(error));
                }
            }
        }
        input.consume(consumed_bytes);
        self.input = input;
    }

    /// Ends the connection because its transport was closed or failed; `reason` is kept for the log.
    pub fn transport_closed(&mut self, reason: &str) {
        self.finish(ConnectionEnd::Transport(reason.into()));
    }

    fn finish(&mut self, end: ConnectionEnd) {
        if self.state != ConnectionState::Closed {
            self.state = ConnectionState::Closed;
            self.end.get_or_insert(end);
        }
    }

    fn is_closing(&self) -> bool {
        matches!(self.state, ConnectionState::Closing | ConnectionState::Closed)
    }

    /// Sends `connection.close` for a protocol error, unless the connection is closing already. Before
    /// `connection.start` is received, the connection ends without it.
    fn protocol_error(&mut self, now: Timestamp, error: ProtocolError) {
        if self.is_closing() {
            return;
        }
        let end = ConnectionEnd::ProtocolError(error);
        if self.state == ConnectionState::Starting {
            return self.finish(end);
        }
        self.end = Some(end);
        self.send_close(now, error.reply_code(), &error.to_string());
    }

    /// Sends `connection.close`. The broker's `connection.close-ok` shows that it has read everything sent
    /// before. Before `connection.start` is received, the connection ends at once.
    pub fn close(&mut self, now: Timestamp) {
        if self.is_closing() {
            return;
        }
        if self.state == ConnectionState::Starting {
            return self.finish(ConnectionEnd::ClosedBeforeHandshake);
        }
        self.send_close(now, reply_code::SUCCESS, "leaving");
    }

    fn send_close(&mut self, now: Timestamp, reply_code: u16, reply_text: &str) {
        frame::put_method(&mut self.output, CONNECTION_CHANNEL, Method::CONNECTION_CLOSE, |out| {
            out.extend_from_slice(&reply_code.to_be_bytes());
            put_short_string(out, reply_text);
            // Class id and method id of the method that caused the close: zero, as none is named.
            out.extend([0; 4]);
        });
        self.state = ConnectionState::Closing;
        self.state_since = now;
    }

    fn process_frame(
        &mut self,
        now: Timestamp,
        frame: &Frame<'_>,
        handler: &mut impl ConnectionHandler,
    ) -> ProtocolResult {
        let is_connection_frame = frame.channel == CONNECTION_CHANNEL;
        match frame.kind {
            FrameKind::Heartbeat if is_connection_frame && frame.payload.is_empty() => Ok(()),
            FrameKind::Heartbeat => Err(ProtocolError::InvalidHeartbeat),
            FrameKind::Method if is_connection_frame => {
                self.connection_method(&mut WireReader::new(frame.payload), handler)
            }
            _ if self.state == ConnectionState::Closing => Ok(()),
            _ if self.state != ConnectionState::Open => Err(ProtocolError::ChannelBeforeOpen),
            FrameKind::Method => self.channel_method(now, frame, handler),
            FrameKind::Header => self.channel(frame.channel)?.content_header(frame.payload, handler),
            FrameKind::Body => self.channel(frame.channel)?.content_body(frame.payload, handler),
        }
    }

    fn channel(&mut self, number: u16) -> Result<&mut Channel, ProtocolError> {
        self.channels.get_mut(&number).ok_or(ProtocolError::ChannelNotOpen)
    }
}
