//! A small broker for AMQP 0-9-1 on a loopback address.
//!
//! It keeps queues in memory, delivers in order within each channel's prefetch limit, puts unacknowledged
//! messages back to their places when their connection ends, confirms what is published, sends heartbeats and
//! closes a connection that has been silent for two heartbeats (specification 4.2.7). A method is handled in
//! the order of its channel (specification 4.7).

use crate::record::Record;
use crate::wire::{self, Properties, Reader};
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A message; its serial number is its place in the queue.
#[derive(Clone)]
pub struct Message {
    pub properties: Vec<u8>,
    pub body: Vec<u8>,
    pub redelivered: bool,
    /// Routing key with which it was published; empty for the name of its queue.
    pub routing_key: Vec<u8>,
    /// Time of its entry into the queue, in milliseconds of the record.
    pub at_ms: u64,
}

#[derive(Default)]
struct Queue {
    ready: BTreeMap<u64, Message>,
    dead_letters: Option<String>,
}

struct Unacked {
    queue: String,
    serial: u64,
    message: Message,
}

#[derive(Default)]
struct Channel {
    consumer: Option<(String, String)>,
    prefetch: u16,
    last_tag: u64,
    unacked: BTreeMap<u64, Unacked>,
    confirms: bool,
    published: u64,
    content: Option<Content>,
}

/// A message that is being published.
#[derive(Default)]
struct Content {
    routing_key: String,
    /// Properties and size; none before the header.
    header: Option<(Vec<u8>, u64)>,
    body: Vec<u8>,
}

/// Deliveries that a client settles.
struct Tags {
    channel: u16,
    tag: u64,
    multiple: bool,
}

struct Connection {
    name: String,
    stream: TcpStream,
    out: Vec<u8>,
    channels: BTreeMap<u16, Channel>,
    last_received: Instant,
    last_sent: Instant,
    heartbeat: Duration,
    open: bool,
}

#[derive(Default)]
pub struct State {
    queues: HashMap<String, Queue>,
    connections: BTreeMap<u64, Connection>,
    last_connection: u64,
    last_serial: u64,
    pub acks: u64,
    pub rejects: u64,
}

pub struct Broker {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

impl Broker {
    /// Starts a broker that wishes for this heartbeat.
    pub fn start(record: &Record, heartbeat_s: u16) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state: Arc<Mutex<State>> = Arc::default();
        let (accept_state, accept_record) = (state.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, record) = (accept_state.clone(), accept_record.clone());
                std::thread::spawn(move || serve(&state, &record, stream, heartbeat_s));
            }
        });
        let (tick_state, tick_record) = (state.clone(), record.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                lock(&tick_state).tick(&tick_record);
            }
        });
        Ok(Self { address, state, record: record.clone() })
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    pub fn declare(&self, name: &str, dead_letters: Option<&str>) {
        let queue = Queue { dead_letters: dead_letters.map(str::to_string), ..Queue::default() };
        self.state().queues.insert(name.into(), queue);
    }

    /// Publishes a message as a client would.
    pub fn publish(&self, queue: &str, properties: &Properties, body: &[u8]) {
        let mut state = self.state();
        state.enqueue(&self.record, queue, properties.encode(), body.to_vec());
        state.deliver_all(&self.record);
    }

    /// Publishes a message through an exchange to which a queue is bound for all routing keys.
    pub fn publish_by_key(&self, queue: &str, key: &[u8], properties: &Properties, body: &[u8]) {
        let mut state = self.state();
        state.enqueue(&self.record, queue, properties.encode(), body.to_vec());
        let last = state.last_serial;
        if let Some(message) = state.queues.get_mut(queue).and_then(|queue| queue.ready.get_mut(&last)) {
            message.routing_key = key.to_vec();
        }
        state.deliver_all(&self.record);
    }

    /// Returns the messages of a queue that nobody consumes.
    pub fn contents(&self, queue: &str) -> Vec<Message> {
        let state = self.state();
        state.queues.get(queue).map(|queue| queue.ready.values().cloned().collect()).unwrap_or_default()
    }

    /// Returns how many consumers a queue has.
    pub fn consumers(&self, queue: &str) -> usize {
        let state = self.state();
        let channels = state.connections.values().flat_map(|connection| connection.channels.values());
        channels.filter(|channel| channel.consumer.as_ref().is_some_and(|(name, _)| name == queue)).count()
    }

    /// Returns how many messages of a queue are ready or unacknowledged.
    pub fn unsettled(&self, queue: &str) -> usize {
        let state = self.state();
        let ready = state.queues.get(queue).map_or(0, |queue| queue.ready.len());
        let channels = state.connections.values().flat_map(|connection| connection.channels.values());
        let unacked = channels.flat_map(|channel| channel.unacked.values());
        ready + unacked.filter(|unacked| unacked.queue == queue).count()
    }
}

impl State {
    fn enqueue(&mut self, record: &Record, queue: &str, properties: Vec<u8>, body: Vec<u8>) -> bool {
        let Some(entry) = self.queues.get_mut(queue) else { return false };
        self.last_serial += 1;
        let message =
            Message { properties, body, redelivered: false, routing_key: Vec::new(), at_ms: record.ms() };
        record.add(format!("broker: {queue} gets {}", describe(&message)));
        entry.ready.insert(self.last_serial, message);
        true
    }

    /// Sends heartbeats, and ends connections that were silent for two heartbeats.
    fn tick(&mut self, record: &Record) {
        let mut silent = Vec::new();
        for (id, connection) in &mut self.connections {
            if connection.heartbeat.is_zero() || !connection.open {
                continue;
            }
            if connection.last_received.elapsed() >= 2 * connection.heartbeat {
                silent.push(*id);
            } else if connection.last_sent.elapsed() >= connection.heartbeat / 2 {
                wire::put_frame(&mut connection.out, wire::HEARTBEAT, 0, &[]);
                connection.flush();
            }
        }
        for id in silent {
            self.end(record, id, "silent for two heartbeats");
        }
    }

    /// Ends a connection: what it has not acknowledged goes back to its queue.
    fn end(&mut self, record: &Record, id: u64, why: &str) {
        let Some(connection) = self.connections.remove(&id) else { return };
        let _ = connection.stream.shutdown(Shutdown::Both);
        let mut back = 0;
        for channel in connection.channels.into_values() {
            for Unacked { queue, serial, mut message } in channel.unacked.into_values() {
                message.redelivered = true;
                back += 1;
                record.add(format!("broker: back to {queue}: {}", describe(&message)));
                if let Some(queue) = self.queues.get_mut(&queue) {
                    queue.ready.insert(serial, message);
                }
            }
        }
        record.add(format!("broker: connection of {} ended, {why}; {back} messages back", connection.name));
        self.deliver_all(record);
    }

    /// Delivers what is ready, to one consumer after the other.
    fn deliver_all(&mut self, record: &Record) {
        loop {
            let mut delivered = false;
            for connection in self.connections.values_mut() {
                for (number, channel) in &mut connection.channels {
                    let Some((name, tag)) = &channel.consumer else { continue };
                    let limit = usize::from(channel.prefetch);
                    if limit > 0 && channel.unacked.len() >= limit {
                        continue;
                    }
                    let Some(queue) = self.queues.get_mut(name) else { continue };
                    let Some((serial, message)) = queue.ready.pop_first() else { continue };
                    channel.last_tag += 1;
                    let mut arguments = Vec::new();
                    wire::short(&mut arguments, tag);
                    arguments.extend(channel.last_tag.to_be_bytes());
                    arguments.push(u8::from(message.redelivered));
                    wire::short(&mut arguments, "");
                    if message.routing_key.is_empty() {
                        wire::short(&mut arguments, name);
                    } else {
                        arguments.push(message.routing_key.len() as u8);
                        arguments.extend(&message.routing_key);
                    }
                    put_content(&mut connection.out, *number, 60, &arguments, &message);
                    record.add(format!("broker: to {}: {}", connection.name, describe(&message)));
                    let unacked = Unacked { queue: name.clone(), serial, message };
                    channel.unacked.insert(channel.last_tag, unacked);
                    delivered = true;
                }
            }
            if !delivered {
                break;
            }
        }
        self.connections.values_mut().for_each(Connection::flush);
    }

    fn settle(&mut self, record: &Record, id: u64, tags: &Tags, how: Settle) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let name = connection.name.clone();
        let Some(channel) = connection.channels.get_mut(&tags.channel) else { return };
        let first = if tags.multiple { 0 } else { tags.tag };
        let tags: Vec<u64> = channel.unacked.range(first..=tags.tag).map(|(tag, _)| *tag).collect();
        let settled: Vec<Unacked> = tags.iter().filter_map(|tag| channel.unacked.remove(tag)).collect();
        for Unacked { queue, serial, mut message } in settled {
            record.add(format!("broker: {name} {}: {}", how.word(), describe(&message)));
            match how {
                Settle::Ack => self.acks += 1,
                Settle::Requeue => {
                    message.redelivered = true;
                    if let Some(queue) = self.queues.get_mut(&queue) {
                        queue.ready.insert(serial, message);
                    }
                }
                Settle::Reject => {
                    self.rejects += 1;
                    let dead = self.queues.get(&queue).and_then(|queue| queue.dead_letters.clone());
                    if let Some(dead) = dead {
                        self.enqueue(record, &dead, message.properties, message.body);
                    }
                }
            }
        }
    }
}

#[derive(Clone, Copy)]
enum Settle {
    Ack,
    Reject,
    Requeue,
}

impl Settle {
    fn word(self) -> &'static str {
        match self {
            Self::Ack => "acknowledges",
            Self::Reject => "rejects",
            Self::Requeue => "requeues",
        }
    }
}

fn describe(message: &Message) -> String {
    let properties = Properties::decode(&message.properties).unwrap_or_default();
    let outcome = properties.header("x-outcome").map(|o| format!(" outcome={o}")).unwrap_or_default();
    let id = properties.correlation_id.or(properties.message_id).unwrap_or_default();
    let redelivered = if message.redelivered { " redelivered" } else { "" };
    format!("id={id}{outcome} body={:?}{redelivered}", String::from_utf8_lossy(&message.body))
}

fn put_content(out: &mut Vec<u8>, channel: u16, method: u16, arguments: &[u8], message: &Message) {
    wire::put_method(out, channel, 60, method, arguments);
    let mut header = Vec::new();
    header.extend(60u16.to_be_bytes());
    header.extend(0u16.to_be_bytes());
    header.extend((message.body.len() as u64).to_be_bytes());
    header.extend(&message.properties);
    wire::put_frame(out, wire::HEADER, channel, &header);
    if !message.body.is_empty() {
        wire::put_frame(out, wire::BODY, channel, &message.body);
    }
}

impl Connection {
    fn flush(&mut self) {
        if !self.out.is_empty() {
            self.last_sent = Instant::now();
            // A connection that broke is noticed by its reader.
            let _ = self.stream.write_all(&self.out);
            self.out.clear();
        }
    }
}

fn serve(state: &Mutex<State>, record: &Record, mut stream: TcpStream, heartbeat_s: u16) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else { return };
    let _ = writer.set_write_timeout(Some(Duration::from_secs(2)));
    let mut header = [0; 8];
    if stream.read_exact(&mut header).is_err() || &header != b"AMQP\0\0\x09\x01" {
        return;
    }
    let id = {
        let mut state = lock(state);
        state.last_connection += 1;
        let id = state.last_connection;
        let mut connection = Connection {
            name: format!("connection {id}"),
            stream: writer,
            out: Vec::new(),
            channels: BTreeMap::new(),
            last_received: Instant::now(),
            last_sent: Instant::now(),
            heartbeat: Duration::ZERO,
            open: false,
        };
        let mut start = vec![0, 9];
        wire::long(&mut start, &[]);
        wire::long(&mut start, b"PLAIN EXTERNAL");
        wire::long(&mut start, b"en_US");
        wire::put_method(&mut connection.out, 0, 10, 10, &start);
        connection.flush();
        state.connections.insert(id, connection);
        id
    };
    let mut buffer = Vec::new();
    let mut chunk = [0; 16 * 1024];
    let why = loop {
        match stream.read(&mut chunk) {
            Ok(0) => break "closed by the peer".to_string(),
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            Err(error) => break error.to_string(),
        }
        let mut state = lock(state);
        match state.connections.get_mut(&id) {
            Some(connection) => connection.last_received = Instant::now(),
            None => return,
        }
        let mut end = None;
        while end.is_none() {
            match wire::take_frame(&mut buffer) {
                Ok(Some(frame)) => end = handle(&mut state, record, id, &frame, heartbeat_s).err(),
                Ok(None) => break,
                Err(error) => end = Some(error),
            }
        }
        state.deliver_all(record);
        if let Some(end) = end {
            drop(state);
            break end;
        }
    };
    lock(state).end(record, id, &why);
}

/// Handles one frame; `Err` ends the connection.
fn handle(
    state: &mut State,
    record: &Record,
    id: u64,
    frame: &wire::Frame,
    heartbeat_s: u16,
) -> Result<(), String> {
    match frame.kind {
        wire::HEARTBEAT => Ok(()),
        wire::METHOD => method(state, record, id, frame, heartbeat_s)
            .unwrap_or_else(|| Err("unreadable method".to_string())),
        wire::HEADER | wire::BODY => {
            content(state, record, id, frame).ok_or("unreadable content".to_string())
        }
        other => Err(format!("frame of type {other}")),
    }
}

fn method(
    state: &mut State,
    record: &Record,
    id: u64,
    frame: &wire::Frame,
    heartbeat_s: u16,
) -> Option<Result<(), String>> {
    let mut reader = Reader(&frame.payload);
    let (class, method, number) = (reader.u16()?, reader.u16()?, frame.channel);
    let connection = state.connections.get_mut(&id)?;
    let out = &mut connection.out;
    match (class, method) {
        (10, 11) => {
            let properties = reader.long()?;
            // The name that the client gives its connection, for the record.
            if let Some(at) = find(properties, b"connection_name") {
                let mut rest = Reader(&properties[at + 16..]);
                if let Some(name) = rest.long() {
                    connection.name = String::from_utf8_lossy(name).into_owned();
                }
            }
            let mut tune = 0u16.to_be_bytes().to_vec();
            tune.extend(131_072u32.to_be_bytes());
            tune.extend(heartbeat_s.to_be_bytes());
            wire::put_method(out, 0, 10, 30, &tune);
        }
        (10, 31) => {
            let (_channels, _frame, heartbeat) = (reader.u16()?, reader.u32()?, reader.u16()?);
            connection.heartbeat = Duration::from_secs(u64::from(heartbeat));
        }
        (10, 40) => {
            wire::put_method(out, 0, 10, 41, &[0]);
            connection.open = true;
            record
                .add(format!("broker: {} connected, heartbeat {:?}", connection.name, connection.heartbeat));
        }
        (10, 50) => {
            wire::put_method(out, 0, 10, 51, &[]);
            connection.flush();
            return Some(Err("connection.close".into()));
        }
        (10, 51) => return Some(Err("connection.close-ok".into())),
        (20, 10) => {
            connection.channels.insert(number, Channel::default());
            wire::put_method(out, number, 20, 11, &[0; 4]);
        }
        (20, 40) => {
            wire::put_method(out, number, 20, 41, &[]);
            connection.channels.remove(&number);
        }
        (60, 10) => {
            let (_size, count) = (reader.u32()?, reader.u16()?);
            connection.channels.get_mut(&number)?.prefetch = count;
            wire::put_method(out, number, 60, 11, &[]);
        }
        (60, 20) => {
            let _ticket = reader.u16()?;
            let (queue, tag) = (reader.short()?, reader.short()?);
            let mut ok = Vec::new();
            wire::short(&mut ok, &tag);
            wire::put_method(out, number, 60, 21, &ok);
            record.add(format!("broker: {} consumes {queue}", connection.name));
            connection.channels.get_mut(&number)?.consumer = Some((queue, tag));
        }
        (60, 30) => {
            let tag = reader.short()?;
            let mut ok = Vec::new();
            wire::short(&mut ok, &tag);
            wire::put_method(out, number, 60, 31, &ok);
            record.add(format!("broker: {} cancels a consumer", connection.name));
            connection.channels.get_mut(&number)?.consumer = None;
        }
        (60, 40) => {
            let _ticket = reader.u16()?;
            let (_exchange, key) = (reader.short()?, reader.short()?);
            connection.channels.get_mut(&number)?.content =
                Some(Content { routing_key: key, ..Content::default() });
        }
        (60, 80) => {
            let (tag, bits) = (reader.u64()?, reader.u8()?);
            let tags = Tags { channel: number, tag, multiple: bits & 1 != 0 };
            state.settle(record, id, &tags, Settle::Ack);
        }
        (60, 90) => {
            let (tag, bits) = (reader.u64()?, reader.u8()?);
            let how = if bits & 1 != 0 { Settle::Requeue } else { Settle::Reject };
            state.settle(record, id, &Tags { channel: number, tag, multiple: false }, how);
        }
        (60, 120) => {
            let (tag, bits) = (reader.u64()?, reader.u8()?);
            let how = if bits & 2 != 0 { Settle::Requeue } else { Settle::Reject };
            let tags = Tags { channel: number, tag, multiple: bits & 1 != 0 };
            state.settle(record, id, &tags, how);
        }
        (85, 10) => {
            connection.channels.get_mut(&number)?.confirms = true;
            wire::put_method(out, number, 85, 11, &[]);
        }
        (20, 21 | 41) => {}
        _ => return Some(Err(format!("method {class}.{method}"))),
    }
    Some(Ok(()))
}

fn content(state: &mut State, record: &Record, id: u64, frame: &wire::Frame) -> Option<()> {
    let connection = state.connections.get_mut(&id)?;
    let channel = connection.channels.get_mut(&frame.channel)?;
    let Content { header, body, .. } = channel.content.as_mut()?;
    if frame.kind == wire::HEADER {
        let mut reader = Reader(&frame.payload);
        let (_class, _weight, size) = (reader.u16()?, reader.u16()?, reader.u64()?);
        *header = Some((reader.0.to_vec(), size));
    } else {
        body.extend(&frame.payload);
    }
    if header.as_ref().is_none_or(|(_, size)| body.len() as u64 != *size) {
        return Some(());
    }
    let Content { routing_key: key, header, body } = channel.content.take()?;
    let (properties, _) = header?;
    channel.published += 1;
    let (published, confirms, name) = (channel.published, channel.confirms, connection.name.clone());
    record.add(format!("broker: {name} publishes to {key}"));
    let routed = state.enqueue(record, &key, properties.clone(), body.clone());
    let connection = state.connections.get_mut(&id)?;
    if !routed {
        let mut arguments = 312u16.to_be_bytes().to_vec();
        wire::short(&mut arguments, "NO_ROUTE");
        wire::short(&mut arguments, "");
        wire::short(&mut arguments, &key);
        let message = Message { properties, body, redelivered: false, routing_key: Vec::new(), at_ms: 0 };
        put_content(&mut connection.out, frame.channel, 50, &arguments, &message);
    }
    if confirms {
        let mut ack = published.to_be_bytes().to_vec();
        ack.push(0);
        wire::put_method(&mut connection.out, frame.channel, 60, 80, &ack);
    }
    Some(())
}

fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text)
}
