//! The front that consumes queues over AMQP 0-9-1: one connection, a channel for each queue and one to publish
//! on. What came is told to `Book`, which decides how each delivery is settled; whether and when it runs is
//! decided by the module, as for every request.

use crate::clock::{sleep, to_std};
use crate::config::operator::{AmqpConfig, OperatorConfig, QueueConfig, SentTimeSource, SettleOrder};
use crate::process::phases::{Phase, Phases};
use crate::request::deduplication::{DeduplicationKey, Lookup, Owner, ReceivedAttempt, RetryOf};
use crate::request::dispatcher::ResponseCounts;
use crate::request::event::RequestEvent;
use crate::request::lifecycle::{MAX_BODY_LENGTH, ReceivedRequest, RequestLifecycle, Services};
use crate::request::responder::{Responder, ResponseSink, RunPermission};
use hazelspur::{
    Catalog, ClientId, Duration, RequestClass, RequestClassId, RequestId, SessionKey, TenantId, Timestamp,
};
use hazelspur_amqp::session::Phase as Talk;
use hazelspur_amqp::{Field, Listener, Properties, Session, Table, TableWriter, Terms};
use hazelspur_deliveries::{
    Arrived, Book, Brokers, DeliveryId, Ending, Link, Memory, QueueId, Step, Tag, Window, book,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};

const CONNECTING: Duration = Duration::from_ms(2000);
/// From a broker that does not read this much, nothing more is read either.
const MAX_UNWRITTEN: usize = 256 * 1024;
/// Properties longer than this are not kept: such a message is poison.
const LONGEST_PROPERTIES: usize = 8 * 1024;
/// A publisher's time that is so far ahead is not believed.
const AHEAD: Duration = Duration::from_ms(2000);
/// A queue that was taken from us is asked for again after this, doubled each time up to a bound.
const AGAIN: Duration = Duration::from_ms(1000);
const LONGEST_AGAIN: Duration = Duration::from_ms(30_000);
/// Windows and what waits are looked at so often at least.
/// How often it is looked at how far the windows are used.
const SAMPLE: Duration = Duration::from_ms(20);
const ROUND: Duration = Duration::from_ms(250);
/// What is in hand when the brokers change has so long to be settled where it came from.
const MOVE_WITHIN: Duration = Duration::from_ms(5000);
const TRIES: &str = "x-hazelspur-tries";
const SENT: &str = "x-sent-ms";
const WAITS: &str = "x-waits-ms";

/// What is kept of a delivery until it is settled.
struct Parts {
    request: RequestId,
    queue: QueueId,
    read: Option<Readable>,
    properties: Vec<u8>,
    sent: Timestamp,
    body: Rc<[u8]>,
}

/// A message that can be run as a request.
struct Readable {
    request_class: RequestClassId,
    terms: Rc<RequestClass>,
    tenant: TenantId,
    user: Option<SessionKey>,
    key: Option<DeduplicationKey>,
    kb: f64,
}

pub struct Queues {
    services: Rc<Services>,
    phases: Rc<Phases>,
    catalog: Rc<RefCell<Catalog>>,
    amqp: AmqpConfig,
    queues: Vec<QueueConfig>,
    name: String,
    book: RefCell<Book>,
    brokers: RefCell<Brokers>,
    windows: RefCell<Vec<Window>>,
    parts: RefCell<BTreeMap<DeliveryId, Parts>>,
    begins: RefCell<BTreeMap<DeliveryId, oneshot::Sender<bool>>>,
    stirred: Notify,
    link: Cell<Link>,
    last_op: Cell<u64>,
    born: Timestamp,
    counted: Cell<ResponseCounts>,
    /// The broker in use is no longer in the operator's file.
    moving: Cell<bool>,
    leaving: Cell<bool>,
    over: Cell<bool>,
    own: Weak<Self>,
    sampled: Cell<Timestamp>,
}

/// One connection's session with what is to be asked on it again.
struct Linked {
    session: Session,
    link: Link,
    again: BTreeMap<u16, (Timestamp, Duration)>,
    /// Since when it is being left in good order.
    leaving: Option<Timestamp>,
}

impl Queues {
    pub fn new(
        services: Rc<Services>,
        phases: Rc<Phases>,
        catalog: Rc<RefCell<Catalog>>,
        amqp: &AmqpConfig,
        operator: &OperatorConfig,
        (name, seed): (&str, u64),
    ) -> Rc<Self> {
        let now = services.dispatcher.clock.now();
        let queues = operator.queues.clone();
        let terms = queues.iter().map(|queue| book::Terms {
            table: queue.table(),
            settle_first: queue.settle == SettleOrder::Before,
        });
        let terms = terms.collect();
        let memory = Memory::new(Duration::from_secs(amqp.memory_s), amqp.memory_entries, amqp.memory_bytes);
        Rc::new_cyclic(|own| Self {
            own: own.clone(),
            sampled: Cell::new(now),
            book: RefCell::new(Book::new(terms, memory)),
            // Instances that start together must not draw the same chances.
            brokers: RefCell::new(Brokers::new(
                &amqp.brokers,
                Duration::from_secs(amqp.reconnect_spread_s),
                seed ^ now.us(),
                now,
            )),
            windows: RefCell::new(
                queues.iter().map(|q| Window::new(q.rule(), q.max_unsettled, now)).collect(),
            ),
            parts: RefCell::default(),
            begins: RefCell::default(),
            stirred: Notify::new(),
            link: Cell::default(),
            last_op: Cell::new(0),
            born: now,
            counted: Cell::default(),
            moving: Cell::new(false),
            leaving: Cell::new(false),
            over: Cell::new(false),
            services,
            phases,
            catalog,
            amqp: amqp.clone(),
            queues,
            name: name.into(),
        })
    }

    /// Nothing is in hand any more and the last connection is closed.
    pub fn over(&self) -> bool {
        self.over.get()
    }

    /// Other brokers hold from now on; what is in hand is settled where it came from, if that goes quickly.
    pub fn move_to(&self, operator: &OperatorConfig) {
        let Some(amqp) = &operator.amqp else {
            return log::warn!("the consumer stays as it is until the next start: no amqp(...) in the file");
        };
        let plain = |a: &AmqpConfig| AmqpConfig { brokers: Vec::new(), ..a.clone() };
        if plain(amqp) != plain(&self.amqp) || operator.queues != self.queues {
            log::warn!("reload leaves to the next start: amqp and queues but for amqp.brokers");
        }
        let moved = self.brokers.borrow_mut().move_to(self.now(), &amqp.brokers);
        self.moving.set(self.moving.get() || moved);
        log::info!(brokers = amqp.brokers.len(), moved; "brokers reloaded");
        self.stirred.notify_one();
    }

    fn now(&self) -> Timestamp {
        self.services.dispatcher.clock.now()
    }

    fn publishing_on(&self) -> u16 {
        self.queues.len() as u16 + 1
    }

    /// Keeps a connection to a broker while the server serves, and after that for as long as something read is
    /// not settled or a result has to be brought.
    pub async fn run(self: Rc<Self>) {
        self.phases.reached(|phase| phase != Phase::Waiting).await;
        // A task before this one may have failed in the middle of a connection.
        self.lose();
        while self.until_next_try().await {
            let address = self.brokers.borrow().address();
            let connecting = tokio::time::timeout(to_std(CONNECTING), TcpStream::connect(address));
            let (why, refused) = match connecting.await {
                Ok(Ok(stream)) => self.serve(stream).await,
                Ok(Err(e)) => (e.to_string(), false),
                Err(_) => ("no connection in time".into(), false),
            };
            if self.leaving.get() && self.book.borrow().in_hand() == 0 {
                break;
            }
            let (open, figures) = (self.book.borrow().in_hand(), self.book.borrow().figures);
            let moved_on = !self.moving.take() && self.brokers.borrow_mut().lost(self.now(), refused);
            let wait_ms = (self.brokers.borrow().next_try() - self.now()).us() / 1000;
            let next = self.brokers.borrow().address();
            log::warn!(address:%, why:%, in_hand = open, read = figures.read, next:%, moved_on, wait_ms;
                "broker lost");
        }
        self.over.set(true);
    }

    /// What became of all that was read, in one line.
    pub fn tell_figures(&self) {
        let (figures, in_hand) = (self.book.borrow().figures, self.book.borrow().in_hand());
        log::info!(in_hand, read = figures.read, acked = figures.acked, rejected = figures.rejected,
            requeued = figures.requeued, retried = figures.retried, replies_lost = figures.replies_lost, unproven = figures.unproven;
            "queues left");
    }

    /// Waits until a broker is to be tried; false once nothing is left to do for any.
    async fn until_next_try(&self) -> bool {
        loop {
            self.note_leaving();
            self.pull(None);
            let leaving = self.leaving.get();
            if leaving && self.book.borrow().in_hand() == 0 {
                return false;
            }
            let wanted = !leaving || self.book.borrow().owes_replies();
            if leaving {
                self.brokers.borrow_mut().hurry(self.now());
            }
            let (now, at) = (self.now(), self.brokers.borrow().next_try());
            if wanted && at <= now {
                return true;
            }
            let wait = if wanted { at - now } else { ROUND };
            tokio::select! {
                () = self.stirred.notified() => {}
                () = self.phases.reached(left), if !leaving => {}
                () = sleep(wait.min(ROUND)) => {}
            }
        }
    }

    fn note_leaving(&self) {
        if left(self.phases.now()) && !self.leaving.replace(true) {
            self.book.borrow_mut().shutdown_notice();
        }
    }

    fn lose(&self) {
        let mut book = self.book.borrow_mut();
        book.lost(self.link.get(), None);
        book.can_publish(false);
    }

    /// Talks with one broker until the connection ends; why it did, and whether the broker won't have us.
    async fn serve(&self, mut stream: TcpStream) -> (String, bool) {
        let _ = stream.set_nodelay(true);
        self.link.set(Link(self.link.get().0 + 1));
        let terms = Terms {
            login: self.amqp.user.clone().map(|user| (user, self.amqp.password.clone())),
            vhost: self.amqp.vhost.clone(),
            name: self.name.clone(),
            heartbeat: Duration::from_secs(self.amqp.heartbeat_s),
            longest_frame: self.amqp.max_frame_bytes,
            most_unsettled: self
                .queues
                .iter()
                .map(|queue| usize::from(queue.max_unsettled))
                .max()
                .unwrap_or(1),
            channels: self.publishing_on(),
        };
        let session = Session::new(terms, self.now());
        let mut linked = Linked { session, link: self.link.get(), again: BTreeMap::new(), leaving: None };
        let (mut read, mut write) = stream.split();
        let (mut out, mut written, mut opened) = (Vec::new(), 0, false);
        while linked.session.phase() != Talk::Over || written < out.len() {
            self.steer(&mut linked);
            if written == out.len() {
                (out, written) = (linked.session.out(self.now()), 0);
            }
            let over = linked.session.phase() == Talk::Over;
            if over && out.is_empty() {
                break;
            }
            let wait = self.next_look(&linked) - self.now();
            tokio::select! {
                biased;
                // Backpressure: a broker that does not read is not read either.
                came = read.read_buf(linked.session.room()), if !over && out.len() - written < MAX_UNWRITTEN => {
                    match came {
                        Ok(0) => linked.session.cut("closed without a word"),
                        Ok(_) => self.hear(&mut linked),
                        Err(e) => linked.session.cut(&e.to_string()),
                    }
                }
                wrote = write.write(&out[written..]), if written < out.len() => match wrote {
                    Ok(count) => written += count,
                    Err(e) => {
                        linked.session.cut(&e.to_string());
                        written = out.len();
                    }
                },
                // What else is ready to end goes out with it.
                () = self.stirred.notified(), if !over => tokio::task::yield_now().await,
                () = self.phases.reached(left), if !over && !self.leaving.get() => {}
                () = sleep(wait.max(Duration::from_ms(1))) => {
                    if over {
                        break;
                    }
                    linked.session.tick(self.now());
                }
            }
            if linked.session.phase() == Talk::Open && !opened {
                opened = true;
                self.brokers.borrow_mut().up(self.now());
            }
        }
        if linked.session.stale > 0 {
            log::error!(count = linked.session.stale; "tags that were not open any more were not settled");
        }
        self.lose();
        self.pull(None);
        let why = linked.session.ended().unwrap_or("closed").to_string();
        (why, !opened && linked.session.phase() == Talk::Over && linked.session.was_refused())
    }

    fn next_look(&self, linked: &Linked) -> Timestamp {
        let again = linked.again.values().map(|(at, _)| *at).min();
        let times = [linked.session.next_tick(), self.book.borrow().next_time(), again];
        times.into_iter().flatten().min().unwrap_or(Timestamp::from_us(u64::MAX)).min(self.now() + ROUND)
    }

    /// Takes what came.
    fn hear(&self, linked: &mut Linked) {
        let now = self.now();
        let mut ears = SessionEvents {
            front: self,
            link: linked.link,
            now,
            opened: false,
            ready: Vec::new(),
            ended: Vec::new(),
        };
        linked.session.take(now, &mut ears);
        let SessionEvents { opened, ready, ended, .. } = ears;
        if opened {
            log::info!(broker:% = self.brokers.borrow().address(), queues = self.queues.len(); "broker open");
            let channels = 1..=self.publishing_on();
            linked.again = channels.map(|channel| (channel, (now, Duration::ZERO))).collect();
        }
        for channel in ready {
            if channel == self.publishing_on() {
                self.book.borrow_mut().can_publish(true);
            } else {
                log::info!(queue = self.queues[usize::from(channel) - 1].name.as_str(); "queue consumed");
            }
            linked.again.remove(&channel);
        }
        for (channel, closed, why) in ended {
            let before = linked.again.get(&channel).map_or(Duration::ZERO, |(_, pause)| *pause);
            let pause = (before + before).clamp(AGAIN, LONGEST_AGAIN);
            linked.again.insert(channel, (now + pause, pause));
            let queue = self.queues.get(usize::from(channel) - 1).map_or("(publishing)", |queue| &queue.name);
            let again_ms = pause.us() / 1000;
            log::warn!(queue, closed, why:%, again_ms; "queue taken away");
            if closed && channel == self.publishing_on() {
                self.book.borrow_mut().publishing_refused(now);
            } else if closed {
                self.book.borrow_mut().lost(linked.link, Some(channel));
            }
        }
    }

    /// Carries out all that has been decided, and looks after windows and consumers.
    fn steer(&self, linked: &mut Linked) {
        self.note_leaving();
        self.pull(Some(linked));
        if linked.session.phase() != Talk::Open {
            return;
        }
        let now = self.now();
        if self.leaving.get() || self.moving.get() {
            if linked.leaving.is_none() {
                linked.leaving = Some(now);
                (1..self.publishing_on()).for_each(|channel| linked.session.cancel(channel));
                log::info!(in_hand = self.book.borrow().in_hand(), moving = self.moving.get();
                    "no more deliveries are taken");
            }
            let settled = self.book.borrow().in_hand() == 0;
            let waited = linked.leaving.is_some_and(|since| now - since >= MOVE_WITHIN);
            if settled || (self.moving.get() && waited) {
                linked.session.close(now);
            }
            let publish = linked.again.remove(&self.publishing_on());
            linked.again.clear();
            linked.again.extend(publish.map(|at| (self.publishing_on(), at)));
        }
        let due: Vec<u16> = linked.again.iter().filter(|(_, (at, _))| *at <= now).map(|(c, _)| *c).collect();
        for channel in due {
            // Until it is ready, or ended once more.
            if let Some((at, pause)) = linked.again.get_mut(&channel) {
                *at = now + (*pause + *pause).clamp(AGAIN, LONGEST_AGAIN);
            }
            match self.queues.get(usize::from(channel) - 1) {
                Some(queue) => {
                    let window = self.windows.borrow()[usize::from(channel) - 1].size();
                    linked.session.resume(channel);
                    linked.session.consume(channel, &queue.name, window);
                }
                None => linked.session.publish_on(channel),
            }
        }
        if now - self.sampled.get() < SAMPLE {
            return;
        }
        self.sampled.set(now);
        let (counts, before) = (self.services.dispatcher.response_counts.get(), self.counted.get());
        self.counted.set(counts);
        let (mut book, spare) = (self.book.borrow_mut(), self.services.dispatcher.spare_capacity());
        for (i, window) in self.windows.borrow_mut().iter_mut().enumerate() {
            window.outcomes(
                counts.succeeded.wrapping_sub(before.succeeded),
                counts.rejected.wrapping_sub(before.rejected),
            );
            let open = book.open_in(QueueId(i));
            window.open(open);
            let size = window.next(now, spare + open as f64);
            book.duty(QueueId(i), window.duty());
            if let Some(size) = size {
                log::debug!(queue = self.queues[i].name.as_str(), size; "window");
                linked.session.window(i as u16 + 1, size);
            }
        }
    }

    /// Pulls what `Book` decides and does it; without a connection nothing can be settled.
    fn pull(&self, mut linked: Option<&mut Linked>) {
        loop {
            let now = self.now();
            let Some(step) = self.book.borrow_mut().next_step(now) else { return };
            log::trace!("delivery step {step:?}");
            match step {
                Step::Offer(id) => self.offer(now, id),
                Step::Withdraw(id) => {
                    let request = self.parts.borrow().get(&id).map(|parts| parts.request);
                    request.into_iter().for_each(|request| {
                        self.services.dispatcher.deliver(request, RequestEvent::ClientGone)
                    });
                }
                Step::Begin(id, may) => {
                    // The request's task may have ended meanwhile.
                    let begin = self.begins.borrow_mut().remove(&id);
                    let _ = begin.map(|begin| begin.send(may));
                }
                Step::Ack(tag) => on(&mut linked, tag, |session| session.ack(tag.channel, tag.tag)),
                Step::Reject(tag) => {
                    on(&mut linked, tag, |session| session.reject(tag.channel, tag.tag, false));
                }
                Step::Requeue(tag) => {
                    on(&mut linked, tag, |session| session.reject(tag.channel, tag.tag, true));
                }
                Step::Fence(tag, id) => {
                    let mut out = false;
                    on(&mut linked, tag, |session| {
                        out = session.fence(tag.channel, id.0);
                        out
                    });
                    if !out {
                        self.book.borrow_mut().unfenced(id);
                    }
                }
                Step::Reply(id, ending, result) => {
                    let sent = linked
                        .as_deref_mut()
                        .is_some_and(|l| self.reply(&mut l.session, id, ending, &result));
                    if !sent {
                        self.book.borrow_mut().confirmed(now, id, false);
                    }
                }
                Step::Retry(id, pause, tries) => {
                    let sent =
                        linked.as_deref_mut().is_some_and(|l| self.retry(&mut l.session, id, pause, tries));
                    if !sent {
                        self.book.borrow_mut().confirmed(now, id, false);
                    }
                }
                Step::Forget(id, ending) => {
                    let parts = self.parts.borrow_mut().remove(&id);
                    if let Some(parts) = parts.filter(|_| log::log_enabled!(log::Level::Debug)) {
                        log::debug!(op:% = parts.request, ending = ending.name(); "delivery over");
                    }
                }
            }
        }
    }

    /// Begins the life of its request.
    fn offer(&self, now: Timestamp, id: DeliveryId) {
        let parts = self.parts.borrow();
        let Some((parts, read)) = parts.get(&id).and_then(|parts| Some((parts, parts.read.as_ref()?))) else {
            return log::error!("a delivery without its parts");
        };
        let (dispatcher, request) = (&self.services.dispatcher, parts.request);
        let Some(news) = dispatcher.register(request) else {
            return log::error!(op:% = request; "an op id twice");
        };
        let keyed = read.key.clone().map(|key| {
            let owner = Owner { tenant: read.tenant, request_class: read.request_class };
            let body = parts.body.clone();
            dispatcher
                .deduplication
                .borrow_mut()
                .received(now, ReceivedAttempt { request, key, owner, sent_at: now, body, trusted: true })
        });
        let retry_of = match keyed {
            None | Some(Lookup::First) => None,
            Some(Lookup::RetryOf(first)) => read.key.clone().map(|key| RetryOf { key, original: first }),
            Some(Lookup::Conflict) => {
                dispatcher.remove(request);
                log::warn!(queue = self.queues[parts.queue.0].name.as_str(); "another op's message-id");
                return self.ended(id, Ending::Failed, &[]);
            }
        };
        let caller = Caller { front: self.this(), id };
        let life = RequestLifecycle {
            services: self.services.clone(),
            request,
            class: read.terms.clone(),
            body: parts.body.clone(),
            retry_of,
            may_have_run: false,
            responder: Responder::new(caller, dispatcher.clone()),
            events: news,
        };
        let caller = ClientId(u64::MAX - parts.queue.0 as u64);
        let Readable { request_class, tenant, user, kb, .. } = *read;
        let received = ReceivedRequest {
            request_class,
            tenant,
            session: user,
            client: caller,
            deadline: None,
            size_kb: kb,
            sent_at: now,
        };
        tokio::task::spawn_local(life.admit(&received).run());
    }

    fn reply(&self, session: &mut Session, id: DeliveryId, ending: Ending, result: &[u8]) -> bool {
        let parts = self.parts.borrow();
        let Some(parts) = parts.get(&id) else { return false };
        let Ok(asked) = Properties::read(&parts.properties) else { return false };
        let Some(to) = asked.reply_to else { return false };
        let headers = TableWriter::default().text("x-outcome", ending.name());
        let properties = Properties {
            headers: Some(headers.done()),
            delivery_mode: Some(2),
            correlation_id: asked.correlation_id.or(asked.message_id),
            message_id: asked.message_id,
            kind: asked.kind,
            ..Properties::default()
        };
        session.publish(self.publishing_on(), id.0, "", to, &properties, result)
    }

    /// The message as it came, to come back by the broker's own clock; what it waits for goes on from before.
    fn retry(&self, session: &mut Session, id: DeliveryId, pause: Duration, tries: u32) -> bool {
        let parts = self.parts.borrow();
        let Some(parts) = parts.get(&id) else { return false };
        let Some(queue) = &self.queues[parts.queue.0].retry_queue else { return false };
        let Ok(came) = Properties::read(&parts.properties) else { return false };
        let rest = |table: Table<'_>| {
            let kept = table.fields().filter(|(name, ..)| ![TRIES, SENT].contains(name));
            kept.fold(TableWriter::default(), |out, (.., raw)| out.raw(raw))
        };
        let mut headers = rest(came.headers.unwrap_or_default())
            .whole(TRIES, i64::from(tries))
            .whole(SENT, (parts.sent.us() / 1000) as i64);
        if came.header(WAITS).is_none()
            && let Some(waits) = came.expiration.and_then(|ms| ms.parse().ok())
        {
            headers = headers.whole(WAITS, waits);
        }
        let expiration = (pause.us() / 1000).max(1).to_string();
        let properties = Properties { headers: Some(headers.done()), expiration: Some(&expiration), ..came };
        session.publish(self.publishing_on(), id.0, "", queue, &properties, &parts.body)
    }

    /// Its request has its answer.
    fn ended(&self, id: DeliveryId, ending: Ending, result: &[u8]) {
        self.begins.borrow_mut().remove(&id);
        self.book.borrow_mut().ended(self.now(), id, ending, &result.into());
        self.stirred.notify_one();
    }

    /// Decodes what was delivered: as a request, or why it is none, and by when it has to begin.
    fn read(
        &self,
        now: Timestamp,
        queue: &QueueConfig,
        properties: &Properties<'_>,
        body: &[u8],
    ) -> (Result<Readable, Ending>, Timestamp, Option<Timestamp>, u32) {
        let header = |name: &str| properties.header(name);
        let ms = |field: Option<Field<'_>>| {
            field.and_then(Field::count).map(|ms| Duration::from_us(ms.saturating_mul(1000)))
        };
        let stamped = match queue.sent_time {
            SentTimeSource::Receipt => None,
            // Whole seconds: the earliest moment that it can stand for.
            SentTimeSource::Publisher => header(SENT)
                .and_then(Field::count)
                .map(|ms| Timestamp::from_us(ms.saturating_mul(1000)))
                .or(properties.timestamp.map(|s| Timestamp::from_us(s.saturating_mul(1_000_000)))),
        };
        let clock = &self.services.dispatcher.clock;
        let sent = stamped.filter(|sent| clock.local_time_of(*sent) <= now + AHEAD).unwrap_or(clock.wall());
        let waits = ms(header(WAITS))
            .or(properties
                .expiration
                .and_then(|ms| ms.parse().ok())
                .map(|ms: u32| Duration::from_ms(ms.into())))
            .or(queue.max_wait_s.map(Duration::from_secs));
        let due = waits.map(|waits| clock.local_time_of(sent) + waits);
        let counted = |name| header(name).and_then(Field::count).unwrap_or(0).min(u64::from(u32::MAX)) as u32;
        let tries = counted(TRIES).max(counted("x-delivery-count"));
        let text = |name: &str| match header(name) {
            None => Ok(None),
            Some(field) => field.text().map(Some).ok_or(Ending::Poison),
        };
        let readable = || {
            let name = queue.request_class.as_deref().or(properties.kind).ok_or(Ending::Unknown)?;
            let catalog = self.catalog.borrow();
            let (request_class, terms) = catalog.find_request_class(name).ok_or(Ending::Unknown)?;
            let (tenant, tenant_name) = catalog.find_tenant(text("x-owner")?).ok_or(Ending::Poison)?;
            let kb = match header("x-need-kb") {
                None => queue.need_kb,
                Some(Field::Number(kb)) => kb,
                Some(field) => field.count().map(|kb| kb as f64).ok_or(Ending::Poison)?,
            };
            if body.len() > MAX_BODY_LENGTH || !(kb > 0.0 && kb < 2000.0) {
                return Err(Ending::Poison);
            }
            let subject = text("x-subject")?;
            let (user, op_key) = (subject.map(SessionKey::of), properties.message_id);
            let key = DeduplicationKey::of(&terms, &tenant_name, op_key, op_key.or(subject));
            Ok(Readable { request_class, terms, tenant, user, key, kb })
        };
        (readable(), sent, due, tries)
    }

    /// A handle for what outlives the present call. The front itself is kept by the program until its end.
    fn this(&self) -> Rc<Self> {
        self.own.upgrade().expect("it is alive: this is its method")
    }

    fn next_op(&self) -> RequestId {
        self.last_op.set(self.last_op.get() + 1);
        let text = format!("q{:x}-{:x}", self.born.us(), self.last_op.get());
        RequestId::padded(&text).expect("under 36 characters")
    }
}

fn left(phase: Phase) -> bool {
    !matches!(phase, Phase::Waiting | Phase::Serving)
}

/// Does it on the connection that the tag is of; on any other the tag means nothing.
fn on(linked: &mut Option<&mut Linked>, tag: Tag, act: impl FnOnce(&mut Session) -> bool) {
    if let Some(linked) = linked.as_deref_mut().filter(|linked| linked.link == tag.link)
        && !act(&mut linked.session)
    {
        log::debug!("not open any more: {tag:?}");
    }
}

/// The caller of a request that came as a delivery.
struct Caller {
    front: Rc<Queues>,
    id: DeliveryId,
}

impl ResponseSink for Caller {
    fn success(&mut self, result: &[u8]) {
        self.front.ended(self.id, Ending::Acked, result);
    }

    /// Where to try is the broker's choice; when, its settings leave to us.
    fn rejected(&mut self, retry_after: Duration, _nowhere_else: bool) {
        self.front.ended(self.id, Ending::Nacked(retry_after.max(LEAST_COME_BACK)), &[]);
    }

    fn failed(&mut self) {
        self.front.ended(self.id, Ending::Failed, &[]);
    }

    fn unknown_to_worker(&mut self) {
        self.front.ended(self.id, Ending::Unknown, &[]);
    }

    fn client_gone(&mut self) {}

    fn run_permission(&mut self) -> RunPermission {
        let (begin, begins) = oneshot::channel();
        self.front.begins.borrow_mut().insert(self.id, begin);
        self.front.book.borrow_mut().run_decided(self.front.now(), self.id);
        self.front.stirred.notify_one();
        RunPermission::Awaiting(begins)
    }
}

/// A nacked delivery stays away so long at least, also where the settings tell callers nothing.
const LEAST_COME_BACK: Duration = Duration::from_ms(200);

/// Hears one session.
struct SessionEvents<'a> {
    front: &'a Queues,
    link: Link,
    now: Timestamp,
    opened: bool,
    ready: Vec<u16>,
    /// Channels whose consumer, or which themselves, were ended by the broker, and why.
    ended: Vec<(u16, bool, String)>,
}

impl Listener for SessionEvents<'_> {
    fn open(&mut self) {
        self.opened = true;
    }

    fn ready(&mut self, channel: u16) {
        self.ready.push(channel);
    }

    fn delivered(
        &mut self,
        channel: u16,
        tag: u64,
        redelivered: bool,
        _routing_key: &str,
        properties: &[u8],
        body: Option<&[u8]>,
    ) {
        let (front, now, queue) = (self.front, self.now, QueueId(usize::from(channel) - 1));
        let Some(settings) = front.queues.get(queue.0) else { return };
        let decoded = Properties::read(properties).ok().filter(|_| properties.len() <= LONGEST_PROPERTIES);
        let known = decoded.unwrap_or_default();
        let (mut read, sent, due, tries) = front.read(now, settings, &known, body.unwrap_or_default());
        if decoded.is_none() || body.is_none() {
            read = Err(Ending::Poison);
        }
        let tag = Tag { link: self.link, channel, tag };
        let came = Arrived {
            tag,
            queue,
            message: known.message_id,
            redelivered,
            repeats: read.as_ref().map(|read| read.terms.repeats).map_err(|ending| *ending),
            due,
            reply: known.reply_to.is_some_and(|to| !to.is_empty()),
            tries,
        };
        if let Err(ending) = &read {
            let (size, queue) = (body.map_or(0, <[u8]>::len), settings.name.as_str());
            log::warn!(queue, ending = ending.name(), size; "a delivery that is no op");
        }
        let id = front.book.borrow_mut().arrived(now, came);
        let parts = Parts {
            request: front.next_op(),
            queue,
            read: read.ok(),
            properties: if decoded.is_some() { properties.to_vec() } else { Vec::new() },
            sent,
            body: body.filter(|body| body.len() <= MAX_BODY_LENGTH).unwrap_or_default().into(),
        };
        front.parts.borrow_mut().insert(id, parts);
    }

    fn fenced(&mut self, _channel: u16, fence: u64) {
        self.front.book.borrow_mut().fenced(self.now, DeliveryId(fence));
    }

    fn confirmed(&mut self, number: u64, taken: bool) {
        self.front.book.borrow_mut().confirmed(self.now, DeliveryId(number), taken);
    }

    fn returned(&mut self, number: u64) {
        self.front.book.borrow_mut().returned(DeliveryId(number));
    }

    fn cancelled(&mut self, channel: u16) {
        self.ended.push((channel, false, "cancelled by the broker".into()));
    }

    fn channel_closed(&mut self, channel: u16, code: u16, why: &str) {
        self.ended.push((channel, true, format!("{code} {why}")));
    }

    fn blocked(&mut self, why: Option<&str>) {
        self.front.book.borrow_mut().blocked(why.is_some());
        match why {
            Some(why) => log::warn!(why; "broker blocks publishers"),
            None => log::info!("broker takes from publishers again"),
        }
    }
}
