//! Events of a simulation, and the server whose process handles each.

use super::script::ScriptAction;
use crate::models::gateways::ClientRequest;
use hazelspur::{Outcome, RequestId, Timestamp};
use hazelspur_fleet::Datagram;

/// An event. One that carries an earlier incarnation of its server has no effect on it, except that the end
/// of a call frees its slot at the dependency.
pub(super) enum Event {
    /// A client sends a new request.
    NextRequest,
    /// An attempt arrives at a server.
    RequestReceived { server: usize, incarnation: u64, id: RequestId, request: ClientRequest },
    /// The timer that the admission controller set expires.
    ControllerTimer { server: usize, incarnation: u64 },
    /// Requests on the server's cores may be done; `at` identifies the check that is scheduled.
    CoreCheck { server: usize, incarnation: u64, at: Timestamp },
    /// A dependency call ends or times out.
    CallFinished(CallEnd),
    /// A server is due to report to the server list.
    ServerListReport { server: usize, incarnation: u64 },
    /// A gateway retries a rejected request.
    Retry { rejected_by: usize, request: ClientRequest },
    /// A scripted action is due.
    Script(ScriptAction),
    /// The timers of a server's fleet node are due; `at` identifies the tick that is scheduled.
    FleetTick { server: usize, incarnation: u64, at: Timestamp },
    /// A datagram arrives at a server.
    DatagramReceived { server: usize, datagram: Box<Datagram> },
    /// A server's fleet node is due to observe the server's own load.
    LoadObservation { server: usize, incarnation: u64 },
    /// The oracle is due to guide all servers.
    OracleRound,
}

/// The end of a dependency call.
pub(super) struct CallEnd {
    pub(super) server: usize,
    pub(super) incarnation: u64,
    pub(super) id: RequestId,
    /// Start of the call, which tells it from a later call of the same request.
    pub(super) started: Timestamp,
    pub(super) outcome: Outcome,
}

impl Event {
    /// Returns the server whose process handles the event, and for which the event waits while it is paused;
    /// `None` for events that no server handles.
    pub(super) fn server(&self) -> Option<usize> {
        match self {
            Self::RequestReceived { server, .. }
            | Self::ControllerTimer { server, .. }
            | Self::CoreCheck { server, .. }
            | Self::CallFinished(CallEnd { server, .. })
            | Self::ServerListReport { server, .. }
            | Self::FleetTick { server, .. }
            | Self::DatagramReceived { server, .. }
            | Self::LoadObservation { server, .. } => Some(*server),
            Self::NextRequest | Self::Retry { .. } | Self::Script(_) | Self::OracleRound => None,
        }
    }
}
