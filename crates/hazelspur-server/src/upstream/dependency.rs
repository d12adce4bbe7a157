//! Client of the shared dependency (the configuration's `ledger`): one call at a time on a connection, with a
//! bounded pool of idle connections. Closing a connection cancels its call.

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

/// An older idle connection is not reused: the dependency closes connections that were idle for 10 s.
const MAX_IDLE_TIME: Duration = Duration::from_ms(5000);
/// One part in this many of the connections may be idle.
const IDLE_CONNECTIONS_DIVISOR: usize = 4;
/// The most idle connections.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// A connection is reused only after this time, within which surplus bytes behind its last reply arrive.
const MIN_IDLE_TIME: Duration = Duration::from_ms(5);
/// How long past its timeout a call is left to the dependency, which ends calls in time by itself.
const TIMEOUT_SLACK: Duration = Duration::from_ms(15);
/// The shortest time that a call gets for its reply.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_ms(1);
/// A call that was cancelled after this part of its timeout counts as unanswered: a request is failed before its
/// deadline, which cancels its call.
const UNANSWERED_SHARE_OF_TIMEOUT: f64 = 0.5;
/// The reply header that says that the call had no effect.
const NO_EFFECT_HEADER: &str = "X-Untouched";

/// How far a call came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReach {
    /// It was answered.
    Answered,
    /// No connection was made, or the connection broke.
    Unreachable,
    /// It was accepted, and not answered in time.
    Unanswered,
}

/// Is notified whether calls reach the dependency.
pub trait ReachabilityObserver {
    /// A call ended.
    fn call_finished(&self, reach: CallReach);
}

/// One dependency call of a run.
pub struct Call<'a> {
    /// The request whose run asks for it.
    pub request: RequestId,
    /// How long it may take.
    pub timeout: Duration,
    /// Its body.
    pub body: &'a [u8],
    /// Whether it needs a new connection. The reset of a stale idle connection looks like that of a call that
    /// ran, so a call that must not run twice needs one, and so does a repeated attempt.
    pub new_connection: bool,
}

/// How a call ended, with its reply if it succeeded.
pub struct CallResult {
    /// How it ended.
    pub outcome: Outcome,
    /// The reply's body; empty where none came.
    pub reply: Vec<u8>,
}

impl CallResult {
    fn without_reply(outcome: Outcome) -> Self {
        Self { outcome, reply: Vec::new() }
    }
}

/// A call that was written and not answered yet: dropped late, it counts as unanswered.
struct PendingCall<'a> {
    client: &'a DependencyClient,
    clock: &'a Clock,
    unanswered_from: Timestamp,
}

impl PendingCall<'_> {
    /// The call ended otherwise.
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
    /// Whether nothing came on it; bytes or an end make it useless for a call.
    fn has_no_input(&self) -> bool {
        self.stream.try_read(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}

struct Connection {
    address: SocketAddr,
    stream: TcpStream,
    is_reused: bool,
}

/// Makes the dependency calls of all runs.
pub struct DependencyClient {
    endpoints: Rc<UpstreamEndpoints>,
    observer: OnceCell<Rc<dyn ReachabilityObserver>>,
    idle: RefCell<Vec<IdleConnection>>,
    max_idle: usize,
    /// One permit for each call in progress.
    permits: Semaphore,
}

impl DependencyClient {
    /// A client that uses at most this many descriptors, for calls and idle connections together.
    pub fn new(endpoints: Rc<UpstreamEndpoints>, max_descriptors: usize) -> Self {
        let max_idle = (max_descriptors / IDLE_CONNECTIONS_DIVISOR).min(MAX_IDLE_CONNECTIONS);
        let permits = Semaphore::new(max_descriptors - max_idle);
        Self { endpoints, observer: OnceCell::new(), idle: RefCell::default(), max_idle, permits }
    }

    /// Sets the observer; only the first call counts.
    pub fn observe(&self, observer: Rc<dyn ReachabilityObserver>) {
        let _ = self.observer.set(observer);
    }

    fn notify(&self, reach: CallReach) {
        if let Some(observer) = self.observer.get() {
            observer.call_finished(reach);
        }
    }

    /// Makes a call; dropping the future cancels it.
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

    /// An idle connection where one may be used, else a new one; `None` where that fails in time.
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
                // A proxy in between may accept connections for a dependency that is gone.
                pending.finish(CallReach::Unreachable);
                log::debug!(op:% = call.request, reused = is_reused, why:% = error; "dependency call broke");
                CallResult::without_reply(Outcome::ConnectionLost)
            }
            Err(_) => CallResult::without_reply(Outcome::TimedOut),
        }
    }

    /// Takes an idle connection that is usable now, and closes those that are old, not silent or lead to a
    /// former address.
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

/// Whether the dependency answers, whatever the answer: it is called for a run that does not exist, which has no
/// effect. `caller` is part of the name of that run, so that callers do not replace each other's calls.
pub async fn is_answering(clock: &Clock, address: SocketAddr, caller: &str, timeout: Duration) -> bool {
    // No request has such an id: those of gateways are hexadecimal, those of brokers begin otherwise.
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
