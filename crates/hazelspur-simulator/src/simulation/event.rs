//! The events of a simulation, and which server's process each needs.

use super::script::ScriptAction;
use crate::models::gateways::ClientRequest;
use hazelspur::{Outcome, RequestId, Timestamp};
use hazelspur_fleet::Datagram;

/// One event; those of an earlier incarnation of a server have no effect.
pub(super) enum Event {
    NextRequest,
    RequestReceived { server: usize, incarnation: u64, id: RequestId, request: ClientRequest },
    ControllerTimer { server: usize, incarnation: u64 },
    CoreCheck { server: usize, incarnation: u64, at: Timestamp },
    CallFinished(CallEnd),
    ServerListReport { server: usize, incarnation: u64 },
    Retry { rejected_by: usize, request: ClientRequest },
    Script(ScriptAction),
    FleetTick { server: usize, incarnation: u64, at: Timestamp },
    DatagramReceived { server: usize, datagram: Box<Datagram> },
    LoadObservation { server: usize, incarnation: u64 },
    OracleRound,
}

/// The end of one dependency call.
pub(super) struct CallEnd {
    pub(super) server: usize,
    pub(super) incarnation: u64,
    pub(super) id: RequestId,
    pub(super) started: Timestamp,
    pub(super) outcome: Outcome,
}

impl Event {
    /// The server whose process handles the event; while it is paused, the event waits.
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
