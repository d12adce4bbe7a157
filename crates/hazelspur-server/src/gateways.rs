//! Gateways' connections: what they ask is read, answers go out, idle connections are closed.

use crate::answers::{Answers, Owed};
use crate::clock::{long, sleep};
use crate::desk::News;
use crate::ops::{Life, Means};
use crate::phases::{Phase, Phases};
use crate::startup::Startup;
use hazelspur::{CallerId, Moment, OpId, OpTypeId, Span, TenantId, UserKey};
use hazelspur_parsers::rpc::{self, RpcId};
use hazelspur_parsers::{Buffer, Json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const MOST_OPEN: usize = 32;
const LONGEST_LINE: usize = 16 * 1024;
const LONGEST_BODY: usize = 2048;
/// From a gateway that does not read this much, nothing more is read either.
const MOST_UNWRITTEN: usize = 64 * 1024;
const ROUND: Span = Span::from_ms(100);
const CLOSING_ROUND: Span = Span::from_ms(10);
/// How long a gateway may take to close a connection after a farewell.
const FAREWELL: Span = Span::from_ms(400);
const LAST_ACCEPT: Span = Span::from_ms(2);
const HEALTH_IDLE: Span = Span::from_ms(60_000);
const SHED: usize = 16;
const KEPT_BACK: usize = 96;

pub struct Gateways {
    means: Rc<Means>,
    phases: Rc<Phases>,
    op_types: Vec<Rc<str>>,
    tenants: Vec<String>,
    most: usize,
    connections: RefCell<BTreeMap<ConnectionId, Rc<Answers>>>,
    last: Cell<ConnectionId>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId(u64);

/// An error answer: its code and what it says.
type Refusal = (i32, &'static str);

impl Gateways {
    pub fn new(means: Rc<Means>, phases: Rc<Phases>, told: &Startup) -> Self {
        let op_types = told.op_types.iter().map(|name| Rc::from(name.as_str())).collect();
        let (connections, last) = (RefCell::default(), Cell::default());
        let most = told.sockets.saturating_sub(KEPT_BACK).max(told.sockets / 2);
        Self { means, phases, op_types, tenants: told.tenants.clone(), most, connections, last }
    }

    /// How many ops are owed an answer, on how many connections.
    pub fn figures(&self) -> String {
        let open: usize = self.connections.borrow().values().map(|c| c.open.borrow().len()).sum();
        format!("open={open} connections={}", self.connected())
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
                        log::warn!("accept failed connections={} why={e}", self.connected());
                        self.shed();
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

    fn welcome(self: Rc<Self>, stream: TcpStream) {
        if self.connected() >= self.most {
            self.shed();
        }
        tokio::task::spawn_local(self.converse(stream));
    }

    /// Descriptors run short: the connections that are idle longest go.
    fn shed(&self) {
        let connections = self.connections.borrow();
        let mut idle: Vec<&Rc<Answers>> =
            connections.values().filter(|c| c.open.borrow().is_empty()).collect();
        idle.sort_by_key(|c| c.quiet_since.get());
        for connection in idle.iter().take(SHED) {
            connection.farewell();
            connection.close.notify_one();
        }
    }

    /// Closes what has been idle for as long as the module says; while closing, all that is not in use.
    pub async fn keep(self: Rc<Self>) {
        loop {
            let closing = self.phases.now() == Phase::Closing;
            let now = self.means.desk.clock.now();
            let idle = self.means.desk.keep_idle.get();
            for connection in self.connections.borrow().values() {
                if !connection.open.borrow().is_empty() {
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
            sleep(if closing { CLOSING_ROUND } else { ROUND }).await;
        }
    }

    async fn converse(self: Rc<Self>, mut stream: TcpStream) {
        let answers = Rc::new(Answers::new(self.means.desk.clone()));
        let connection = ConnectionId(self.last.get().0 + 1);
        self.last.set(connection);
        self.connections.borrow_mut().insert(connection, answers.clone());
        let _ = stream.set_nodelay(true);
        let (mut read, mut write) = stream.split();
        let reading = async {
            let (mut buffer, mut skipping) = (Buffer::default(), false);
            while read.read_buf(buffer.room()).await? > 0 {
                self.take_lines(&answers, &mut buffer, &mut skipping);
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
        tokio::pin!(writing);
        let ended = tokio::select! {
            read = reading => read.is_ok(),
            () = &mut writing => false,
            () = answers.close.notified() => true,
        };
        if ended {
            // The gateway writes nothing more, but may still read.
            tokio::select! {
                () = &mut writing => {}
                () = answers.all_out() => {}
            }
        }
        self.connections.borrow_mut().remove(&connection);
        let left: Vec<OpId> = answers.open.borrow().values().copied().collect();
        if !left.is_empty() {
            log::debug!("connection broke open={}", left.len());
        }
        left.into_iter().for_each(|op| self.means.desk.hand(op, News::Gone));
    }

    fn take_lines(&self, answers: &Rc<Answers>, buffer: &mut Buffer, skipping: &mut bool) {
        while let Some(length) = buffer.line() {
            if std::mem::take(skipping) {
                // the rest of a line that was too long
            } else if length > LONGEST_LINE {
                complain(answers, None, (rpc::NOT_VALID, "the line is too long"));
            } else {
                self.take_line(answers, buffer.unread()[..length].trim_ascii_end());
            }
            buffer.take(length + 1);
        }
        if *skipping {
            buffer.take(buffer.unread().len());
        } else if buffer.unread().len() > LONGEST_LINE {
            *skipping = true;
            buffer.take(buffer.unread().len());
            complain(answers, None, (rpc::NOT_VALID, "the line is too long"));
        }
    }

    fn take_line(&self, answers: &Rc<Answers>, line: &[u8]) {
        if line.is_empty() {
            return;
        }
        let Some(message) = Json::parse(line).filter(|message| message.is_object()) else {
            return complain(answers, None, (rpc::NOT_JSON, "not a JSON object"));
        };
        let id = message.get("id").and_then(Json::whole).filter(|id| *id > 0).map(RpcId);
        let params = message.get("params");
        let Some(method) = message.get("method").and_then(Json::text) else {
            return complain(answers, id, (rpc::NOT_VALID, "no method"));
        };
        match (&*method, id) {
            ("interrupt", _) => self.interrupt(answers, id, params),
            (_, None) => complain(answers, None, (rpc::NOT_VALID, "no id from 1 up")),
            ("check", Some(id)) => {
                answers.for_health.set(true);
                answers.quiet_since.set(self.means.desk.clock.now());
                let desk = &self.means.desk;
                answers.put(|out| rpc::check(out, id, desk.good.get(), desk.signal.get()));
            }
            (class, Some(id)) => {
                if let Err(refusal) = self.read_op(answers, id, class, params) {
                    complain(answers, Some(id), refusal);
                }
            }
        }
    }

    fn interrupt(&self, answers: &Answers, id: Option<RpcId>, params: Option<Json>) {
        let field = |name: &str| params.and_then(|params| params.get(name));
        let open = answers.open.borrow();
        let named = field("req").and_then(Json::text).and_then(|req| OpId::padded(&req));
        let numbered =
            field("id").and_then(Json::whole).map(RpcId).or(id).and_then(|id| open.get(&id).copied());
        let op = named.filter(|op| open.values().any(|other| other == op)).or(numbered);
        drop(open);
        if let Some(op) = op {
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
        let op_type = self.op_types.iter().position(|name| **name == *class);
        let op_type = op_type.ok_or((rpc::NO_METHOD, "no such method"))?;
        let params = params.filter(|p| p.is_object()).ok_or(bad("params is no object"))?;
        let req = params.get("req").and_then(Json::text);
        let op = req.and_then(|req| OpId::padded(&req)).ok_or(bad("req is no id"))?;
        let ts = params.get("ts").and_then(Json::whole).ok_or(bad("ts is no time"))?;
        let via = params.get("via").map_or(Some(0), Json::whole).ok_or(bad("via is no number"))?;
        let need = params.get("need").and_then(Json::number).filter(|kb| *kb > 0.0 && *kb < 2000.0);
        let need = need.ok_or(bad("need is out of range"))?;
        let level = params.get("level").is_none_or(|l| l.number().is_some_and(|l| (0.0..1.0).contains(&l)));
        let tenant = match params.get("owner") {
            None => Some(0),
            Some(owner) => owner.text().and_then(|owner| self.tenants.iter().position(|t| **t == *owner)),
        };
        let tenant = tenant.ok_or(bad("owner is not known"))?;
        let timeout = params.get("timeout").map(|t| t.number().filter(|ms| *ms >= 0.0));
        let timeout = timeout.map(|ms| ms.ok_or(bad("timeout is no time"))).transpose()?;
        let subject =
            params.get("subject").map(|s| s.text().ok_or(bad("subject is no string"))).transpose()?;
        let opkey = params.get("opkey").map(|k| k.text().ok_or(bad("opkey is no string"))).transpose()?;
        let body = params.get("data").map_or(Some(Vec::new()), |data| rpc::body(&data.text()?));
        let body = body.filter(|body| body.len() <= LONGEST_BODY).ok_or(bad("data is no body"))?;
        if !level || ts > u64::MAX / 2000 {
            return Err(bad("level or ts is out of range"));
        }
        if answers.open.borrow().len() >= MOST_OPEN || answers.open.borrow().contains_key(&id) {
            return Err((rpc::NOT_VALID, "too many open, or this id is"));
        }
        if !desk.is_open() {
            return Err((rpc::NACKED, "not serving yet"));
        }
        let news = desk.enroll(op).ok_or(bad("this req is in hand"))?;
        let arrived = Moment::from_us(ts * 1000);
        let due = timeout.map(|ms| arrived + Span::from_secs(ms / 1000.0));
        let user = subject.as_deref().map(UserKey::of);
        let key = opkey.as_deref().map(UserKey::of).or(user);
        let repeat_of = key.and_then(|key| {
            let (now, key) = (desk.clock.now(), (OpTypeId(op_type), key));
            desk.repeats.borrow_mut().read(now, op, key, opkey.is_some())
        });
        let owed = Owed::new(answers.clone(), id, op);
        let class = self.op_types[op_type].clone();
        let life = Life { means: self.means.clone(), op, class, body: body.into(), repeat_of, owed, news };
        let (op_type, tenant, caller) = (OpTypeId(op_type), TenantId(tenant), CallerId(via));
        tokio::task::spawn_local(life.live(op_type, tenant, user, caller, due, need, arrived));
        Ok(())
    }
}

/// An error answer and one line.
fn complain(answers: &Answers, id: Option<RpcId>, (code, message): Refusal) {
    log::warn!("bad input id={} why={message}", id.map_or(0, |id| id.0));
    answers.put(|out| rpc::error(out, id, code, message, None, false, None));
}
