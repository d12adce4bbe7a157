//! Gateways' connections as a whole: who is accepted, how many there are, which are closed and when.

use crate::clock::sleep;
use crate::ingress::answers::{Answers, Stage};
use crate::process::descriptors::Descriptors;
use crate::process::phases::{OpenCounts, Phase, Phases};
use crate::request::lifecycle::Services;
use hazelspur::{Catalog, Duration};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use tokio::net::{TcpListener, TcpStream};

const ROUND: Duration = Duration::from_ms(100);
const CLOSING_ROUND: Duration = Duration::from_ms(10);
/// How long a gateway may take to close a connection after a farewell; less in a drain, which has an end.
const FAREWELL: Duration = Duration::from_ms(1500);
const LAST_FAREWELL: Duration = Duration::from_ms(400);
const HEALTH_IDLE: Duration = Duration::from_ms(60_000);
/// So many idle connections are closed at a time when there are too many.
const EVICTED: usize = 16;
/// A full table is looked at again after this; a failed accept is tried again after this, and ever later.
const FULL_PAUSE: Duration = Duration::from_ms(5);
const LONGEST_ACCEPT_PAUSE: Duration = Duration::from_ms(160);
/// Within this a connection has to bring something good; it is told and closed well before 3 s.
const FIRST_GOOD: Duration = Duration::from_ms(1800);
/// Within this a line that has begun has to be whole.
const PARTIAL_LINE: Duration = Duration::from_ms(2500);
/// The same where requests that the runtime knew have come: its path may be cut in the middle of a request.
const KNOWN_PARTIAL_LINE: Duration = Duration::from_ms(30_000);
/// Lines on bad connections in a round; more are told as a number.
const MAX_TOLD: u32 = 4;

pub struct Gateways {
    pub services: Rc<Services>,
    pub catalog: Rc<RefCell<Catalog>>,
    phases: Rc<Phases>,
    /// Until no connection is taken any more.
    listener: RefCell<Option<TcpListener>>,
    budget: Descriptors,
    connections: RefCell<BTreeMap<ConnectionId, Rc<Answers>>>,
    last: Cell<ConnectionId>,
    /// Connections with bad input that ended in this round.
    bad: Cell<u32>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

impl Gateways {
    pub fn new(
        services: Rc<Services>,
        phases: Rc<Phases>,
        catalog: Rc<RefCell<Catalog>>,
        listener: TcpListener,
        budget: Descriptors,
    ) -> Self {
        let (connections, last, bad) = (RefCell::default(), Cell::default(), Cell::default());
        Self {
            services,
            phases,
            catalog,
            listener: RefCell::new(Some(listener)),
            budget,
            connections,
            last,
            bad,
        }
    }

    /// How many requests are owed an answer, on how many connections.
    pub fn figures(&self) -> OpenCounts {
        let open: usize = self.connections.borrow().values().map(|c| c.open.borrow().len()).sum();
        OpenCounts { requests: open, connections: self.connected() }
    }

    pub fn connected(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Nothing is taken any more, and the last connection is gone.
    pub fn over(&self) -> bool {
        self.listener.borrow().is_none() && self.connected() == 0
    }

    pub fn remove(&self, connection: ConnectionId) {
        self.connections.borrow_mut().remove(&connection);
    }

    /// One line for bad input on a connection that ends, unless there are too many.
    pub fn note_faults(&self, answers: &Answers) {
        let (faults, why) = answers.faults.get();
        if faults > 0 {
            self.bad.set(self.bad.get() + 1);
            if self.bad.get() <= MAX_TOLD {
                log::warn!(faults, last = why; "bad input");
            }
        }
    }

    pub async fn accept(self: Rc<Self>) {
        let closing = |phase| !matches!(phase, Phase::Waiting | Phase::Serving | Phase::Draining);
        let (mut failed, mut pause) = (0u32, CLOSING_ROUND);
        loop {
            let accepted = tokio::select! {
                () = self.phases.reached(closing) => break,
                accepted = self.next() => accepted,
            };
            match accepted {
                Ok(stream) => {
                    if failed > 0 {
                        log::info!(failed; "accepting again");
                    }
                    (failed, pause) = (0, CLOSING_ROUND);
                    self.clone().welcome(stream);
                }
                Err(e) => {
                    failed += 1;
                    if failed == 1 {
                        log::warn!(connections = self.connected(), why:% = e; "accept failed");
                    }
                    self.evict(true);
                    sleep(pause).await;
                    pause = (pause + pause).min(LONGEST_ACCEPT_PAUSE);
                }
            }
        }
        self.take_the_rest();
    }

    /// The next connection, once there is a place for it: one that waits outside loses nothing.
    async fn next(&self) -> std::io::Result<TcpStream> {
        while self.connected() >= self.budget.gateways + self.budget.closing {
            self.evict(false);
            sleep(FULL_PAUSE).await;
        }
        let accepted = poll_fn(|context| match &*self.listener.borrow() {
            Some(listener) => listener.poll_accept(context),
            None => Poll::Pending,
        });
        Ok(accepted.await?.0)
    }

    /// The machine has accepted what still waits to be taken here: it is taken and answered, and the listener
    /// is closed with nothing waited for in between.
    fn take_the_rest(self: Rc<Self>) {
        let Some(Ok(listener)) = self.listener.take().map(TcpListener::into_std) else { return };
        for _ in 0..self.budget.gateways + self.budget.closing {
            let Ok((stream, _)) = listener.accept() else { break };
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            let _ = stream.map(|stream| self.clone().welcome(stream));
        }
    }

    /// Counts a connection from the moment it is accepted: many may come before the first of their tasks runs.
    fn welcome(self: Rc<Self>, stream: TcpStream) {
        self.evict(false);
        let answers = Rc::new(Answers::new(self.services.dispatcher.clone()));
        let connection = ConnectionId(self.last.get().0 + 1);
        self.last.set(connection);
        self.connections.borrow_mut().insert(connection, answers.clone());
        tokio::task::spawn_local(self.converse(connection, answers, stream));
    }

    /// Descriptors run short: what has brought nothing good yet goes first, then what is idle longest. Once
    /// even those that are going are too many, or `now`, nothing more is waited for on them.
    fn evict(&self, now: bool) {
        let connections = self.connections.borrow();
        let most = self.budget.gateways;
        let going = |c: &&Rc<Answers>| c.stage.get() != Stage::Open;
        let idle = |c: &&Rc<Answers>| c.open.borrow().is_empty();
        let mut freed = 0;
        if now || connections.len() >= most + self.budget.closing {
            let going = connections.values().filter(going).filter(idle);
            freed = going.inspect(|c| c.close.notify_one()).count();
        }
        // Those that go make room enough for now: what is good stays.
        if now && freed > 0 || !now && connections.len() < most + connections.values().filter(going).count() {
            return;
        }
        let mut idle: Vec<&Rc<Answers>> = connections.values().filter(idle).filter(|c| !going(c)).collect();
        idle.sort_by_key(|c| (c.proven.get(), c.quiet_since.get()));
        for connection in idle.iter().take(EVICTED) {
            if connection.proven.get() {
                connection.farewell();
            } else {
                connection.dismiss("too many connections");
            }
        }
    }

    /// Closes what has been idle for as long as the module says, and what brings nothing good in time; while
    /// closing, all that is not in use; near the end, all.
    pub async fn tick(self: Rc<Self>) {
        loop {
            let phase = self.phases.now();
            let closing = matches!(phase, Phase::Closing | Phase::Ending);
            let now = self.services.dispatcher.clock.now();
            let idle = self.services.dispatcher.idle_timeout.get();
            for connection in self.connections.borrow().values() {
                let open = !connection.open.borrow().is_empty();
                let partial = connection.partial_since.get();
                let within = if connection.known.get() { KNOWN_PARTIAL_LINE } else { PARTIAL_LINE };
                let late = partial.is_some_and(|since| now - since >= within);
                let idler = !open && !connection.proven.get() && now - connection.since >= FIRST_GOOD;
                if connection.found_late.replace(late || idler) && (late || idler) {
                    connection.dismiss("nothing good came in time");
                }
                if matches!(connection.stage.get(), Stage::Closing | Stage::Shut) {
                    continue;
                }
                if phase == Phase::Ending {
                    connection.end();
                }
                if open {
                    continue;
                }
                let quiet = now - connection.quiet_since.get();
                let parting = if closing { LAST_FAREWELL } else { FAREWELL };
                let idle = if connection.for_health.get() { Some(HEALTH_IDLE) } else { idle };
                match connection.stage.get() {
                    Stage::Open if closing || idle.is_some_and(|idle| quiet >= idle) => connection.farewell(),
                    // Half a request is no request yet: its other half is waited for, as long as for any.
                    Stage::Parting(at) if now - at >= parting && quiet >= parting && partial.is_none() => {
                        connection.end();
                    }
                    _ => {}
                }
            }
            let untold = self.bad.take().saturating_sub(MAX_TOLD);
            if untold > 0 {
                log::warn!(connections_not_told = untold, connections = self.connected(); "bad input");
            }
            sleep(if closing { CLOSING_ROUND } else { ROUND }).await;
        }
    }
}
