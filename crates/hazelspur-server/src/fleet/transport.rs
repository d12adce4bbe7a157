//! The gossip transport: one UDP socket that carries the datagrams of `FleetNode`, and a task that probes the
//! shared dependency while the circuit breaker is open.

use crate::clock::Clock;
use crate::config::fleet_keys::{Fleet, QuotaKeysError};
use crate::fleet::coordinator::{Coordinator, UnknownLimitError};
use crate::fleet::event_log::EventLog;
use crate::process::phases::{Phase, Phases};
use crate::read_quota::ReadQuota;
use crate::request::dispatcher::Dispatcher;
use crate::upstream::dependency::{CallReach, ReachabilityObserver, is_answering};
use crate::upstream::endpoints::UpstreamEndpoints;
use hazelspur::{Catalog, Duration};
use hazelspur_fleet::circuit_breaker::ProbeKind;
use hazelspur_fleet::datagram::{self, MAX_DATAGRAM_BYTES};
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::{Clocks, FleetNode, Generation, Installation, Key, MemberName};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::{TcpStream, UdpSocket};

/// The most datagrams that are read before timers and other tasks run.
const MAX_READS_PER_STEP: usize = 64;
/// Fewest bytes that are counted for one datagram: even an empty one takes more than this of the socket's
/// buffer.
const MIN_DATAGRAM_CHARGE: usize = 256;
/// Longest time between two steps, so that load reports and log lines are not late.
const MAX_IDLE: Duration = Duration::from_ms(250);
/// Timeout for the connection of a probe.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_ms(500);
/// Time for which a probe's connection must stay open, because a proxy may accept connections for a
/// dependency that is down and then close them.
const PROBE_OPEN_TIME: Duration = Duration::from_ms(50);
/// Timeout for the answer to a probe.
const PROBE_ANSWER_TIMEOUT: Duration = Duration::from_ms(500);
/// Longest wait before the time of the next probe is read again, as a recovery hint may bring it forward.
const MAX_PROBE_WAIT: Duration = Duration::from_ms(20);

/// An error that keeps the transport from starting.
#[derive(Debug, Error)]
pub enum TransportError {
    /// The server's name is not a valid member name.
    #[error("name: not 1 to 31 visible ASCII characters")]
    InvalidName,
    /// The installation's key is absent: `Fleet::read_key` was not called.
    #[error("fleet.key_file: the installation's key was not loaded from the file")]
    NoKey,
    /// The quota configuration is invalid.
    #[error("fleet.{key}: {0}", key = .0.key())]
    Quota(#[from] QuotaKeysError),
    /// A shared limit bounds nothing on this server.
    #[error(transparent)]
    UnknownLimit(#[from] UnknownLimitError),
    /// The socket cannot be bound.
    #[error("fleet.listen: {address}: {source}")]
    Listen {
        /// The address to bind.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// The parts of the server that the transport uses.
pub struct TransportContext {
    /// The dispatcher, through which the admission controller is reached.
    pub dispatcher: Rc<Dispatcher>,
    /// The addresses of upstream endpoints, with that of the shared dependency.
    pub endpoints: Rc<UpstreamEndpoints>,
    /// The phases of the process.
    pub phases: Rc<Phases>,
    /// The settings, in which the tenants of shared limits are found.
    pub catalog: Rc<RefCell<Catalog>>,
}

/// The UDP socket of the fleet and the state machines that it serves.
pub struct GossipTransport {
    name: MemberName,
    socket: UdpSocket,
    key: Key,
    installation: Installation,
    node: RefCell<FleetNode>,
    event_log: RefCell<EventLog>,
    coordinator: RefCell<Coordinator>,
    /// Whether the circuit breaker is in use: calls are reported to it and probes are sent for it.
    coordinated: bool,
    dispatcher: Rc<Dispatcher>,
    endpoints: Rc<UpstreamEndpoints>,
    phases: Rc<Phases>,
    leaving: Cell<bool>,
}

impl GossipTransport {
    /// Binds the socket and starts a new generation of this server in the fleet.
    ///
    /// # Errors
    /// Returns a `TransportError`, which names the key at fault.
    pub async fn bind(
        fleet: &Fleet,
        name: &str,
        seed: u64,
        context: TransportContext,
    ) -> Result<Self, TransportError> {
        let TransportContext { dispatcher, endpoints, phases, catalog } = context;
        let name = MemberName::new(name).ok_or(TransportError::InvalidName)?;
        let key = fleet.key.clone().ok_or(TransportError::NoKey)?;
        let quota = fleet.quota_config()?;
        let coordinator = Coordinator::new(fleet.coordinated, quota.as_ref(), &catalog.borrow())?;
        let address = fleet.listen.unwrap_or(fleet.address);
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|source| TransportError::Listen { address, source })?;
        let now = clocks(&dispatcher.clock);
        let generation = Generation(now.wall.us() / 1000);
        // Servers that start together must not draw the same random numbers.
        let seed = seed ^ now.wall.us();
        log_start(fleet);
        Ok(Self {
            name,
            socket,
            key,
            installation: fleet.installation,
            node: RefCell::new(FleetNode::new(fleet.node_config(name), quota, generation, seed, now)),
            event_log: RefCell::default(),
            coordinator: RefCell::new(coordinator),
            coordinated: fleet.coordinated,
            dispatcher,
            endpoints,
            phases,
            leaving: Cell::new(false),
        })
    }

    fn now(&self) -> Clocks {
        clocks(&self.dispatcher.clock)
    }

    /// Returns the clocks for timers. A suspicion expires by the input watermark, since a datagram that
    /// refutes it may have arrived and wait to be read. A lease expires by the present time, since it must
    /// not be used any longer.
    fn timer_clocks(&self, now: Clocks) -> Clocks {
        Clocks { wall: self.dispatcher.clock.wall_at_watermark(), monotonic: now.monotonic }
    }

    /// Sends and receives datagrams and runs timers, for as long as the process runs. Leaves the fleet when
    /// the process starts to shut down.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let quota = ReadQuota::default();
        let is_leaving = |phase| !matches!(phase, Phase::Waiting | Phase::Serving);
        loop {
            self.step();
            let wait = self.node.borrow().time_to_next_tick(self.now()).min(MAX_IDLE);
            tokio::select! {
                biased;
                received = self.socket.recv_from(&mut buffer) => {
                    let length = received.ok().map(|(length, _)| length);
                    let charge = self.receive_all(length, &mut buffer);
                    quota.take(&self.dispatcher.clock, charge, SockRef::from(&self.socket)).await;
                    tokio::task::yield_now().await;
                }
                () = self.dispatcher.clock.sleep(wait) => {}
                () = self.phases.reached(is_leaving), if !self.leaving.get() => {
                    self.leaving.set(true);
                    self.node.borrow_mut().leave(self.now());
                }
            }
        }
    }

    /// Handles the datagram in the buffer and those that have arrived meanwhile, at most `MAX_READS_PER_STEP`
    /// in all; returns their estimated size in the socket's buffer, in bytes.
    fn receive_all(&self, length: Option<usize>, buffer: &mut [u8]) -> usize {
        let mut charge = MIN_DATAGRAM_CHARGE;
        if let Some(length) = length {
            self.receive(&buffer[..length]);
            charge = charge.max(length);
        }
        for _ in 1..MAX_READS_PER_STEP {
            let Ok((length, _)) = self.socket.try_recv_from(buffer) else { break };
            self.receive(&buffer[..length]);
            charge += length.max(MIN_DATAGRAM_CHARGE);
        }
        self.step();
        charge
    }

    fn receive(&self, bytes: &[u8]) {
        let now = self.now();
        let opened = datagram::open(&self.key, &self.installation, now.wall, bytes);
        let received = opened.and_then(|datagram| self.node.borrow_mut().receive(now, &datagram));
        if let Err(reason) = received {
            self.event_log.borrow_mut().record_drop(reason);
        }
    }

    /// Reports load, runs timers, sends queued datagrams, writes due log lines, and passes guidance to the
    /// controller.
    fn step(&self) {
        let now = self.now();
        let (mut node, mut event_log) = (self.node.borrow_mut(), self.event_log.borrow_mut());
        self.coordinator.borrow_mut().report(now, &self.dispatcher, &mut node);
        node.tick(self.timer_clocks(now));
        while let Some(OutgoingDatagram { address, datagram }) = node.next_datagram(now) {
            // A datagram that cannot be sent at once is dropped; the protocol tolerates lost datagrams.
            let _ = self.socket.try_send_to(&datagram::seal(&self.key, &datagram), address);
        }
        while let Some(event) = node.membership.next_event() {
            event_log.record(event);
        }
        event_log.flush(now.wall, &node.membership);
        self.coordinator.borrow_mut().guide(now, &self.dispatcher, &mut node);
    }

    /// Probes the shared dependency at the times that the circuit breaker sets, for as long as the process
    /// runs.
    pub async fn run_probes(self: Rc<Self>) {
        loop {
            let next_probe = self.node.borrow().breaker.next_probe().filter(|_| self.coordinated);
            let now = self.now().wall;
            match next_probe {
                Some(at) if at <= now => {
                    self.node.borrow_mut().breaker.probe_sent(now);
                    let Some(address) = self.endpoints.current().dependency else { continue };
                    let reached = self.probe(address).await;
                    self.call_finished(if reached { CallReach::Answered } else { CallReach::Unreachable });
                }
                Some(at) => self.dispatcher.clock.sleep((at - now).min(MAX_PROBE_WAIT)).await,
                None => self.dispatcher.clock.sleep(MAX_IDLE).await,
            }
        }
    }

    async fn probe(&self, address: SocketAddr) -> bool {
        let clock = &self.dispatcher.clock;
        let kind = self.node.borrow().breaker.probe_kind();
        match kind {
            ProbeKind::Connection => is_reachable(clock, address).await,
            ProbeKind::Answer => is_answering(clock, address, self.name.as_str(), PROBE_ANSWER_TIMEOUT).await,
        }
    }

    /// Announces that this server has left. The datagrams are sent at once, because no task runs after this.
    pub fn announce_left(&self) {
        self.node.borrow_mut().membership.announce_left(self.now().wall);
        self.step();
    }
}

impl ReachabilityObserver for GossipTransport {
    fn call_finished(&self, reach: CallReach) {
        if !self.coordinated {
            return;
        }
        let now = self.now();
        let mut node = self.node.borrow_mut();
        let was_closed = node.breaker.is_closed();
        match reach {
            CallReach::Answered => node.call_finished(now, true),
            CallReach::Unreachable => node.call_finished(now, false),
            CallReach::Unanswered => node.call_unanswered(now),
        }
        if node.breaker.is_closed() != was_closed {
            // The controller must know of the change before its next decision.
            self.coordinator.borrow_mut().guide(now, &self.dispatcher, &mut node);
        }
    }
}

/// Starts the supervised tasks of the socket and of the probes.
pub fn start(transport: &Rc<GossipTransport>) {
    crate::process::supervise::supervise("fleet", transport, GossipTransport::run);
    crate::process::supervise::supervise("tries", transport, GossipTransport::run_probes);
}

/// Returns whether a connection can be made that stays open for `PROBE_OPEN_TIME`.
async fn is_reachable(clock: &Clock, address: SocketAddr) -> bool {
    let connecting = clock.timeout(PROBE_CONNECT_TIMEOUT, TcpStream::connect(address));
    match connecting.await {
        Ok(Ok(stream)) => clock.timeout(PROBE_OPEN_TIME, stream.readable()).await.is_err(),
        _ => false,
    }
}

fn clocks(clock: &Clock) -> Clocks {
    Clocks { wall: clock.wall(), monotonic: clock.monotonic() }
}

fn log_start(fleet: &Fleet) {
    log::info!(site:% = fleet.site, at:% = fleet.address, contacts = fleet.contacts.len(), most = fleet.most,
        together = fleet.coordinated, shares = fleet.shared_limits.len(), keepers = fleet.voters.len();
        "fleet gossip started");
}
