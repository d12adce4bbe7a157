//! Reputation of a connection's client: valid input so far and protocol errors so far. Connections without
//! valid input are evicted first when file descriptors run short, and a client with too many protocol errors
//! is blocked: its input is no longer processed.

use super::error::ProtocolError;
use std::cell::Cell;

/// Number of protocol errors at which a client is blocked. Does not apply once the worker knows a
/// request of this connection, because the other requests of such a gateway must be answered.
const MAX_PROTOCOL_ERRORS: u32 = 4;

/// Reputation of the client of one connection.
#[derive(Default)]
pub(super) struct ClientReputation {
    sent_valid_input: Cell<bool>,
    known_to_worker: Cell<bool>,
    framing_lost: Cell<bool>,
    protocol_errors: Cell<u32>,
    last_protocol_error: Cell<Option<ProtocolError>>,
}

impl ClientReputation {
    /// Returns whether a valid request or a health check has been received. Reset when the worker does not
    /// know a request of the connection.
    pub(super) fn has_sent_valid_input(&self) -> bool {
        self.sent_valid_input.get()
    }

    pub(super) fn record_valid_input(&self) {
        self.sent_valid_input.set(true);
    }

    /// Returns whether the worker has accepted a request of the connection.
    pub(super) fn is_known_to_worker(&self) -> bool {
        self.known_to_worker.get()
    }

    pub(super) fn record_known_to_worker(&self) {
        self.known_to_worker.set(true);
    }

    /// Records that the worker does not know a request of the connection: a protocol error, and earlier input
    /// no longer counts as valid.
    pub(super) fn record_unknown_to_worker(&self) {
        self.sent_valid_input.set(false);
        self.record(ProtocolError::UnknownToWorker);
    }

    /// Records that the end of a line is unknown, so that later input cannot be decoded.
    pub(super) fn record_framing_lost(&self) {
        self.framing_lost.set(true);
    }

    /// Records a protocol error.
    pub(super) fn record(&self, error: ProtocolError) {
        self.protocol_errors.set(self.protocol_errors.get() + 1);
        self.last_protocol_error.set(Some(error));
    }

    pub(super) fn protocol_errors(&self) -> u32 {
        self.protocol_errors.get()
    }

    pub(super) fn last_protocol_error(&self) -> Option<ProtocolError> {
        self.last_protocol_error.get()
    }

    /// Returns whether the client is blocked: its input is no longer processed.
    pub(super) fn is_blocked(&self) -> bool {
        let too_many_errors = self.protocol_errors.get() >= MAX_PROTOCOL_ERRORS;
        self.framing_lost.get() || too_many_errors && !self.known_to_worker.get()
    }
}
