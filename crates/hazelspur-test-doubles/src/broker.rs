//! A broker for AMQP 0-9-1 with the `amq-protocol` crate's codec, so that a mistake in the project's own codec
//! can't cancel out. Queues in memory with dead letters, expiration and a bound; prefetch for each channel;
//! confirms; and a record of each message, delivery and settlement.

use crate::script::{At, Fault, Script};
use crate::{PATIENCE, now_ms};
use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, gen_frame, parse_frame};
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::protocol::channel::{self, AMQPMethod as OnChannel};
use amq_protocol::protocol::confirm::{self, AMQPMethod as Confirm};
use amq_protocol::protocol::connection::{self, AMQPMethod as OnConnection};
use amq_protocol::protocol::{AMQPClass, queue};
use amq_protocol::types::FieldTable;
use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(4);
/// What a connection may send without it being acted on.
const MAX_UNREAD: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub properties: AMQPProperties,
    pub body: Vec<u8>,
    /// Given by the broker.
    pub serial: u64,
    pub redelivered: bool,
    expires_ms: Option<u64>,
}

/// Where a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Acked,
    /// Rejected or expired where no other queue takes such.
    Dropped,
}

#[derive(Clone, Debug, Default)]
pub struct Queue {
    pub ready: VecDeque<Message>,
    /// Where rejected messages go, and expired ones.
    pub dead_letters: Option<String>,
    /// Past so many ready ones a publish is refused.
    pub most: Option<usize>,
    pub deleted: bool,
}

#[derive(Clone, Debug)]
pub struct Delivered {
    pub connection: usize,
    pub channel: u16,
    pub tag: u64,
    pub serial: u64,
    pub at_ms: u64,
    /// How it was settled: `ack`, `reject`, `requeue`, or `lost` with its channel.
    pub settled: Option<&'static str>,
}

struct Consumer {
    queue: String,
    tag: String,
    active: bool,
}

#[derive(Default)]
struct Channel {
    consumer: Option<Consumer>,
    prefetch: u16,
    last_tag: u64,
    unsettled: BTreeMap<u64, (usize, String, Message)>,
    confirms: bool,
    published: u64,
    content: Option<(basic::Publish, Option<AMQPContentHeader>, Vec<u8>)>,
}

struct Connection {
    stream: TcpStream,
    alive: bool,
    open: bool,
    mute: bool,
    sent: u64,
    read: u64,
    script: Script,
    channels: BTreeMap<u16, Channel>,
    frame_max: usize,
    beat_ms: u64,
    sent_ms: u64,
    unblock_ms: Option<u64>,
    refuse: bool,
    lose_confirm: bool,
}

#[derive(Default)]
pub struct State {
    pub queues: BTreeMap<String, Queue>,
    pub deliveries: Vec<Delivered>,
    /// Each message that ever was, and its end.
    pub ends: BTreeMap<u64, Option<End>>,
    /// What each message held.
    pub bodies: BTreeMap<u64, Vec<u8>>,
    /// What the client did that it may not.
    pub faults: Vec<String>,
    /// Connections that began, and those that were opened.
    pub begun: usize,
    pub opened: usize,
    pub opened_ms: Vec<u64>,
    /// Connections that were closed in good order by the client.
    pub closed_well: usize,
    pub heartbeats: u64,
    /// Scripts for the connections to come; past the last one they behave.
    pub scripts: VecDeque<Script>,
    pub login: Option<(String, String)>,
    pub offers: Option<&'static str>,
    pub frame_max: u32,
    pub beat_s: u16,
    /// Keeps no history of deliveries, for long runs.
    pub forgetful: bool,
    pub acks: u64,
    last_serial: u64,
    stopped: bool,
    connections: Vec<Connection>,
    last_delivered: Option<(String, Message)>,
    duplicate: bool,
}

pub struct Broker {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Broker {
    pub fn start() -> Self {
        Self::at("127.0.0.1:0".parse().expect("an address"))
    }

    /// On this address of the loopback range.
    pub fn at(address: SocketAddr) -> Self {
        assert!(address.ip().is_loopback(), "stand-ins stay on loopback");
        let state = State { frame_max: 131_072, beat_s: 20, ..State::default() };
        let mut broker = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        broker.listen();
        let shared = Arc::downgrade(&broker.shared);
        spawn(move || {
            while let Some(shared) = shared.upgrade() {
                shared.0.lock().expect("no panic before").tick();
                shared.1.notify_all();
                drop(shared);
                sleep(TICK);
            }
        });
        broker
    }

    fn listen(&mut self) {
        let listener = TcpListener::bind(self.address).expect("the address is free");
        self.address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a mode");
        let shared = self.shared.clone();
        spawn(move || {
            while !shared.0.lock().expect("no panic before").stopped {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let shared = shared.clone();
                        spawn(move || serve(&shared, stream));
                    }
                    Err(_) => sleep(TICK),
                }
            }
        });
    }

    /// One at a time: a second guard in one statement waits for the first for ever.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no panic before")
    }

    pub fn declare(&self, name: &str, dead_letters: Option<&str>) {
        let queue = Queue { dead_letters: dead_letters.map(str::to_string), ..Queue::default() };
        self.state().queues.insert(name.into(), queue);
    }

    pub fn publish(&self, queue: &str, properties: AMQPProperties, body: &[u8]) -> u64 {
        let mut state = self.state();
        let message = Message { properties, body: body.to_vec(), ..Message::default() };
        let serial = state.put(queue, message, false).expect("the queue is declared and has room");
        state.pump();
        serial
    }

    /// Waits until something holds; false where it did not in time.
    pub fn until(&self, within: Duration, mut holds: impl FnMut(&mut State) -> bool) -> bool {
        let end = Instant::now() + within;
        let mut state = self.state();
        while !holds(&mut state) {
            let Some(left) = end.checked_duration_since(Instant::now()) else { return false };
            state = self.shared.1.wait_timeout(state, left).expect("no panic before").0;
        }
        true
    }

    /// All connections break and nothing listens; messages stay.
    pub fn stop(&self) {
        let mut state = self.state();
        state.stopped = true;
        (0..state.connections.len()).for_each(|n| state.drop_connection(n));
    }

    pub fn restart(&mut self) {
        // The listener's thread has to see that it is stopped.
        sleep(TICK * 4);
        self.state().stopped = false;
        self.listen();
    }

    /// Breaks all connections; new ones are taken.
    pub fn cut(&self) {
        let mut state = self.state();
        (0..state.connections.len()).for_each(|n| state.drop_connection(n));
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            self.stop();
        }
    }
}

fn serve(shared: &(Mutex<State>, Condvar), mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(PATIENCE));
    let Ok(write) = stream.try_clone() else { return };
    let number = shared.0.lock().expect("no panic before").begin(write);
    let (mut unread, mut part) = (Vec::new(), [0; 16 * 1024]);
    while let Ok(count @ 1..) = stream.read(&mut part) {
        unread.extend_from_slice(&part[..count]);
        let mut state = shared.0.lock().expect("no panic before");
        let mut used = 0;
        while state.connections[number].alive {
            let Ok((rest, frame)) = parse_frame(&unread[used..]) else { break };
            used = unread.len() - rest.len();
            state.take(number, frame);
        }
        unread.drain(..used);
        state.pump();
        let alive = state.connections[number].alive;
        drop(state);
        shared.1.notify_all();
        if !alive || unread.len() > MAX_UNREAD {
            break;
        }
    }
    shared.0.lock().expect("no panic before").drop_connection(number);
    shared.1.notify_all();
}

impl State {
    /// Messages that are neither acked nor dropped: ready, or delivered and unsettled.
    pub fn open(&self) -> usize {
        self.ends.values().filter(|end| end.is_none()).count()
    }

    pub fn ready(&self, queue: &str) -> usize {
        self.queues.get(queue).map_or(0, |queue| queue.ready.len())
    }

    pub fn unsettled(&self) -> usize {
        self.connections.iter().flat_map(|c| c.channels.values()).map(|channel| channel.unsettled.len()).sum()
    }

    /// Which consumers there are, by queue.
    pub fn consumed(&self, queue: &str) -> bool {
        let of = |channel: &Channel| channel.consumer.as_ref().is_some_and(|c| c.active && c.queue == queue);
        self.connections.iter().filter(|c| c.alive).flat_map(|c| c.channels.values()).any(of)
    }

    /// Deletes a queue: its consumers are cancelled, its ready messages dropped.
    pub fn delete(&mut self, name: &str) {
        if let Some(queue) = self.queues.get_mut(name) {
            queue.deleted = true;
            for message in std::mem::take(&mut queue.ready) {
                self.ends.insert(message.serial, Some(End::Dropped));
            }
        }
        self.cancel_all(Some(name));
    }

    fn begin(&mut self, stream: TcpStream) -> usize {
        self.begun += 1;
        let script = self.scripts.pop_front().unwrap_or_default();
        let connection = Connection {
            stream,
            alive: !self.stopped,
            open: false,
            mute: false,
            sent: 0,
            read: 0,
            script,
            channels: BTreeMap::new(),
            frame_max: self.frame_max as usize,
            beat_ms: 0,
            sent_ms: now_ms(),
            unblock_ms: None,
            refuse: false,
            lose_confirm: false,
        };
        self.connections.push(connection);
        self.connections.len() - 1
    }

    fn drop_connection(&mut self, number: usize) {
        let connection = &mut self.connections[number];
        connection.alive = false;
        let _ = connection.stream.shutdown(Shutdown::Both);
        let channels = std::mem::take(&mut connection.channels);
        channels.into_values().for_each(|channel| self.requeue_all(channel));
        self.pump();
    }

    fn requeue_all(&mut self, channel: Channel) {
        for (_, (delivery, queue, message)) in channel.unsettled.into_iter().rev() {
            self.settled(delivery, "lost");
            self.put_back(&queue, message);
        }
    }

    fn settled(&mut self, delivery: usize, how: &'static str) {
        if let Some(delivered) = self.deliveries.get_mut(delivery) {
            delivered.settled = Some(how);
        }
    }

    fn put_back(&mut self, queue: &str, mut message: Message) {
        message.redelivered = true;
        match self.queues.get_mut(queue) {
            Some(queue) if !queue.deleted => queue.ready.push_front(message),
            _ => drop(self.ends.insert(message.serial, Some(End::Dropped))),
        }
    }

    /// A new message in a queue; `None` where there is none of that name, or it is full and `bounded`.
    fn put(&mut self, name: &str, mut message: Message, bounded: bool) -> Option<u64> {
        let queue = self.queues.get_mut(name).filter(|queue| !queue.deleted)?;
        if bounded && queue.most.is_some_and(|most| queue.ready.len() >= most) {
            return None;
        }
        self.last_serial += 1;
        message.serial = self.last_serial;
        message.redelivered = false;
        let expires = message.properties.expiration().as_ref().and_then(|ms| ms.as_str().parse::<u64>().ok());
        message.expires_ms = expires.map(|ms| now_ms() + ms);
        let serial = message.serial;
        if !self.forgetful {
            self.bodies.insert(serial, message.body.clone());
        }
        queue.ready.push_back(message);
        self.ends.insert(serial, None);
        Some(serial)
    }

    /// Rejected or expired: on to the queue's dead letters, without its expiration, or dropped.
    fn bury(&mut self, queue: &str, mut message: Message) {
        let to = self.queues.get(queue).and_then(|queue| queue.dead_letters.clone());
        let (serial, properties) = (message.serial, message.properties.clone());
        match to.and_then(|to| self.queues.get_mut(&to)) {
            Some(to) => {
                message.properties = without_expiration(properties);
                message.expires_ms = None;
                message.redelivered = false;
                to.ready.push_back(message);
            }
            None => drop(self.ends.insert(serial, Some(End::Dropped))),
        }
    }

    fn tick(&mut self) {
        let now = now_ms();
        let names: Vec<String> = self.queues.keys().cloned().collect();
        for name in names {
            loop {
                let queue = self.queues.get_mut(&name).expect("named above");
                let expired = |m: &Message| m.expires_ms.is_some_and(|at| at <= now);
                if !queue.ready.front().is_some_and(expired) {
                    break;
                }
                let message = queue.ready.pop_front().expect("looked at");
                self.bury(&name, message);
            }
        }
        for number in 0..self.connections.len() {
            let connection = &mut self.connections[number];
            if !connection.alive {
                continue;
            }
            if connection.unblock_ms.is_some_and(|at| at <= now) {
                connection.unblock_ms = None;
                self.method(
                    number,
                    0,
                    AMQPClass::Connection(OnConnection::Unblocked(connection::Unblocked {})),
                );
            }
            let connection = &self.connections[number];
            if connection.open
                && connection.beat_ms > 0
                && now.saturating_sub(connection.sent_ms) >= connection.beat_ms / 2
            {
                self.send(number, &[AMQPFrame::Heartbeat]);
            }
        }
        self.pump();
    }

    /// Delivers what consumers have room for.
    fn pump(&mut self) {
        if std::mem::take(&mut self.duplicate)
            && let Some((queue, message)) = self.last_delivered.clone()
        {
            self.put(&queue, message, false);
        }
        for number in 0..self.connections.len() {
            if !self.connections[number].alive || self.connections[number].mute {
                continue;
            }
            let channels: Vec<u16> = self.connections[number].channels.keys().copied().collect();
            for channel in channels {
                while self.deliver_one(number, channel) {}
            }
        }
    }

    fn deliver_one(&mut self, number: usize, channel: u16) -> bool {
        let connection = &mut self.connections[number];
        let frame_max = connection.frame_max;
        let Some(on) = connection.channels.get_mut(&channel).filter(|_| connection.alive) else {
            return false;
        };
        let room = on.prefetch == 0 || on.unsettled.len() < usize::from(on.prefetch);
        let Some(consumer) = on.consumer.as_ref().filter(|c| c.active && room) else { return false };
        let (name, consumer_tag) = (consumer.queue.clone(), consumer.tag.clone());
        let Some(message) = self.queues.get_mut(&name).and_then(|queue| queue.ready.pop_front()) else {
            return false;
        };
        on.last_tag += 1;
        let tag = on.last_tag;
        let delivery = self.deliveries.len();
        on.unsettled.insert(tag, (delivery, name.clone(), message.clone()));
        if !self.forgetful {
            let (serial, at_ms) = (message.serial, now_ms());
            let settled = None;
            let delivered = Delivered { connection: number, channel, tag, serial, at_ms, settled };
            self.deliveries.push(delivered);
            self.last_delivered = Some((name.clone(), message.clone()));
        }
        let deliver = basic::Deliver {
            consumer_tag: consumer_tag.as_str().into(),
            delivery_tag: tag,
            redelivered: message.redelivered,
            exchange: "".into(),
            routing_key: name.as_str().into(),
        };
        let mut frames = vec![AMQPFrame::Method(channel, AMQPClass::Basic(Basic::Deliver(deliver)))];
        frames.extend(content(channel, &message, frame_max));
        self.send(number, &frames);
        true
    }

    fn method(&mut self, number: usize, channel: u16, class: AMQPClass) {
        self.send(number, &[AMQPFrame::Method(channel, class)]);
    }

    /// Writes frames, unless the script says otherwise.
    fn send(&mut self, number: usize, frames: &[AMQPFrame]) {
        let mut out = Vec::new();
        for frame in frames {
            let connection = &mut self.connections[number];
            if !connection.alive || connection.mute {
                return;
            }
            connection.sent += 1;
            connection.sent_ms = now_ms();
            let mut bytes =
                gen_frame(frame)(Vec::new().into()).expect("frames can be written").into_inner().0;
            let sent = connection.sent;
            match take_fault(&mut connection.script, At::Sent(sent)) {
                Some(Fault::Cut) => {
                    let _ = connection.stream.write_all(&out);
                    return self.drop_connection(number);
                }
                Some(Fault::CutWithin) => {
                    out.extend_from_slice(&bytes[..bytes.len() / 2]);
                    let _ = connection.stream.write_all(&out);
                    return self.drop_connection(number);
                }
                Some(Fault::WrongEnd) => *bytes.last_mut().expect("an end") = 0,
                Some(Fault::HugeLength) => bytes[3..7].fill(0xFF),
                Some(fault) => self.misbehave(number, fault),
                None => {}
            }
            out.extend_from_slice(&bytes);
        }
        let connection = &mut self.connections[number];
        if connection.alive && connection.stream.write_all(&out).is_err() {
            self.drop_connection(number);
        }
    }

    /// Faults that are not about the frame at hand.
    fn misbehave(&mut self, number: usize, fault: Fault) {
        let connection = &mut self.connections[number];
        if !connection.open {
            return;
        }
        match fault {
            Fault::Mute => connection.mute = true,
            Fault::Refuse => connection.refuse = true,
            Fault::LoseConfirm => connection.lose_confirm = true,
            Fault::Duplicate => self.duplicate = true,
            Fault::Block(ms) => {
                connection.unblock_ms = Some(now_ms() + ms);
                let blocked = connection::Blocked { reason: "memory".into() };
                self.method(number, 0, AMQPClass::Connection(OnConnection::Blocked(blocked)));
            }
            Fault::Cancel => self.cancel_all(None),
            Fault::CloseChannels => self.close_channels(number, 406, "precondition failed"),
            Fault::Close => {
                let (class_id, method_id) = (0, 0);
                let reply_text = "shutting down".into();
                let close = connection::Close { reply_code: 320, reply_text, class_id, method_id };
                self.method(number, 0, AMQPClass::Connection(OnConnection::Close(close)));
                self.connections[number].mute = true;
            }
            Fault::Cut | Fault::CutWithin | Fault::WrongEnd | Fault::HugeLength => {
                self.drop_connection(number)
            }
        }
    }

    fn cancel_all(&mut self, queue: Option<&str>) {
        for number in 0..self.connections.len() {
            let channels = &mut self.connections[number].channels;
            let mut told = Vec::new();
            for (channel, on) in channels.iter_mut() {
                if let Some(consumer) = on.consumer.as_mut()
                    && consumer.active
                    && queue.is_none_or(|queue| consumer.queue == queue)
                {
                    consumer.active = false;
                    told.push((*channel, consumer.tag.clone()));
                }
            }
            for (channel, tag) in told {
                let cancel = basic::Cancel { consumer_tag: tag.as_str().into(), nowait: true };
                self.method(number, channel, AMQPClass::Basic(Basic::Cancel(cancel)));
            }
        }
    }

    /// Closes the channels with a consumer, as after a permission was withdrawn.
    pub fn close_channels(&mut self, number: usize, code: u16, why: &str) {
        let consuming = |(n, c): (&u16, &Channel)| c.consumer.is_some().then_some(*n);
        let channels: Vec<u16> = self.connections[number].channels.iter().filter_map(consuming).collect();
        channels.into_iter().for_each(|channel| self.close_channel(number, channel, code, why));
    }

    fn close_channel(&mut self, number: usize, channel: u16, code: u16, why: &str) {
        if let Some(on) = self.connections[number].channels.remove(&channel) {
            self.requeue_all(on);
        }
        let close = channel::Close { reply_code: code, reply_text: why.into(), class_id: 0, method_id: 0 };
        self.method(number, channel, AMQPClass::Channel(OnChannel::Close(close)));
    }

    // ---- what clients send ----

    fn take(&mut self, number: usize, frame: AMQPFrame) {
        self.connections[number].read += 1;
        let read = self.connections[number].read;
        let fault = take_fault(&mut self.connections[number].script, At::Read(read));
        match fault {
            Some(Fault::Cut) => return self.drop_connection(number),
            Some(Fault::CutWithin) => {
                self.act(number, frame);
                return self.drop_connection(number);
            }
            Some(fault) => self.misbehave(number, fault),
            None => {}
        }
        self.act(number, frame);
    }

    fn act(&mut self, number: usize, frame: AMQPFrame) {
        match frame {
            AMQPFrame::ProtocolHeader(_) => {
                let start = connection::Start {
                    version_major: 0,
                    version_minor: 9,
                    server_properties: FieldTable::default(),
                    mechanisms: self.offers.unwrap_or("PLAIN EXTERNAL").into(),
                    locales: "en_US".into(),
                };
                self.method(number, 0, AMQPClass::Connection(OnConnection::Start(start)));
            }
            AMQPFrame::Heartbeat => self.heartbeats += 1,
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => self.on_connection(number, method),
            AMQPFrame::Method(channel, class) => self.on_channel(number, channel, class),
            AMQPFrame::Header(channel, header) => {
                let on = self.connections[number].channels.get_mut(&channel);
                if let Some((_, kept, _)) = on.and_then(|on| on.content.as_mut()) {
                    *kept = Some(header);
                }
                self.publish_whole(number, channel);
            }
            AMQPFrame::Body(channel, part) => {
                let frame_max = self.connections[number].frame_max;
                if part.len() + 8 > frame_max {
                    self.faults.push(format!("a body frame of {} bytes", part.len()));
                }
                let on = self.connections[number].channels.get_mut(&channel);
                if let Some((.., body)) = on.and_then(|on| on.content.as_mut()) {
                    body.extend_from_slice(&part);
                }
                self.publish_whole(number, channel);
            }
            AMQPFrame::InvalidHeartbeat(_) => self.faults.push("a heartbeat on a channel".into()),
        }
    }

    fn on_connection(&mut self, number: usize, method: OnConnection) {
        let reply = |class| AMQPClass::Connection(class);
        match method {
            OnConnection::StartOk(ok) => {
                if let Some((user, password)) = &self.login
                    && ok.response.as_bytes() != format!("\0{user}\0{password}").as_bytes()
                {
                    let reply_text = "ACCESS_REFUSED".into();
                    let close =
                        connection::Close { reply_code: 403, reply_text, class_id: 10, method_id: 11 };
                    return self.method(number, 0, reply(OnConnection::Close(close)));
                }
                let tune =
                    connection::Tune { channel_max: 2047, frame_max: self.frame_max, heartbeat: self.beat_s };
                self.method(number, 0, reply(OnConnection::Tune(tune)));
            }
            OnConnection::TuneOk(ok) => {
                let connection = &mut self.connections[number];
                connection.frame_max = ok.frame_max as usize;
                connection.beat_ms = u64::from(ok.heartbeat) * 1000;
            }
            OnConnection::Open(_) => {
                self.opened += 1;
                self.opened_ms.push(now_ms());
                self.connections[number].open = true;
                self.method(number, 0, reply(OnConnection::OpenOk(connection::OpenOk {})));
            }
            OnConnection::Close(close) => {
                if close.reply_code == 200 {
                    self.closed_well += 1;
                }
                self.method(number, 0, reply(OnConnection::CloseOk(connection::CloseOk {})));
                self.drop_connection(number);
            }
            OnConnection::CloseOk(_) => self.drop_connection(number),
            other => self.faults.push(format!("on channel 0: {other:?}")),
        }
    }

    fn on_channel(&mut self, number: usize, channel: u16, class: AMQPClass) {
        if let AMQPClass::Channel(OnChannel::Open(_)) = class {
            if self.connections[number].channels.insert(channel, Channel::default()).is_some() {
                self.faults.push(format!("channel {channel} opened twice"));
            }
            let ok = channel::OpenOk {};
            return self.method(number, channel, AMQPClass::Channel(OnChannel::OpenOk(ok)));
        }
        if let AMQPClass::Channel(OnChannel::CloseOk(_)) = class {
            return;
        }
        let Some(on) = self.connections[number].channels.get_mut(&channel) else {
            return; // closed by us while this was on its way
        };
        match class {
            AMQPClass::Basic(Basic::Qos(qos)) => {
                on.prefetch = qos.prefetch_count;
                self.method(number, channel, AMQPClass::Basic(Basic::QosOk(basic::QosOk {})));
            }
            AMQPClass::Basic(Basic::Consume(consume)) => {
                let queue = consume.queue.as_str().to_string();
                if self.queues.get(&queue).is_none_or(|queue| queue.deleted) {
                    return self.close_channel(number, channel, 404, "no such queue");
                }
                let tag = consume.consumer_tag.as_str().to_string();
                on.consumer = Some(Consumer { queue, tag, active: true });
                let ok = basic::ConsumeOk { consumer_tag: consume.consumer_tag };
                self.method(number, channel, AMQPClass::Basic(Basic::ConsumeOk(ok)));
            }
            AMQPClass::Basic(Basic::Cancel(cancel)) => {
                on.consumer = None;
                let ok = basic::CancelOk { consumer_tag: cancel.consumer_tag };
                self.method(number, channel, AMQPClass::Basic(Basic::CancelOk(ok)));
            }
            AMQPClass::Basic(Basic::CancelOk(_)) | AMQPClass::Channel(OnChannel::FlowOk(_)) => {}
            AMQPClass::Basic(Basic::Ack(ack)) => self.settle(number, channel, ack.delivery_tag, "ack"),
            AMQPClass::Basic(Basic::Reject(reject)) => {
                let how = if reject.requeue { "requeue" } else { "reject" };
                self.settle(number, channel, reject.delivery_tag, how);
            }
            AMQPClass::Basic(Basic::Nack(nack)) => {
                let how = if nack.requeue { "requeue" } else { "reject" };
                self.settle(number, channel, nack.delivery_tag, how);
            }
            AMQPClass::Basic(Basic::Publish(publish)) => on.content = Some((publish, None, Vec::new())),
            AMQPClass::Confirm(Confirm::Select(_)) => {
                on.confirms = true;
                let ok = confirm::SelectOk {};
                self.method(number, channel, AMQPClass::Confirm(Confirm::SelectOk(ok)));
            }
            AMQPClass::Queue(queue::AMQPMethod::Declare(declare)) => {
                let name = declare.queue.as_str();
                self.queues.entry(name.into()).or_default();
                let (queue, message_count, consumer_count) = (declare.queue.clone(), 0, 0);
                let ok = queue::DeclareOk { queue, message_count, consumer_count };
                self.method(number, channel, AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)));
            }
            AMQPClass::Channel(OnChannel::Close(_)) => {
                if let Some(on) = self.connections[number].channels.remove(&channel) {
                    self.requeue_all(on);
                }
                let ok = channel::CloseOk {};
                self.method(number, channel, AMQPClass::Channel(OnChannel::CloseOk(ok)));
            }
            other => self.faults.push(format!("on channel {channel}: {other:?}")),
        }
    }

    fn settle(&mut self, number: usize, channel: u16, tag: u64, how: &'static str) {
        let on = self.connections[number].channels.get_mut(&channel);
        let Some((delivery, queue, message)) = on.and_then(|on| on.unsettled.remove(&tag)) else {
            return self.faults.push(format!("{how} of tag {tag} that is not open on channel {channel}"));
        };
        self.settled(delivery, how);
        match how {
            "ack" => {
                self.acks += 1;
                self.ends.insert(message.serial, Some(End::Acked));
                if self.forgetful {
                    self.ends.remove(&message.serial);
                }
            }
            "requeue" => self.put_back(&queue, message),
            _ => self.bury(&queue, message),
        }
    }

    fn publish_whole(&mut self, number: usize, channel: u16) {
        let connection = &mut self.connections[number];
        let Some(on) = connection.channels.get_mut(&channel) else { return };
        let whole = on
            .content
            .as_ref()
            .and_then(|(_, header, body)| Some(header.as_ref()?.body_size <= body.len() as u64));
        if whole != Some(true) {
            return;
        }
        let Some((publish, Some(header), body)) = on.content.take() else { return };
        on.published += 1;
        let (tag, confirms) = (on.published, on.confirms);
        let (refuse, lose) = (&mut connection.refuse, &mut connection.lose_confirm);
        let (refused, lost) = (std::mem::take(refuse), confirms && std::mem::take(lose));
        let frame_max = connection.frame_max;
        let message = Message { properties: header.properties, body, ..Message::default() };
        let key = publish.routing_key.as_str().to_string();
        let there = self.queues.get(&key).is_some_and(|queue| !queue.deleted);
        let taken = !refused && there && self.put(&key, message.clone(), true).is_some();
        if !there && publish.mandatory {
            let back = basic::Return {
                reply_code: 312,
                reply_text: "NO_ROUTE".into(),
                exchange: "".into(),
                routing_key: publish.routing_key,
            };
            let mut frames = vec![AMQPFrame::Method(channel, AMQPClass::Basic(Basic::Return(back)))];
            frames.extend(content(channel, &message, frame_max));
            self.send(number, &frames);
        }
        if confirms && !lost {
            let class = if taken || (!there && !refused) {
                Basic::Ack(basic::Ack { delivery_tag: tag, multiple: false })
            } else {
                Basic::Nack(basic::Nack { delivery_tag: tag, multiple: false, requeue: false })
            };
            self.method(number, channel, AMQPClass::Basic(class));
        }
    }
}

fn take_fault(script: &mut Script, at: At) -> Option<Fault> {
    let found = script.iter().position(|(when, _)| *when == at)?;
    Some(script.remove(found).1)
}

fn content(channel: u16, message: &Message, frame_max: usize) -> Vec<AMQPFrame> {
    let header = AMQPContentHeader {
        class_id: 60,
        body_size: message.body.len() as u64,
        properties: message.properties.clone(),
    };
    let parts = message.body.chunks(frame_max - 8).map(|part| AMQPFrame::Body(channel, part.to_vec()));
    std::iter::once(AMQPFrame::Header(channel, header)).chain(parts).collect()
}

/// A copy of the properties that does not expire.
fn without_expiration(p: AMQPProperties) -> AMQPProperties {
    let mut kept = AMQPProperties::default();
    macro_rules! keep {
        ($($get:ident $with:ident),*) => { $( if let Some(v) = p.$get().clone() { kept = kept.$with(v); } )* };
    }
    keep!(content_type with_content_type, content_encoding with_content_encoding, headers with_headers,
        delivery_mode with_delivery_mode, priority with_priority, correlation_id with_correlation_id,
        reply_to with_reply_to, message_id with_message_id, timestamp with_timestamp, kind with_type,
        user_id with_user_id, app_id with_app_id, cluster_id with_cluster_id);
    kept
}
