//! `hazelspur-server fleet FILE`: asks the server that the file configures for its view of the fleet. Queries
//! are sealed with the installation's key, and a server answers no others.

use crate::config::fleet_keys::Fleet;
use crate::fleet::query_output::FleetOutput;
use hazelspur::Timestamp;
use hazelspur_fleet::datagram::{self, Body, CoordinationState, Datagram, MAX_DATAGRAM_BYTES};
use hazelspur_fleet::{Generation, Incarnation, Key, MemberName, MemberState, MemberUpdate};
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Time to wait for an answer to one attempt.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// The most times that one query is sent.
const MAX_ATTEMPTS: u32 = 5;
/// The most members that are accepted; no server's member list is longer.
const MAX_MEMBERS: usize = 8192;
/// The sender's name in queries.
const OPERATOR_NAME: &str = "operator";

/// An error of a query.
#[derive(Debug, Error)]
pub enum FleetQueryError {
    /// The installation's key is absent: `Fleet::read_key` was not called.
    #[error("fleet.key_file: the installation's key was not loaded from the file")]
    NoKey,
    /// No socket can be bound to the server's own address.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// The address to bind.
        address: IpAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The socket cannot be set up.
    #[error(transparent)]
    Socket(std::io::Error),
    /// The query cannot be sent.
    #[error("cannot send to {address}: {source}")]
    Send {
        /// The server's address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// No attempt was answered.
    #[error("{0}: no answer; check that a server with this key and installation runs there")]
    NoAnswer(SocketAddr),
    /// No answer contained a view of the fleet.
    #[error("the server sent no view of the fleet")]
    Empty,
}

/// Queries the members, page by page, and then the coordination state.
///
/// # Errors
/// Returns a `FleetQueryError` if the socket fails, the server does not answer or it sends no view.
pub fn query(fleet: &Fleet) -> Result<FleetOutput, FleetQueryError> {
    let mut client = QueryClient::new(fleet)?;
    let mut output = query_members(&mut client)?;
    if let Some(state) = query_coordination(&mut client)? {
        output.set_coordination(state);
    }
    Ok(output)
}

fn query_members(client: &mut QueryClient) -> Result<FleetOutput, FleetQueryError> {
    let mut after = None;
    let mut output: Option<FleetOutput> = None;
    loop {
        let answer = client.ask(|number| Body::FleetQuery { number, after })?;
        let Body::FleetReply { status, fleet, sites, members, next, .. } = answer.body else { continue };
        let output = output.get_or_insert_with(|| FleetOutput::new(&answer.server, status, fleet, &sites));
        output.add_members(members);
        if next.is_none() || next <= after || output.members() >= MAX_MEMBERS {
            break;
        }
        after = next;
    }
    output.ok_or(FleetQueryError::Empty)
}

fn query_coordination(client: &mut QueryClient) -> Result<Option<CoordinationState>, FleetQueryError> {
    let answer = client.ask(|number| Body::CoordinationQuery { number })?;
    match answer.body {
        Body::CoordinationReply { state, .. } => Ok(Some(state)),
        _ => Ok(None),
    }
}

struct Answer {
    server: MemberUpdate,
    body: Body,
}

struct QueryClient<'a> {
    fleet: &'a Fleet,
    key: &'a Key,
    socket: UdpSocket,
    server: SocketAddr,
    sender: MemberUpdate,
    last_number: u32,
}

impl<'a> QueryClient<'a> {
    fn new(fleet: &'a Fleet) -> Result<Self, FleetQueryError> {
        let key = fleet.key.as_ref().ok_or(FleetQueryError::NoKey)?;
        let server = fleet.listen.unwrap_or(fleet.address);
        // Bound to the server's own address, so that the answer has a route back.
        let bind_error = |source| FleetQueryError::Bind { address: server.ip(), source };
        let socket = UdpSocket::bind((server.ip(), 0)).map_err(bind_error)?;
        let address = socket.local_addr().map_err(FleetQueryError::Socket)?;
        socket.set_read_timeout(Some(ANSWER_TIMEOUT)).map_err(FleetQueryError::Socket)?;
        let sender = MemberUpdate {
            name: MemberName::new(OPERATOR_NAME).expect("`OPERATOR_NAME` is a valid member name"),
            site: fleet.site,
            address,
            generation: Generation(0),
            incarnation: Incarnation::default(),
            state: MemberState::Alive,
        };
        Ok(Self { fleet, key, socket, server, sender, last_number: std::process::id() })
    }

    /// Sends a query and returns the answer; repeats the query while there is none.
    fn ask(&mut self, question: impl FnOnce(u32) -> Body) -> Result<Answer, FleetQueryError> {
        self.last_number = self.last_number.wrapping_add(1);
        let question = Datagram {
            installation: self.fleet.installation,
            sender: self.sender,
            sequence: 1,
            sent_ms: now().us() / 1000,
            body: question(self.last_number),
            load_report: None,
            updates: Vec::new(),
        };
        let send_error = |source| FleetQueryError::Send { address: self.server, source };
        for _ in 0..MAX_ATTEMPTS {
            let bytes = datagram::seal(self.key, &question);
            self.socket.send_to(&bytes, self.server).map_err(send_error)?;
            if let Some(answer) = self.await_answer() {
                return Ok(answer);
            }
        }
        Err(FleetQueryError::NoAnswer(self.server))
    }

    fn await_answer(&self) -> Option<Answer> {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        while Instant::now() < deadline {
            let (length, _) = self.socket.recv_from(&mut buffer).ok()?;
            let opened = datagram::open(self.key, &self.fleet.installation, now(), &buffer[..length]);
            if let Ok(Datagram { sender, body, .. }) = opened
                && is_answer_to(&body, self.last_number)
            {
                return Some(Answer { server: sender, body });
            }
        }
        None
    }
}

fn is_answer_to(body: &Body, question: u32) -> bool {
    matches!(body, Body::FleetReply { number, .. } | Body::CoordinationReply { number, .. } if *number == question)
}

fn now() -> Timestamp {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_us(unix.as_micros() as u64)
}
