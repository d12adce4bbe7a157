//! One connection to a broker as a state machine: bytes, times and commands in; bytes and events out.
//!
//! A connection never reconnects: once over it stays over, so a delivery tag cannot be mistaken for one of a later
//! connection. Each queue is consumed on its own channel, so a channel error affects that queue only. Messages
//! are published on a channel in confirm mode. A protocol error of the broker ends the connection with one
//! `connection.close`.

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
    /// The protocol header is sent.
    Starting,
    /// `connection.start-ok` is sent.
    Tuning,
    /// `connection.open` is sent.
    Opening,
    /// Channels can be opened.
    Open,
    /// `connection.close` is sent.
    Closing,
    /// Nothing more is sent or processed.
    Closed,
}

/// Result of processing what the broker sent.
type ProtocolResult = Result<(), ProtocolError>;

/// A connection to a broker.
pub struct Connection {
    settings: ConnectionSettings,
    state: ConnectionState,
    state_since: Timestamp,
    input: Buffer,
    output: Vec<u8>,
    channels: BTreeMap<u16, Channel>,
    max_frame_bytes: usize,
    heartbeat: Duration,
    last_received: Timestamp,
    last_sent: Timestamp,
    /// When a silence that was found too long is checked again.
    silence_recheck_at: Option<Timestamp>,
    challenge_answered: bool,
    end: Option<ConnectionEnd>,
    refused: bool,
    stale_settlements: u64,
}

impl Connection {
    /// Creates a connection whose first output is the protocol header.
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

    /// Its state.
    pub fn state(&self) -> ConnectionState {
        self.state
    }

    /// Why it is over, or will be once the broker has confirmed the close.
    pub fn end(&self) -> Option<&ConnectionEnd> {
        self.end.as_ref()
    }

    /// Whether the broker refused the login, the virtual host or the settings.
    pub fn was_refused(&self) -> bool {
        self.refused
    }

    /// Number of settlements of tags that were not open. Each is a fault of the caller.
    pub fn stale_settlements(&self) -> u64 {
        self.stale_settlements
    }

    /// Where received bytes are appended before `process_input`.
    pub fn input_buffer(&mut self) -> &mut Vec<u8> {
        self.input.spare_capacity()
    }

    /// Takes all bytes that are to be sent now.
    pub fn take_output(&mut self, now: Timestamp) -> Vec<u8> {
        if !self.output.is_empty() {
            self.last_sent = now;
        }
        std::mem::take(&mut self.output)
    }

    /// Processes all complete frames of the input.
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
                    // Where the next frame begins is unknown, so a close-ok cannot be read either.
                    self.finish(ConnectionEnd::UndecodableFrame(error));
                }
            }
        }
        input.consume(consumed_bytes);
        self.input = input;
    }

    /// The transport is closed or failed, with this reason.
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

    /// Closes the connection once; then only the broker's answer is processed.
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

    /// Closes the connection; the broker's answer shows that it has read everything sent before.
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
            // The failing method's class and id: not given.
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
