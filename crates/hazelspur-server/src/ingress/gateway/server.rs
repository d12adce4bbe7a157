//! Accepts gateways' connections within the budget of descriptors.

use super::connection::GatewayConnection;
use super::eviction::EvictionReason;
use crate::process::descriptors::Descriptors;
use crate::process::phases::{OpenCounts, Phase, Phases};
use crate::read_quota::ReadQuota;
use crate::request::lifecycle::Services;
use hazelspur::{Catalog, Duration};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use tokio::net::{TcpListener, TcpStream};

/// Time between two checks for a free place in a full table.
const TABLE_FULL_PAUSE: Duration = Duration::from_ms(5);
/// Pause after the first failed accept; doubled after each further one.
const MIN_ACCEPT_PAUSE: Duration = Duration::from_ms(10);
/// Longest pause after a failed accept.
const MAX_ACCEPT_PAUSE: Duration = Duration::from_ms(160);
/// The most connections that the system keeps for a listener until they are accepted.
const MAX_PENDING_CONNECTIONS: usize = 1025;
/// Log lines on protocol errors per maintenance round; further ones are counted.
pub(super) const MAX_ERROR_LINES_PER_ROUND: u32 = 4;

/// The listener and all connections of gateways.
pub struct GatewayServer {
    pub(super) services: Rc<Services>,
    pub(super) catalog: Rc<RefCell<Catalog>>,
    pub(super) phases: Rc<Phases>,
    /// `None` once no connection is accepted any more.
    listener: RefCell<Option<TcpListener>>,
    pub(super) budget: Descriptors,
    pub(super) connections: RefCell<BTreeMap<ConnectionId, Rc<GatewayConnection>>>,
    last_id: Cell<ConnectionId>,
    /// Connections with protocol errors that ended in this maintenance round.
    pub(super) ended_with_errors: Cell<u32>,
}

/// Process-wide number of a connection.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(u64);

/// Failed accepts in a row.
struct AcceptFailures {
    count: u32,
    next_pause: Duration,
}

impl Default for AcceptFailures {
    fn default() -> Self {
        Self { count: 0, next_pause: MIN_ACCEPT_PAUSE }
    }
}

impl GatewayServer {
    /// Creates the server of a listener; `accept_connections` and `maintain_connections` are its tasks.
    pub fn new(
        services: Rc<Services>,
        phases: Rc<Phases>,
        catalog: Rc<RefCell<Catalog>>,
        listener: TcpListener,
        budget: Descriptors,
    ) -> Self {
        Self {
            services,
            catalog,
            phases,
            listener: RefCell::new(Some(listener)),
            budget,
            connections: RefCell::default(),
            last_id: Cell::default(),
            ended_with_errors: Cell::default(),
        }
    }

    /// Numbers of open requests and of connections.
    pub fn counts(&self) -> OpenCounts {
        let connections = self.connections.borrow();
        let requests = connections.values().map(|connection| connection.open_requests.borrow().len()).sum();
        OpenCounts { requests, connections: connections.len() }
    }

    pub(super) fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether no connection is accepted any more and the last one has ended.
    pub fn is_closed(&self) -> bool {
        self.listener.borrow().is_none() && self.connection_count() == 0
    }

    pub(super) fn remove(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
    }

    /// Logs the protocol errors of a connection that ends, up to a number of lines per round.
    pub(super) fn log_protocol_errors(&self, connection: &GatewayConnection) {
        let Some(last) = connection.reputation.last_protocol_error() else { return };
        self.ended_with_errors.set(self.ended_with_errors.get() + 1);
        if self.ended_with_errors.get() <= MAX_ERROR_LINES_PER_ROUND {
            let (faults, last) = (connection.reputation.protocol_errors(), last.to_string());
            log::warn!(faults, last = last.as_str(); "connection closed after protocol errors");
        }
    }

    /// Accepts connections until the process closes, and then those that the system has accepted already.
    pub async fn accept_connections(self: Rc<Self>) {
        let closing = |phase| !matches!(phase, Phase::Waiting | Phase::Serving | Phase::Draining);
        let (mut failures, quota) = (AcceptFailures::default(), ReadQuota::default());
        loop {
            let accepted = tokio::select! {
                () = self.phases.reached(closing) => break,
                accepted = self.accept_next() => accepted,
            };
            match accepted {
                Ok(stream) => {
                    if failures.count > 0 {
                        log::info!(failed = failures.count; "accepting again");
                    }
                    failures = AcceptFailures::default();
                    self.clone().add_connection(stream);
                    quota.take_units(&self.services.dispatcher.clock, 1, MAX_PENDING_CONNECTIONS).await;
                }
                Err(error) => self.accept_failed(&mut failures, &error).await,
            }
        }
        self.accept_rest();
    }

    async fn accept_failed(&self, failures: &mut AcceptFailures, error: &io::Error) {
        failures.count += 1;
        if failures.count == 1 {
            log::warn!(connections = self.connection_count(), why:% = error; "accept failed");
        }
        self.evict(EvictionReason::DescriptorsExhausted);
        self.services.dispatcher.clock.sleep(failures.next_pause).await;
        failures.next_pause = (failures.next_pause + failures.next_pause).min(MAX_ACCEPT_PAUSE);
    }

    fn max_connections(&self) -> usize {
        self.budget.gateways + self.budget.closing
    }

    /// Accepts a connection once there is a place for it; one that waits in the system's queue loses nothing.
    async fn accept_next(&self) -> io::Result<TcpStream> {
        while self.connection_count() >= self.max_connections() {
            self.evict(EvictionReason::TableFull);
            self.services.dispatcher.clock.sleep(TABLE_FULL_PAUSE).await;
        }
        let accepted = poll_fn(|context| match &*self.listener.borrow() {
            Some(listener) => listener.poll_accept(context),
            None => Poll::Pending,
        });
        Ok(accepted.await?.0)
    }

    /// Takes the connections that the system has accepted and closes the listener, without an await in between.
    fn accept_rest(self: Rc<Self>) {
        let Some(Ok(listener)) = self.listener.take().map(TcpListener::into_std) else { return };
        for _ in 0..self.max_connections() {
            let Ok((stream, _)) = listener.accept() else { break };
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            let _ = stream.map(|stream| self.clone().add_connection(stream));
        }
    }

    /// Counts a connection from its accept on: many may be accepted before the first of their tasks runs.
    fn add_connection(self: Rc<Self>, stream: TcpStream) {
        self.evict(EvictionReason::TableFull);
        let connection = Rc::new(GatewayConnection::new(self.services.dispatcher.clone()));
        let id = ConnectionId(self.last_id.get().0 + 1);
        self.last_id.set(id);
        self.connections.borrow_mut().insert(id, connection.clone());
        tokio::task::spawn_local(self.serve(id, connection, stream));
    }
}
