//! Accepts connections of gateways within the budget of file descriptors, and holds all that are open or
//! closing.

use super::connection::GatewayConnection;
use super::eviction::EvictionReason;
use super::started_requests::StartedRequests;
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

/// Time between two checks for a free place while the number of connections is at its maximum.
const TABLE_FULL_PAUSE: Duration = Duration::from_ms(5);
/// Pause after the first failed accept; doubled after each further one.
const MIN_ACCEPT_PAUSE: Duration = Duration::from_ms(10);
/// Maximum pause after a failed accept.
const MAX_ACCEPT_PAUSE: Duration = Duration::from_ms(160);
/// Maximum number of connections that the operating system queues for the listener.
const MAX_PENDING_CONNECTIONS: usize = 1025;
/// Maximum number of log lines about protocol errors per maintenance round. Further connections are only
/// counted.
pub(super) const MAX_ERROR_LINES_PER_ROUND: u32 = 4;

/// Server for gateways: the listener and all connections.
pub struct GatewayServer {
    pub(super) services: Rc<Services>,
    pub(super) catalog: Rc<RefCell<Catalog>>,
    pub(super) phases: Rc<Phases>,
    pub(super) started_requests: Rc<StartedRequests>,
    /// `None` once no more connections are accepted.
    listener: RefCell<Option<TcpListener>>,
    pub(super) budget: Descriptors,
    pub(super) connections: RefCell<BTreeMap<ConnectionId, Rc<GatewayConnection>>>,
    last_id: Cell<ConnectionId>,
    /// Number of connections with protocol errors that ended in the present maintenance round.
    pub(super) ended_with_errors: Cell<u32>,
}

/// Number of a connection, unique within the process.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(u64);

/// Consecutive failed accepts.
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
    /// Creates a server on a listener. The caller runs `accept_connections` and `maintain_connections` as
    /// tasks.
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
            started_requests: Rc::default(),
            listener: RefCell::new(Some(listener)),
            budget,
            connections: RefCell::default(),
            last_id: Cell::default(),
            ended_with_errors: Cell::default(),
        }
    }

    /// Returns the numbers of open requests and of connections.
    pub fn counts(&self) -> OpenCounts {
        let connections = self.connections.borrow();
        let requests = connections.values().map(|connection| connection.open_requests.borrow().len()).sum();
        OpenCounts { requests, connections: connections.len() }
    }

    pub(super) fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns whether no more connections are accepted and all have ended.
    pub fn is_closed(&self) -> bool {
        self.listener.borrow().is_none() && self.connection_count() == 0
    }

    pub(super) fn remove(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
    }

    /// Logs the protocol errors of a connection that ends, at most `MAX_ERROR_LINES_PER_ROUND` lines per
    /// maintenance round.
    pub(super) fn log_protocol_errors(&self, connection: &GatewayConnection) {
        let Some(last) = connection.reputation.last_protocol_error() else { return };
        self.ended_with_errors.set(self.ended_with_errors.get() + 1);
        if self.ended_with_errors.get() <= MAX_ERROR_LINES_PER_ROUND {
            let (faults, last) = (connection.reputation.protocol_errors(), last.to_string());
            log::warn!(faults, last = last.as_str(); "connection closed after protocol errors");
        }
    }

    /// Accepts connections until the phase `Closing`, and finally those that are still in the listener's
    /// queue.
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
                        log::info!(failed = failures.count; "accept succeeded again");
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

    /// Makes room for connections after a failed accept, then waits before the next one.
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

    /// Accepts a connection once there is a place for it. Until then it waits in the listener's queue, where
    /// none of its input is lost.
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

    /// Accepts all connections in the listener's queue and closes the listener, without an await in between.
    fn accept_rest(self: Rc<Self>) {
        let Some(Ok(listener)) = self.listener.take().map(TcpListener::into_std) else { return };
        for _ in 0..self.max_connections() {
            let Ok((stream, _)) = listener.accept() else { break };
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            let _ = stream.map(|stream| self.clone().add_connection(stream));
        }
    }

    /// Adds a connection and spawns its task. The connection is counted here and not in its task: many may be
    /// accepted before the first task runs.
    fn add_connection(self: Rc<Self>, stream: TcpStream) {
        self.evict(EvictionReason::TableFull);
        let connection = Rc::new(GatewayConnection::new(self.services.dispatcher.clone()));
        let id = ConnectionId(self.last_id.get().0 + 1);
        self.last_id.set(id);
        self.connections.borrow_mut().insert(id, connection.clone());
        tokio::task::spawn_local(self.serve(id, connection, stream));
    }
}
