//! What a connection's client has shown of itself. Connections without a reputation are closed first when
//! descriptors run short, and a client that repeats protocol errors is no longer read.

use super::error::ProtocolError;
use std::cell::Cell;

/// Protocol errors after which input is no longer read, unless the worker knows requests of this connection: the
/// other requests of such a gateway are to be answered.
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
    /// Whether a valid request or a health check came.
    pub(super) fn has_sent_valid_input(&self) -> bool {
        self.sent_valid_input.get()
    }

    pub(super) fn record_valid_input(&self) {
        self.sent_valid_input.set(true);
    }

    /// Whether the worker knows a request that came on the connection.
    pub(super) fn is_known_to_worker(&self) -> bool {
        self.known_to_worker.get()
    }

    pub(super) fn record_known_to_worker(&self) {
        self.known_to_worker.set(true);
    }

    /// The worker does not know a request of the connection: its input was not valid after all.
    pub(super) fn record_unknown_to_worker(&self) {
        self.sent_valid_input.set(false);
        self.record(ProtocolError::UnknownToWorker);
    }

    /// The end of a line is unknown, so nothing that follows can be read.
    pub(super) fn record_framing_lost(&self) {
        self.framing_lost.set(true);
    }

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

    /// Whether input is no longer read as requests.
    pub(super) fn is_blocked(&self) -> bool {
        let too_many_errors = self.protocol_errors.get() >= MAX_PROTOCOL_ERRORS;
        self.framing_lost.get() || too_many_errors && !self.known_to_worker.get()
    }
}
