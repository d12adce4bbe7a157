//! Calls to the shared ledger, one at a time on a connection; closing a connection gives its call up.

use crate::clock::{Clock, long};
use crate::upstream::exchange::exchange;
use crate::upstream::peers::Peers;
use hazelspur::{Duration, Outcome, RequestId, Timestamp};
use hazelspur_parsers::http;
use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// The ledger closes connections that stood idle for 10 s.
const REUSE_WITHIN: Duration = Duration::from_ms(5000);
/// Of the connections that may lead here, one in so many may be kept idle.
const IDLE_PART: usize = 4;
const MAX_IDLE: usize = 16;
/// What comes unasked after a reply has come within this.
const REST: Duration = Duration::from_ms(5);
/// The ledger ends a call in time by itself; only past this is it given up from here.
const PATIENCE_SLACK: Duration = Duration::from_ms(15);
const UNTOUCHED: &str = "X-Untouched";

/// Who is told whether calls reach anybody.
pub trait Reached {
    fn call_finished(&self, reached: bool);
}

pub struct Ledger {
    peers: Rc<Peers>,
    told: OnceCell<Rc<dyn Reached>>,
    /// Since when each is idle, and where it leads.
    idle: RefCell<Vec<(Timestamp, SocketAddr, TcpStream)>>,
    most_idle: usize,
    /// How many calls may have a connection at a time.
    places: Semaphore,
}

impl Ledger {
    pub fn new(peers: Rc<Peers>, descriptors: usize) -> Self {
        let most_idle = (descriptors / IDLE_PART).min(MAX_IDLE);
        let places = Semaphore::new(descriptors - most_idle);
        Self { peers, told: OnceCell::new(), idle: RefCell::default(), most_idle, places }
    }

    /// From now on this one is told; once.
    pub fn tells(&self, whom: Rc<dyn Reached>) {
        let _ = self.told.set(whom);
    }

    fn tell(&self, reached: bool) {
        if let Some(told) = self.told.get() {
            told.call_finished(reached);
        }
    }

    /// Makes the call for a run; dropping the future gives it up. A kept connection may have been forgotten
    /// at the other end, and its reset can't be told from that of a call that ran: where that matters, or
    /// where one has just broken, the call gets a `fresh` one.
    pub async fn call(
        &self,
        clock: &Clock,
        request: RequestId,
        patience: Duration,
        body: &[u8],
        fresh: bool,
    ) -> (Outcome, Vec<u8>) {
        let until = clock.now() + patience + PATIENCE_SLACK;
        let Ok(Ok(_place)) = tokio::time::timeout(long(patience), self.places.acquire()).await else {
            return (Outcome::Rejected, Vec::new());
        };
        let Some(address) = self.peers.now().ledger else { return (Outcome::Unreachable, Vec::new()) };
        let kept = if fresh { None } else { self.kept(clock.now(), address) };
        let reused = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => {
                match tokio::time::timeout(long(until - clock.now()), TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => stream,
                    _ => {
                        self.tell(false);
                        return (Outcome::Unreachable, Vec::new());
                    }
                }
            }
        };
        let _ = stream.set_nodelay(true);
        let left = (until - clock.now()).max(Duration::from_ms(1));
        let limit = patience.min(left);
        let (id, limit) = (request.to_string(), (limit.us() / 1000).max(1).to_string());
        let more = [("X-Txn-Ref", id.as_str()), ("X-Limit-Ms", limit.as_str())];
        let mut call = Vec::new();
        http::write_call(&mut call, "POST", "/post", &address.to_string(), &more, body);
        match tokio::time::timeout(long(left), exchange(&mut stream, &call, UNTOUCHED)).await {
            Ok(Ok(response)) => {
                self.tell(true);
                if response.is_reusable {
                    self.keep(clock.now(), address, stream);
                }
                (outcome(response.status, response.is_marked), response.body)
            }
            Ok(Err(why)) => {
                // Something between may take connections for a ledger that is gone.
                self.tell(false);
                log::debug!(op:% = request, reused, why; "ledger call broke");
                (Outcome::ConnectionLost, Vec::new())
            }
            Err(_) => (Outcome::TimedOut, Vec::new()),
        }
    }

    /// A kept connection that is young and silent; whatever has something to say is no use for a call, and
    /// what has only just come to rest may still have. What leads to where the ledger was before is closed.
    fn kept(&self, now: Timestamp, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let silent = |stream: &TcpStream| {
            stream.try_read(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
        };
        idle.retain(|(since, at, stream)| now - *since < REUSE_WITHIN && *at == address && silent(stream));
        let rested = idle.iter().rposition(|(since, ..)| now - *since >= REST)?;
        Some(idle.remove(rested).2)
    }

    fn keep(&self, now: Timestamp, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.most_idle && Some(address) == self.peers.now().ledger {
            idle.push((now, address, stream));
        }
    }
}

fn outcome(status: u16, untouched: bool) -> Outcome {
    match status {
        200 => Outcome::Ok,
        409 if untouched => Outcome::NeverStarted,
        _ if untouched => Outcome::Rejected,
        504 => Outcome::TimedOut,
        _ => Outcome::Error,
    }
}
