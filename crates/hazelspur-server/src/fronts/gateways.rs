//! Gateways' connections: what they ask is read, answers go out, idle connections are closed.

use crate::clock::{long, sleep};
use crate::fronts::answers::{Answers, Caller};
use crate::fronts::kinds::{Kinds, LONGEST_BODY};
use crate::ops::desk::News;
use crate::ops::life::{Life, Means};
use crate::ops::owed::Owed;
use crate::start::phases::{Phase, Phases};
use crate::start::startup::Startup;
use hazelspur::{CallerId, Moment, OpId, Span, UserKey};
use hazelspur_parsers::rpc::{self, RpcId};
use hazelspur_parsers::{Buffer, Json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};

const MOST_OPEN: usize = 32;
const LONGEST_LINE: usize = 16 * 1024;
/// A caller that says it waits this much longer than the settings allow is not believed.
const TIMEOUT_SLACK: f64 = 1.5;
/// Nor an op that came so long from now; one whose time was over so long ago runs for nobody.
const AHEAD: Span = Span::from_ms(2000);
const LONG_PAST: Span = Span::from_ms(1000);
/// From a gateway that does not read this much, nothing more is read either.
const MOST_UNWRITTEN: usize = 64 * 1024;
const ROUND: Span = Span::from_ms(100);
const CLOSING_ROUND: Span = Span::from_ms(10);
/// How long a gateway may take to close a connection after a farewell.
const FAREWELL: Span = Span::from_ms(400);
const LAST_ACCEPT: Span = Span::from_ms(2);
const HEALTH_IDLE: Span = Span::from_ms(60_000);
const SHED: usize = 16;
/// Descriptors not for gateways' connections, and how many of those may be on their way out.
const KEPT_BACK: usize = 128;
const GOING: usize = 64;
/// Within this a connection has to bring something good; it is told and closed well before 3 s.
const FIRST_GOOD: Span = Span::from_ms(1800);
/// Within this a line that has begun has to be whole.
const WHOLE_LINE: Span = Span::from_ms(2500);
/// After an error nothing more is read for a while, so that errors at full speed don't take up the core; after
/// so many the connection is closed.
const FAULT_PAUSE: Span = Span::from_ms(50);
const MOST_FAULTS: u32 = 4;
/// What still comes after the last word is read and dropped, so that a reset does not swallow that word; so
/// much of it, for so long, on so many connections at once.
const DRAINED: usize = 256 * 1024;
const DRAINED_FOR: Span = Span::from_ms(300);
const MOST_DRAINING: usize = 32;
/// A caller that does not take its last answers is left after this.
const LAST_WRITE: Span = Span::from_ms(1000);
/// Lines on bad connections in a round; more are told as a number.
const MOST_TOLD: u32 = 4;

pub struct Gateways {
    means: Rc<Means>,
    phases: Rc<Phases>,
    kinds: Rc<Kinds>,
    most: usize,
    connections: RefCell<BTreeMap<ConnectionId, Rc<Answers>>>,
    last: Cell<ConnectionId>,
    draining: Cell<usize>,
    /// Connections with bad input that ended in this round.
    bad: Cell<u32>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId(u64);

/// An error answer: its code and what it says.
type Refusal = (i32, &'static str);

impl Gateways {
    pub fn new(means: Rc<Means>, phases: Rc<Phases>, kinds: Rc<Kinds>, told: &Startup) -> Self {
        let (connections, last) = (RefCell::default(), Cell::default());
        let most = told.sockets.saturating_sub(KEPT_BACK).max(told.sockets / 2);
        let (draining, bad) = (Cell::default(), Cell::default());
        Self { means, phases, kinds, most, connections, last, draining, bad }
    }

    /// How many ops are owed an answer, on how many connections.
    pub fn figures(&self) -> (usize, usize) {
        let open: usize = self.connections.borrow().values().map(|c| c.open.borrow().len()).sum();
        (open, self.connected())
    }

    pub fn connected(&self) -> usize {
        self.connections.borrow().len()
    }

    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let closing = |phase| matches!(phase, Phase::Closing | Phase::Over);
        loop {
            tokio::select! {
                () = self.phases.reached(closing) => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.clone().welcome(stream),
                    Err(e) => {
                        log::warn!(connections = self.connected(), why:% = e; "accept failed");
                        self.shed(true);
                        sleep(CLOSING_ROUND).await;
                    }
                },
            }
        }
        // The machine has accepted what still waits to be taken here.
        while let Ok(Ok((stream, _))) = tokio::time::timeout(long(LAST_ACCEPT), listener.accept()).await {
            self.clone().welcome(stream);
        }
    }

    /// Counts a connection from the moment it is accepted: many may come before the first of their tasks runs.
    fn welcome(self: Rc<Self>, stream: TcpStream) {
        self.shed(false);
        let answers = Rc::new(Answers::new(self.means.desk.clone()));
        let connection = ConnectionId(self.last.get().0 + 1);
        self.last.set(connection);
        self.connections.borrow_mut().insert(connection, answers.clone());
        tokio::task::spawn_local(self.converse(connection, answers, stream));
    }

    /// Descriptors run short: what has brought nothing good yet goes first, then what is idle longest. Once
    /// even those that are going are too many, or `now`, nothing more is waited for on them.
    fn shed(&self, now: bool) {
        let connections = self.connections.borrow();
        let going = |c: &&Rc<Answers>| c.closing.get() || c.said_farewell.get().is_some();
        let idle = |c: &&Rc<Answers>| c.open.borrow().is_empty();
        let mut freed = 0;
        if now || connections.len() >= self.most + GOING {
            let going = connections.values().filter(going).filter(idle);
            freed = going.inspect(|c| c.close.notify_one()).count();
        }
        // Those that go make room enough for now: what is good stays.
        if now && freed > 0
            || !now && connections.len() < self.most + connections.values().filter(going).count()
        {
            return;
        }
        let mut idle: Vec<&Rc<Answers>> = connections.values().filter(idle).filter(|c| !going(c)).collect();
        idle.sort_by_key(|c| (c.proven.get(), c.quiet_since.get()));
        for connection in idle.iter().take(SHED) {
            if connection.proven.get() {
                connection.farewell();
            } else {
                connection.dismiss("too many connections");
            }
        }
    }

    /// Closes what has been idle for as long as the module says, and what brings nothing good in time; while
    /// closing, all that is not in use.
    pub async fn keep(self: Rc<Self>) {
        loop {
            let closing = self.phases.now() == Phase::Closing;
            let now = self.means.desk.clock.now();
            let idle = self.means.desk.keep_idle.get();
            for connection in self.connections.borrow().values() {
                let open = !connection.open.borrow().is_empty();
                let half = connection.half_since.get().is_some_and(|since| now - since >= WHOLE_LINE);
                let idler = !open && !connection.proven.get() && now - connection.since >= FIRST_GOOD;
                if connection.found_late.replace(half || idler) && (half || idler) {
                    connection.dismiss("nothing good came in time");
                }
                if open || connection.closing.get() {
                    continue;
                }
                let quiet = now - connection.quiet_since.get();
                let idle = if connection.for_health.get() { Some(HEALTH_IDLE) } else { idle };
                match connection.said_farewell.get() {
                    None if closing || idle.is_some_and(|idle| quiet >= idle) => connection.farewell(),
                    Some(at) if now - at >= FAREWELL && quiet >= FAREWELL => connection.close.notify_one(),
                    _ => {}
                }
            }
            let untold = self.bad.take().saturating_sub(MOST_TOLD);
            if untold > 0 {
                log::warn!(connections_not_told = untold, connections = self.connected(); "bad input");
            }
            sleep(if closing { CLOSING_ROUND } else { ROUND }).await;
        }
    }

    async fn converse(self: Rc<Self>, connection: ConnectionId, answers: Rc<Answers>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut read, mut write) = stream.split();
        let mut buffer = Buffer::default();
        let reading = async {
            while read.read_buf(buffer.room()).await? > 0 {
                let faults = answers.faults.get().0;
                self.take_lines(&answers, &mut buffer);
                let faults_now = answers.faults.get().0;
                if faults_now >= MOST_FAULTS {
                    break;
                } else if faults_now > faults {
                    sleep(FAULT_PAUSE).await;
                }
                answers.written_below(MOST_UNWRITTEN).await;
            }
            std::io::Result::Ok(())
        };
        let writing = async {
            let mut out = Vec::new();
            loop {
                answers.next_out(&mut out).await;
                if write.write_all(&out).await.is_err() {
                    return;
                }
            }
        };
        {
            tokio::pin!(writing);
            let ended = tokio::select! {
                read = reading => read.is_ok(),
                () = &mut writing => false,
                () = answers.close.notified() => true,
            };
            answers.closing.set(true);
            if ended {
                // The caller writes nothing more, or is not read any more, but may still read.
                tokio::select! {
                    () = &mut writing => {}
                    () = answers.all_out(LAST_WRITE) => {}
                }
            }
        }
        let (faults, why) = answers.faults.get();
        if faults > 0 {
            self.bad.set(self.bad.get() + 1);
            if self.bad.get() <= MOST_TOLD {
                log::warn!(faults, last = why; "bad input");
            }
            if self.draining.get() < MOST_DRAINING && write.shutdown().await.is_ok() {
                self.draining.set(self.draining.get() + 1);
                tokio::select! {
                    () = drain(&mut read, &mut buffer) => {}
                    () = sleep(DRAINED_FOR) => {}
                    () = answers.close.notified() => {}
                }
                self.draining.set(self.draining.get() - 1);
            }
        }
        self.connections.borrow_mut().remove(&connection);
        let left: Vec<OpId> = answers.open.borrow().values().copied().collect();
        if !left.is_empty() {
            log::debug!(open = left.len(); "connection broke");
        }
        left.into_iter().for_each(|op| self.means.desk.hand(op, News::Gone));
    }

    fn take_lines(&self, answers: &Rc<Answers>, buffer: &mut Buffer) {
        while answers.faults.get().0 < MOST_FAULTS {
            let length = buffer.line();
            if length.unwrap_or(buffer.unread().len()) > LONGEST_LINE {
                // Its rest may be any length: nothing more is read here.
                answers.dismiss("the line is too long");
                answers.half_since.set(None);
                return buffer.take(buffer.unread().len());
            }
            let Some(length) = length else { break };
            self.take_line(answers, buffer.unread()[..length].trim_ascii_end());
            buffer.take(length + 1);
            answers.half_since.set(None);
        }
        if !buffer.unread().is_empty() && answers.half_since.get().is_none() {
            answers.half_since.set(Some(self.means.desk.clock.now()));
        }
    }

    fn take_line(&self, answers: &Rc<Answers>, line: &[u8]) {
        if line.is_empty() {
            return;
        }
        let Some(message) = Json::parse(line).filter(|message| message.is_object()) else {
            return answers.fault(None, rpc::NOT_JSON, "not a JSON object");
        };
        let message = message.table();
        if message.get("jsonrpc").and_then(Json::text).as_deref() != Some("2.0") {
            return answers.fault(None, rpc::NOT_VALID, "not JSON-RPC 2.0");
        }
        let id = message.get("id").and_then(Json::whole).filter(|id| *id > 0).map(RpcId);
        let params = message.get("params");
        let Some(method) = message.get("method").and_then(Json::text) else {
            return answers.fault(id, rpc::NOT_VALID, "no method");
        };
        match (&*method, id) {
            ("interrupt", _) => self.interrupt(answers, id, params),
            (_, None) => answers.fault(None, rpc::NOT_VALID, "no id from 1 up"),
            ("check", Some(id)) => {
                answers.for_health.set(true);
                answers.proven.set(true);
                answers.quiet_since.set(self.means.desk.clock.now());
                let desk = &self.means.desk;
                answers.put(|out| rpc::check(out, id, desk.good.get(), desk.signal.get()));
            }
            (class, Some(id)) => {
                // What is open under this id has its own answer.
                let own = (!answers.open.borrow().contains_key(&id)).then_some(id);
                match self.read_op(answers, id, class, params) {
                    Ok(()) => answers.proven.set(true),
                    Err((rpc::NACKED, why)) => {
                        answers.put(|out| rpc::error(out, own, rpc::NACKED, why, None, false, None));
                    }
                    Err((code, why)) => answers.fault(own, code, why),
                }
            }
        }
    }

    fn interrupt(&self, answers: &Answers, id: Option<RpcId>, params: Option<Json>) {
        let field = |name: &str| params.and_then(|params| params.get(name));
        let mut open = answers.open.borrow_mut();
        let named = field("req").and_then(Json::text).and_then(|req| OpId::padded(&req));
        let numbered =
            field("id").and_then(Json::whole).map(RpcId).or(id).and_then(|id| open.get(&id).copied());
        let op = named.filter(|op| open.values().any(|other| other == op)).or(numbered);
        if let Some(op) = op {
            open.retain(|_, other| *other != op); // its place is free for the next line already
            drop(open);
            answers.quiet_since.set(self.means.desk.clock.now());
            self.means.desk.hand(op, News::Gone);
        }
    }

    /// Decodes an op and begins its life.
    fn read_op(
        &self,
        answers: &Rc<Answers>,
        id: RpcId,
        class: &str,
        params: Option<Json>,
    ) -> Result<(), Refusal> {
        let bad = |what: &'static str| (rpc::BAD_PARAMS, what);
        let desk = &self.means.desk;
        let op_type = self.kinds.find(class).ok_or((rpc::NO_METHOD, "no such method"))?;
        let params = params.filter(|p| p.is_object()).ok_or(bad("params is no object"))?.table();
        let req = params.get("req").and_then(Json::text);
        let op = req.and_then(|req| OpId::padded(&req)).ok_or(bad("req is no id"))?;
        let ts = params.get("ts").and_then(Json::whole).ok_or(bad("ts is no time"))?;
        let via = params.get("via").map_or(Some(0), Json::whole).ok_or(bad("via is no number"))?;
        let need = params.get("need").and_then(Json::number).filter(|kb| *kb > 0.0 && *kb < 2000.0);
        let need = need.ok_or(bad("need is out of range"))?;
        let level = params.get("level").is_none_or(|l| l.number().is_some_and(|l| (0.0..1.0).contains(&l)));
        let owner = params.get("owner").map(|o| o.text().ok_or(bad("owner is no string"))).transpose()?;
        let tenant = self.kinds.tenant(owner.as_deref()).ok_or(bad("owner is not known"))?;
        let timeout = params.get("timeout").map(|t| t.number().filter(|ms| *ms >= 0.0));
        let timeout = timeout.map(|ms| ms.ok_or(bad("timeout is no time"))).transpose()?;
        let subject =
            params.get("subject").map(|s| s.text().ok_or(bad("subject is no string"))).transpose()?;
        let opkey = params.get("opkey").map(|k| k.text().ok_or(bad("opkey is no string"))).transpose()?;
        let body = params.get("data").map_or(Some(Vec::new()), |data| rpc::body(&data.text()?));
        let body = body.filter(|body| body.len() <= LONGEST_BODY).ok_or(bad("data is no body"))?;
        let now = desk.clock.now();
        let arrived = Moment::from_us(ts.saturating_mul(1000));
        let longest = self.kinds.timeout(op_type).scaled(TIMEOUT_SLACK).us() as f64 / 1000.0;
        if !level || arrived > now + AHEAD || timeout.is_some_and(|ms| ms > longest) {
            return Err(bad("level, ts or timeout is out of range"));
        }
        if answers.open.borrow().len() >= MOST_OPEN || answers.open.borrow().contains_key(&id) {
            return Err((rpc::NOT_VALID, "too many open, or this id is"));
        }
        if !desk.is_open() {
            return Err((rpc::NACKED, "not serving yet"));
        }
        let due = timeout.map(|ms| arrived + Span::from_secs(ms / 1000.0));
        if due.unwrap_or(arrived + self.kinds.timeout(op_type)) + LONG_PAST <= now {
            return Err((rpc::NACKED, "its time was over long ago"));
        }
        let news = desk.enroll(op).ok_or(bad("this req is in hand"))?;
        let user = subject.as_deref().map(UserKey::of);
        let key = opkey.as_deref().map(UserKey::of).or(user);
        let repeat_of = key.and_then(|key| {
            let key = (op_type, key);
            desk.repeats.borrow_mut().read(now, op, key, opkey.is_some())
        });
        let owed = Owed::new(Caller::new(answers.clone(), id, op), desk.clone());
        let class = self.kinds.name(op_type);
        let (means, body, may_repeat) = (self.means.clone(), body.into(), self.kinds.may_repeat(op_type));
        let life = Life { means, op, class, body, may_repeat, repeat_of, owed, news };
        tokio::task::spawn_local(life.live(op_type, tenant, user, CallerId(via), due, need, arrived));
        Ok(())
    }
}

/// Reads and drops what still comes, for a while.
async fn drain(read: &mut ReadHalf<'_>, buffer: &mut Buffer) {
    let mut left = DRAINED;
    while let Ok(count @ 1..) = read.read_buf(buffer.room()).await
        && left > 0
    {
        buffer.take(count);
        left = left.saturating_sub(count);
    }
}
