//! What gateways ask: lines, health checks, interrupts and requests, read strictly.

use crate::ingress::answers::{Answers, Caller};
use crate::ingress::gateways::Gateways;
use crate::request::deduplication::{Found, IdempotentWithKey, Key};
use crate::request::dispatcher::News;
use crate::request::life::{LONGEST_BODY, Life, Read};
use crate::request::owed::Owed;
use hazelspur::{ClientId, Duration, RequestId, SessionKey, Timestamp};
use hazelspur_parsers::rpc::{self, RpcId};
use hazelspur_parsers::{Buffer, Json};
use std::rc::Rc;

const MAX_OPEN: usize = 32;
const LONGEST_LINE: usize = 16 * 1024;
/// A caller that says it waits this much longer than the settings allow is not believed.
pub const TIMEOUT_SLACK: f64 = 1.5;
/// Nor a request that came so long from now; one whose time was over so long ago runs for nobody.
const AHEAD: Duration = Duration::from_ms(2000);
pub const LONG_PAST: Duration = Duration::from_ms(1000);

/// An error answer: its code and what it says.
type Refusal = (i32, &'static str);

impl Gateways {
    /// Takes what is whole: each line is answered, begins a request's life, or is a fault of its connection.
    pub fn take_lines(&self, answers: &Rc<Answers>, buffer: &mut Buffer) {
        while !answers.shunned() {
            let length = buffer.line();
            if length.unwrap_or(buffer.unread().len()) > LONGEST_LINE {
                // Its rest may be any length: nothing more is read here.
                answers.dismiss("the line is too long");
                answers.unreadable.set(true);
                answers.partial_since.set(None);
                return buffer.take(buffer.unread().len());
            }
            let Some(length) = length else { break };
            self.take_line(answers, buffer.unread()[..length].trim_ascii_end());
            buffer.take(length + 1);
            answers.partial_since.set(None);
        }
        if !buffer.unread().is_empty() && answers.partial_since.get().is_none() {
            answers.partial_since.set(Some(self.services.dispatcher.clock.now()));
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
                answers.quiet_since.set(self.services.dispatcher.clock.now());
                let dispatcher = &self.services.dispatcher;
                answers.put(|out| rpc::check(out, id, dispatcher.good.get(), dispatcher.signal.get()));
            }
            (class, Some(id)) => {
                // What is open under this id has its own answer.
                let own = (!answers.open.borrow().contains_key(&id)).then_some(id);
                match self.read_op(answers, id, class, params) {
                    Ok(()) => answers.proven.set(true),
                    Err((rpc::NACKED, why)) => {
                        answers.put(|out| rpc::error(out, own, rpc::NACKED, why, rpc::ErrorData::default()));
                    }
                    Err((code, why)) => answers.fault(own, code, why),
                }
            }
        }
    }

    fn interrupt(&self, answers: &Answers, id: Option<RpcId>, params: Option<Json>) {
        let field = |name: &str| params.and_then(|params| params.get(name));
        let mut open = answers.open.borrow_mut();
        let named = field("req").and_then(Json::text).and_then(|req| RequestId::padded(&req));
        let numbered =
            field("id").and_then(Json::whole).map(RpcId).or(id).and_then(|id| open.get(&id).copied());
        let request = named.filter(|request| open.values().any(|other| other == request)).or(numbered);
        if let Some(request) = request {
            open.retain(|_, other| *other != request); // its place is free for the next line already
            drop(open);
            answers.quiet_since.set(self.services.dispatcher.clock.now());
            self.services.dispatcher.hand(request, News::Gone);
        }
    }

    /// Decodes a request and begins its life.
    fn read_op(
        &self,
        answers: &Rc<Answers>,
        id: RpcId,
        class: &str,
        params: Option<Json>,
    ) -> Result<(), Refusal> {
        let bad = |what: &'static str| (rpc::BAD_PARAMS, what);
        let dispatcher = &self.services.dispatcher;
        let named = self.catalog.borrow().find_request_class(class);
        let (request_class, terms) = named.ok_or((rpc::NO_METHOD, "no such method"))?;
        let params = params.filter(|p| p.is_object()).ok_or(bad("params is no object"))?.table();
        let req = params.get("req").and_then(Json::text);
        let request = req.and_then(|req| RequestId::padded(&req)).ok_or(bad("req is no id"))?;
        let ts = params.get("ts").and_then(Json::whole).ok_or(bad("ts is no time"))?;
        let via = params.get("via").map_or(Some(0), Json::whole).ok_or(bad("via is no number"))?;
        let need = params.get("need").and_then(Json::number).filter(|kb| *kb > 0.0 && *kb < 2000.0);
        let need = need.ok_or(bad("need is out of range"))?;
        let level = params.get("level").is_none_or(|l| l.number().is_some_and(|l| (0.0..=1.0).contains(&l)));
        let owner = params.get("owner").map(|o| o.text().ok_or(bad("owner is no string"))).transpose()?;
        let tenant = self.catalog.borrow().find_tenant(owner.as_deref());
        let (tenant, tenant_name) = tenant.ok_or(bad("owner is not known"))?;
        let timeout = params.get("timeout").map(|t| t.number().filter(|ms| *ms >= 0.0));
        let timeout = timeout.map(|ms| ms.ok_or(bad("timeout is no time"))).transpose()?;
        let subject =
            params.get("subject").map(|s| s.text().ok_or(bad("subject is no string"))).transpose()?;
        let opkey = params.get("opkey").map(|k| k.text().ok_or(bad("opkey is no string"))).transpose()?;
        let body = params.get("data").map_or(Some(Vec::new()), |data| rpc::body(&data.text()?));
        let body = body.filter(|body| body.len() <= LONGEST_BODY).ok_or(bad("data is no body"))?;
        let now = dispatcher.clock.now();
        let arrived = dispatcher.clock.stamped(Timestamp::from_us(ts.saturating_mul(1000)));
        let due = timeout.map(|ms| arrived + Duration::from_secs(ms / 1000.0));
        // From now on: one that was long on its way may name a wait that is long from its stamp.
        let longest = now + terms.request_timeout.scaled(TIMEOUT_SLACK);
        if !level || arrived > now + AHEAD || due.is_some_and(|due| due > longest) {
            return Err(bad("level, ts or timeout is out of range"));
        }
        let (open, is_open) = (answers.open.borrow().len(), answers.open.borrow().contains_key(&id));
        if open >= MAX_OPEN && !is_open && answers.known.get() {
            // Where nobody says that a caller has given up, some of these are open only from here.
            return Err((rpc::NACKED, "too many open"));
        }
        if open >= MAX_OPEN || is_open {
            return Err((rpc::NOT_VALID, "too many open, or this id is"));
        }
        if !dispatcher.is_open() {
            return Err((rpc::NACKED, "not serving yet"));
        }
        if due.unwrap_or(arrived + terms.request_timeout) + LONG_PAST <= now {
            return Err((rpc::NACKED, "its time was over long ago"));
        }
        let news = dispatcher.enroll(request).ok_or(bad("this req is in hand"))?;
        let user = subject.as_deref().map(SessionKey::of);
        let body: Rc<[u8]> = body.into();
        let key = Key::of(&terms, &tenant_name, opkey.as_deref(), subject.as_deref());
        let found = key.clone().map_or(Found::First, |key| {
            let (of, body, vouched) = ((tenant, request_class), body.clone(), answers.known.get());
            let keyed = IdempotentWithKey { request, key, of, arrived, body, vouched };
            dispatcher.deduplication.borrow_mut().read(now, keyed)
        });
        let retry_of = match found {
            Found::First => None,
            Found::RepeatOf(first) => key.map(|key| (key, first)),
            Found::NotTheSame => {
                dispatcher.strike(request);
                return Err(bad("this opkey is another op's"));
            }
        };
        let owed = Owed::new(Caller::new(answers.clone(), id, request), dispatcher.clone());
        let services = self.services.clone();
        let life = Life { services, request, terms, body, retry_of, ran: false, owed, news };
        let read = Read { request_class, tenant, user, caller: ClientId(via), due, kb: need, arrived };
        tokio::task::spawn_local(life.begin(&read).live());
        Ok(())
    }
}
