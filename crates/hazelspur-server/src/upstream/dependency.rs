//! Client of the shared dependency, which the configuration calls `ledger`.
//!
//! A connection carries one call at a time, and a bounded number of idle connections is kept for reuse.
//! Closing a connection cancels its call.

use crate::clock::{Clock, to_std};
use crate::upstream::endpoints::UpstreamEndpoints;
use crate::upstream::http_exchange::exchange;
use hazelspur::{Duration, Outcome, RequestId, Timestamp};
use hazelspur_parsers::http::{self, Response};
use std::cell::{OnceCell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Idle time at which a connection is no longer reused. The dependency closes connections after 10 s without
/// a call.
const MAX_IDLE_TIME: Duration = Duration::from_ms(5000);
/// Divisor of the number of connections that gives the maximum number of idle ones.
const IDLE_CONNECTIONS_DIVISOR: usize = 4;
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Minimum idle time before a connection is reused. Surplus bytes after its last reply arrive within this
/// time and show that the connection is unusable.
const MIN_IDLE_TIME: Duration = Duration::from_ms(5);
/// Time beyond its timeout for which a call is awaited, since the dependency itself ends calls at their
/// timeout.
const TIMEOUT_SLACK: Duration = Duration::from_ms(15);
/// Minimum time for the reply to a call.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_ms(1);
/// Share of its reply timeout after which a cancelled call counts as unanswered. A request is failed before
/// its deadline, which cancels its call before the timeout.
const UNANSWERED_SHARE_OF_TIMEOUT: f64 = 0.5;
/// Header of a reply that says that the call had no effect.
const NO_EFFECT_HEADER: &str = "X-Untouched";

/// Result of a call that shows whether the dependency can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReach {
    /// The call was answered.
    Answered,
    /// The connection could not be opened, or broke.
    Unreachable,
    /// The call was sent and not answered in time.
    Unanswered,
}

/// Observer that is notified whether calls reach the dependency.
pub trait ReachabilityObserver {
    /// Handles the end of a call.
    fn call_finished(&self, reach: CallReach);
}

/// Dependency call of a run.
pub struct Call<'a> {
    /// Request whose run makes the call.
    pub request: RequestId,
    /// Timeout, from the wait for a connection to the reply.
    pub timeout: Duration,
    /// Body of the call.
    pub body: &'a [u8],
    /// Whether the call needs a new connection. The reset of a stale idle connection cannot be told from a
    /// reset after the call took effect, so calls that must not run twice need a new one, and so do repeated
    /// attempts.
    pub new_connection: bool,
}

/// Result of a call.
pub struct CallResult {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Body of the reply; empty if there was no reply.
    pub reply: Vec<u8>,
}

impl CallResult {
    fn without_reply(outcome: Outcome) -> Self {
        Self { outcome, reply: Vec::new() }
    }
}

/// Call that was sent and has not ended. If it is dropped at `unanswered_from` or later, it counts as
/// unanswered.
struct PendingCall<'a> {
    client: &'a DependencyClient,
    clock: &'a Clock,
    unanswered_from: Timestamp,
}

impl PendingCall<'_> {
    /// Notifies the observer of the end of the call.
    fn finish(self, reach: CallReach) {
        self.client.notify(reach);
        std::mem::forget(self);
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if self.clock.now() >= self.unanswered_from {
            self.client.notify(CallReach::Unanswered);
        }
    }
}

struct IdleConnection {
    idle_since: Timestamp,
    address: SocketAddr,
    stream: TcpStream,
}

impl IdleConnection {
    /// Returns whether the connection is open and has no unread bytes; otherwise it is unusable for a call.
    fn has_no_input(&self) -> bool {
        self.stream.try_read(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}

struct Connection {
    address: SocketAddr,
    stream: TcpStream,
    is_reused: bool,
}

/// Client that makes the dependency calls of all runs.
pub struct DependencyClient {
    endpoints: Rc<UpstreamEndpoints>,
    observer: OnceCell<Rc<dyn ReachabilityObserver>>,
    idle: RefCell<Vec<IdleConnection>>,
    max_idle: usize,
    /// Permits for calls in progress, one for each call.
    permits: Semaphore,
}

impl DependencyClient {
    /// Creates a client that uses at most `max_descriptors` descriptors for calls and idle connections
    /// together.
    pub fn new(endpoints: Rc<UpstreamEndpoints>, max_descriptors: usize) -> Self {
        let max_idle = (max_descriptors / IDLE_CONNECTIONS_DIVISOR).min(MAX_IDLE_CONNECTIONS);
        let permits = Semaphore::new(max_descriptors - max_idle);
        Self { endpoints, observer: OnceCell::new(), idle: RefCell::default(), max_idle, permits }
    }

    /// Sets the observer; only the first call has an effect.
    pub fn observe(&self, observer: Rc<dyn ReachabilityObserver>) {
        let _ = self.observer.set(observer);
    }

    fn notify(&self, reach: CallReach) {
        if let Some(observer) = self.observer.get() {
            observer.call_finished(reach);
        }
    }

    /// Makes a call and returns its result. Dropping the future cancels the call.
    pub async fn call(&self, clock: &Clock, call: Call<'_>) -> CallResult {
        let give_up_at = clock.now() + call.timeout + TIMEOUT_SLACK;
        let Ok(Ok(_permit)) = clock.timeout(call.timeout, self.permits.acquire()).await else {
            return CallResult::without_reply(Outcome::Rejected);
        };
        let Some(address) = self.endpoints.current().dependency else {
            return CallResult::without_reply(Outcome::Unreachable);
        };
        let Some(connection) = self.obtain_connection(clock, address, &call, give_up_at).await else {
            self.notify(CallReach::Unreachable);
            return CallResult::without_reply(Outcome::Unreachable);
        };
        self.exchange(clock, connection, &call, give_up_at).await
    }

    /// Returns an idle connection if the call may use one, or a new one; `None` if connecting fails or times
    /// out.
    async fn obtain_connection(
        &self,
        clock: &Clock,
        address: SocketAddr,
        call: &Call<'_>,
        give_up_at: Timestamp,
    ) -> Option<Connection> {
        if !call.new_connection
            && let Some(stream) = self.take_idle(clock.now(), address)
        {
            return Some(Connection { address, stream, is_reused: true });
        }
        let connecting = clock.timeout(give_up_at - clock.now(), TcpStream::connect(address));
        let stream = connecting.await.ok()?.ok()?;
        Some(Connection { address, stream, is_reused: false })
    }

    async fn exchange(
        &self,
        clock: &Clock,
        connection: Connection,
        call: &Call<'_>,
        give_up_at: Timestamp,
    ) -> CallResult {
        let Connection { address, mut stream, is_reused } = connection;
        let _ = stream.set_nodelay(true);
        let reply_timeout = (give_up_at - clock.now()).max(MIN_REPLY_TIMEOUT);
        let message = encode_call(call, address, call.timeout.min(reply_timeout));
        let unanswered_from = clock.now() + reply_timeout.scaled(UNANSWERED_SHARE_OF_TIMEOUT);
        let pending = PendingCall { client: self, clock, unanswered_from };
        let exchanging = exchange(&mut stream, &message, NO_EFFECT_HEADER);
        match clock.timeout(reply_timeout, exchanging).await {
            Ok(Ok(reply)) => {
                pending.finish(CallReach::Answered);
                if reply.is_reusable {
                    self.put_idle(clock.now(), address, stream);
                }
                CallResult { outcome: outcome_of(&reply), reply: reply.body }
            }
            Ok(Err(error)) => {
                // Counts as unreachable, since a proxy may accept connections for a dependency that is down.
                pending.finish(CallReach::Unreachable);
                log::debug!(op:% = call.request, reused = is_reused, why:% = error; "dependency call failed");
                CallResult::without_reply(Outcome::ConnectionLost)
            }
            Err(_) => CallResult::without_reply(Outcome::TimedOut),
        }
    }

    /// Returns an idle connection that is usable now, if any. Closes those that are too old, have unread
    /// bytes, are closed by the peer or lead to a former address.
    fn take_idle(&self, now: Timestamp, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| {
            now - connection.idle_since < MAX_IDLE_TIME
                && connection.address == address
                && connection.has_no_input()
        });
        let usable = idle.iter().rposition(|connection| now - connection.idle_since >= MIN_IDLE_TIME)?;
        Some(idle.remove(usable).stream)
    }

    fn put_idle(&self, now: Timestamp, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.max_idle && Some(address) == self.endpoints.current().dependency {
            idle.push(IdleConnection { idle_since: now, address, stream });
        }
    }
}

/// Returns whether the dependency answers a probe, with any reply. The probe is a call for a run that does
/// not exist, which has no effect. `caller` is part of the id of that run, so that callers do not replace
/// each other's calls.
pub async fn is_answering(clock: &Clock, address: SocketAddr, caller: &str, timeout: Duration) -> bool {
    // No request has this id: ids from gateways are hexadecimal, and ids from brokers start with another
    // prefix.
    let Some(request) = RequestId::padded(&format!("p-{caller}")) else { return false };
    let call = Call { request, timeout, body: &[], new_connection: true };
    let message = encode_call(&call, address, timeout);
    let calling = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        exchange(&mut stream, &message, NO_EFFECT_HEADER).await.ok()
    };
    matches!(clock.timeout(timeout, calling).await, Ok(Some(_)))
}

fn encode_call(call: &Call<'_>, address: SocketAddr, timeout: Duration) -> Vec<u8> {
    let id = call.request.to_string();
    let limit_ms = to_std(timeout).as_millis().max(1).to_string();
    let headers = [("X-Txn-Ref", id.as_str()), ("X-Limit-Ms", limit_ms.as_str())];
    let mut message = Vec::new();
    http::write_request(&mut message, "POST", "/post", &address.to_string(), &headers, call.body);
    message
}

fn outcome_of(reply: &Response) -> Outcome {
    let no_effect = reply.is_flagged;
    match reply.status {
        200 => Outcome::Ok,
        409 if no_effect => Outcome::NeverStarted,
        _ if no_effect => Outcome::Rejected,
        504 => Outcome::TimedOut,
        _ => Outcome::Error,
    }
}
