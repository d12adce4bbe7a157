//! The body of a datagram, that is the message besides the membership updates that travel with it.

use super::fleet_query::{CoordinationState, MemberRow, SiteSize};
use crate::membership::{FleetSize, LocalStatus};
use crate::names::MemberName;
use crate::quota::{ConfigFingerprint, QuotaMessage};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The body of a datagram. The order of the variants and fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A probe, which the target answers with `Ack`.
    Ping {
        /// Number of the probe.
        number: u32,
        /// Name of the target; `None` if the sender knows only its address.
        to: Option<MemberName>,
    },
    /// The answer to a probe.
    Ack {
        /// Number of the probe.
        number: u32,
    },
    /// SWIM's indirect probe. The receiver probes the target and passes the answer on to the sender.
    PingRequest {
        /// Number of the probe.
        number: u32,
        /// Name of the target.
        target: MemberName,
        /// Address at which the target receives datagrams.
        target_address: SocketAddr,
    },
    /// An empty body, for a datagram that carries only updates and a load report.
    Gossip,
    /// A message of the quota protocol.
    Quota {
        /// Fingerprint of the sender's quota configuration.
        fingerprint: ConfigFingerprint,
        /// The message.
        message: QuotaMessage,
    },
    /// A request for a page of the member list.
    MemberListRequest {
        /// The name after which the page begins; `None` for the first page.
        after: Option<MemberName>,
    },
    /// The answer to `MemberListRequest`. The page travels as the updates of the datagram.
    MemberListPage {
        /// The name after which the next page begins; `None` on the last page.
        next: Option<MemberName>,
    },
    /// An operator's query for the members of the fleet. The sender is not a member.
    FleetQuery {
        /// Number of the query.
        number: u32,
        /// The name after which the reply begins; `None` for the first members.
        after: Option<MemberName>,
    },
    /// An operator's query for the state of the server's coordination with others. The sender is not a
    /// member.
    CoordinationQuery {
        /// Number of the query.
        number: u32,
    },
    /// The answer to `CoordinationQuery`.
    CoordinationReply {
        /// Number of the query.
        number: u32,
        /// The state of the coordination.
        state: CoordinationState,
    },
    /// The answer to `FleetQuery`.
    FleetReply {
        /// Number of the query.
        number: u32,
        /// Status of the answering server.
        status: LocalStatus,
        /// Bounds of the number of servers in the fleet.
        fleet: FleetSize,
        /// Bounds of the number of servers in each site; only in the reply to a query with `after: None`.
        sites: Vec<SiteSize>,
        /// The members, in the order of their names.
        members: Vec<MemberRow>,
        /// The name after which the next page begins; `None` on the last page.
        next: Option<MemberName>,
    },
}
