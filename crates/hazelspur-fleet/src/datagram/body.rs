//! What a datagram is about, besides the updates that travel with it.

use super::fleet_query::{CoordinationState, MemberRow, SiteSize};
use crate::membership::{FleetSize, LocalStatus};
use crate::names::MemberName;
use crate::quota::{ConfigFingerprint, QuotaMessage};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The body of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A probe, which the target answers with `Ack`.
    Ping {
        /// Number of the probe.
        number: u32,
        /// The target; none where the sender knows only its address.
        to: Option<MemberName>,
    },
    /// The answer to a probe.
    Ack {
        /// Number of the probe.
        number: u32,
    },
    /// SWIM's indirect probe: the receiver probes the target and passes its answer on.
    PingRequest {
        /// Number of the probe.
        number: u32,
        /// The target.
        target: MemberName,
        /// Where the target receives datagrams.
        target_address: SocketAddr,
    },
    /// Only updates and a load report.
    Gossip,
    /// A message of the quota protocol.
    Quota {
        /// Fingerprint of the sender's quota configuration.
        fingerprint: ConfigFingerprint,
        /// The message.
        message: QuotaMessage,
    },
    /// Asks for the member list after this name.
    MemberListRequest {
        /// None from the start.
        after: Option<MemberName>,
    },
    /// A page of the member list travels as updates.
    MemberListPage {
        /// The name after which the list goes on; none at its end.
        next: Option<MemberName>,
    },
    /// An operator's question for the members after this name; the sender is no member.
    FleetQuery {
        /// Number of the question.
        number: u32,
        /// None from the start.
        after: Option<MemberName>,
    },
    /// An operator's question for what this server decided together with others.
    CoordinationQuery {
        /// Number of the question.
        number: u32,
    },
    /// The answer to `CoordinationQuery`.
    CoordinationReply {
        /// Number of the question.
        number: u32,
        /// The answer.
        state: CoordinationState,
    },
    /// The answer to `FleetQuery`.
    FleetReply {
        /// Number of the question.
        number: u32,
        /// The server's own status.
        status: LocalStatus,
        /// Size of the fleet.
        fleet: FleetSize,
        /// Size of each site, in the first reply only.
        sites: Vec<SiteSize>,
        /// Members.
        members: Vec<MemberRow>,
        /// The name after which the list goes on; none at its end.
        next: Option<MemberName>,
    },
}
