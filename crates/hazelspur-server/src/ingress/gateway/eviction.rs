//! Eviction of idle connections when file descriptors run short: first those without valid input, then those
//! that have been idle longest.

use super::connection::GatewayConnection;
use super::error::ProtocolError;
use super::server::GatewayServer;
use std::rc::Rc;

/// Maximum number of connections evicted per call.
const MAX_EVICTED: usize = 16;

/// Reason for an eviction.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum EvictionReason {
    /// A connection was accepted or waits for a place: the number of connections may be at its maximum.
    TableFull,
    /// An accept failed.
    DescriptorsExhausted,
}

impl GatewayServer {
    /// Frees places for connections. If no place is left, idle connections that have got the goodbye message
    /// or are closing are closed at once; if that does not suffice, open idle connections are evicted.
    pub(super) fn evict(&self, reason: EvictionReason) {
        let connections = self.connections.borrow();
        let exhausted = reason == EvictionReason::DescriptorsExhausted;
        let (max_open, max_closing) = (self.budget.gateways, self.budget.closing);
        let closing = connections.values().filter(|connection| !connection.is_open());
        let mut closed_at_once = 0;
        if exhausted || connections.len() >= max_open + max_closing {
            let idle = closing.clone().filter(|connection| !connection.has_open_requests());
            closed_at_once = idle.inspect(|connection| connection.close_requested.notify_one()).count();
        }
        // If connections that are already closing free enough descriptors, none is evicted.
        let enough_places_free = match reason {
            EvictionReason::DescriptorsExhausted => closed_at_once > 0,
            EvictionReason::TableFull => connections.len() < max_open + closing.count(),
        };
        if !enough_places_free {
            evict_idle(connections.values());
        }
    }
}

/// Evicts idle connections: with the goodbye message if they have sent valid input, otherwise with an error.
fn evict_idle<'a>(connections: impl Iterator<Item = &'a Rc<GatewayConnection>>) {
    let is_idle = |c: &&Rc<GatewayConnection>| c.is_open() && !c.has_open_requests();
    let mut idle: Vec<&Rc<GatewayConnection>> = connections.filter(is_idle).collect();
    idle.sort_by_key(|c| (c.reputation.has_sent_valid_input(), c.idle_since.get()));
    for connection in idle.into_iter().take(MAX_EVICTED) {
        if connection.reputation.has_sent_valid_input() {
            connection.send_goodbye();
        } else {
            connection.dismiss(ProtocolError::TooManyConnections);
        }
    }
}
