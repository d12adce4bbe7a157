//! A broker for AMQP 0-9-1 in memory: the default exchange, queues with dead letters, `basic.qos` for the
//! channel, acks, rejects, publisher confirms. Methods of a channel are taken in order. What a consumer held
//! is put back, marked as redelivered, when its connection ends.

use crate::Record;
use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::spawn;

/// Properties of a message that these cases use.
#[derive(Clone, Default, Debug)]
pub struct Properties {
    pub headers: Vec<(String, String)>,
    pub correlation_id: Option<String>,
    pub reply_to: Option<String>,
    pub message_id: Option<String>,
    pub message_type: Option<String>,
}

#[derive(Clone)]
pub struct Message {
    pub serial: u64,
    /// Encoded properties, passed on as they came.
    encoded: Vec<u8>,
    pub body: Vec<u8>,
    pub redelivered: bool,
}

impl Message {
    pub fn properties(&self) -> Properties {
        decode(&self.encoded)
    }
}

#[derive(Default)]
struct Queue {
    ready: VecDeque<Message>,
    dead_letters: Option<String>,
}

#[derive(Default)]
struct Channel {
    consumer: Option<(String, String)>,
    prefetch: usize,
    last_tag: u64,
    unsettled: BTreeMap<u64, (String, Message)>,
    confirms: bool,
    published: u64,
    incoming: Option<(String, Vec<u8>, u64, Vec<u8>)>,
}

struct Connection {
    stream: TcpStream,
    alive: bool,
    channels: BTreeMap<u16, Channel>,
}

#[derive(Default)]
pub struct State {
    queues: BTreeMap<String, Queue>,
    connections: Vec<Connection>,
    last_serial: u64,
    /// How each message was settled last, by serial number.
    pub settled: BTreeMap<u64, &'static str>,
    pub unexpected: Vec<String>,
    record: Option<Record>,
}

pub struct Broker {
    pub address: SocketAddr,
    shared: Arc<Mutex<State>>,
}

impl Broker {
    pub fn start(record: Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Mutex::new(State { record: Some(record), ..State::default() }));
        let accepted = shared.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepted.clone();
                spawn(move || serve(&shared, stream));
            }
        });
        Self { address, shared }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.shared.lock().expect("the state")
    }

    pub fn declare(&self, name: &str, dead_letters: Option<&str>) {
        let queue = Queue { dead_letters: dead_letters.map(String::from), ..Queue::default() };
        self.state().queues.insert(name.into(), queue);
    }

    /// Publishes a message as a client would; returns its serial number.
    pub fn publish(&self, queue: &str, properties: &Properties, body: &[u8]) -> u64 {
        let mut state = self.state();
        let serial = state.enqueue(queue, encode(properties), body.to_vec());
        state.note(format!(
            "broker: message {serial} published to {queue}: {:?} {}",
            properties.message_id,
            text(body)
        ));
        state.deliver();
        serial
    }
}

impl State {
    fn note(&self, line: String) {
        if let Some(record) = &self.record {
            record.line(line);
        }
    }

    pub fn ready(&self, queue: &str) -> Vec<Message> {
        self.queues.get(queue).map_or(Vec::new(), |queue| queue.ready.iter().cloned().collect())
    }

    pub fn unsettled(&self) -> usize {
        self.connections.iter().flat_map(|c| c.channels.values()).map(|c| c.unsettled.len()).sum()
    }

    fn enqueue(&mut self, queue: &str, encoded: Vec<u8>, body: Vec<u8>) -> u64 {
        self.last_serial += 1;
        let message = Message { serial: self.last_serial, encoded, body, redelivered: false };
        if let Some(queue) = self.queues.get_mut(queue) {
            queue.ready.push_back(message);
        }
        self.last_serial
    }

    fn deliver(&mut self) {
        for index in 0..self.connections.len() {
            let numbers: Vec<u16> = self.connections[index].channels.keys().copied().collect();
            for number in numbers {
                while self.deliver_one(index, number) {}
            }
        }
    }

    fn deliver_one(&mut self, index: usize, number: u16) -> bool {
        let connection = &mut self.connections[index];
        let Some(channel) = connection.channels.get_mut(&number).filter(|_| connection.alive) else {
            return false;
        };
        let Some((queue, consumer)) = channel.consumer.clone() else { return false };
        if channel.prefetch > 0 && channel.unsettled.len() >= channel.prefetch {
            return false;
        }
        let Some(message) = self.queues.get_mut(&queue).and_then(|queue| queue.ready.pop_front()) else {
            return false;
        };
        channel.last_tag += 1;
        let tag = channel.last_tag;
        channel.unsettled.insert(tag, (queue.clone(), message.clone()));
        let mut out = method(number, 60, 60, |out| {
            short(out, &consumer);
            out.extend(tag.to_be_bytes());
            out.push(u8::from(message.redelivered));
            short(out, "");
            short(out, &queue);
        });
        out.extend(content(number, &message));
        self.write(index, &out);
        self.note(format!(
            "broker: message {} delivered on connection {index}, redelivered {}",
            message.serial, message.redelivered
        ));
        true
    }

    fn write(&mut self, index: usize, bytes: &[u8]) {
        let connection = &mut self.connections[index];
        if connection.alive && connection.stream.write_all(bytes).is_err() {
            self.drop_connection(index);
        }
    }

    fn drop_connection(&mut self, index: usize) {
        let connection = &mut self.connections[index];
        connection.alive = false;
        let _ = connection.stream.shutdown(Shutdown::Both);
        for (_, channel) in std::mem::take(&mut connection.channels) {
            for (_, (queue, message)) in channel.unsettled.into_iter().rev() {
                self.put_back(&queue, message, "connection ended, put back");
            }
        }
    }

    fn put_back(&mut self, queue: &str, message: Message, how: &'static str) {
        self.note(format!("broker: message {} {how}", message.serial));
        self.settled.insert(message.serial, how);
        if let Some(queue) = self.queues.get_mut(queue) {
            queue.ready.push_front(Message { redelivered: true, ..message });
        }
    }

    fn settle(&mut self, index: usize, number: u16, tag: u64, how: &'static str) {
        let channel = self.connections[index].channels.get_mut(&number);
        let Some((queue, message)) = channel.and_then(|channel| channel.unsettled.remove(&tag)) else {
            return self.unexpected.push(format!("{how} of tag {tag}, which is not open"));
        };
        match how {
            "requeue" => self.put_back(&queue, message, "requeue"),
            _ => {
                self.note(format!("broker: message {} {how}", message.serial));
                self.settled.insert(message.serial, how);
                let dead = self.queues.get(&queue).and_then(|queue| queue.dead_letters.clone());
                if let Some(dead) = dead.filter(|_| how == "reject")
                    && let Some(dead) = self.queues.get_mut(&dead)
                {
                    dead.ready.push_back(message);
                }
            }
        }
    }

    fn frame(&mut self, index: usize, kind: u8, number: u16, payload: &[u8]) {
        match kind {
            1 => self.method(index, number, payload),
            2 => {
                let channel = self.connections[index].channels.get_mut(&number);
                if let Some((_, encoded, size, _)) = channel.and_then(|channel| channel.incoming.as_mut()) {
                    *size = u64::from_be_bytes(payload[4..12].try_into().expect("eight bytes"));
                    *encoded = payload[12..].to_vec();
                }
                self.finish_publish(index, number);
            }
            3 => {
                let channel = self.connections[index].channels.get_mut(&number);
                if let Some((.., body)) = channel.and_then(|channel| channel.incoming.as_mut()) {
                    body.extend_from_slice(payload);
                }
                self.finish_publish(index, number);
            }
            8 => self.write(index, &frame(8, 0, &[])),
            _ => self.unexpected.push(format!("frame of kind {kind}")),
        }
    }

    fn finish_publish(&mut self, index: usize, number: u16) {
        let Some(channel) = self.connections[index].channels.get_mut(&number) else { return };
        let is_whole = channel.incoming.as_ref().is_some_and(|(_, _, size, body)| body.len() as u64 >= *size);
        let Some((queue, encoded, _, body)) = channel.incoming.take_if(|_| is_whole) else { return };
        channel.published += 1;
        let (tag, confirms) = (channel.published, channel.confirms);
        if self.queues.contains_key(&queue) {
            let properties = decode(&encoded);
            self.note(format!("broker: server published to {queue}: {properties:?} {}", text(&body)));
            self.enqueue(&queue, encoded, body);
        } else {
            self.unexpected.push(format!("a message to the queue {queue}, which does not exist"));
        }
        if confirms {
            let ack = method(number, 60, 80, |out| {
                out.extend(tag.to_be_bytes());
                out.push(0);
            });
            self.write(index, &ack);
        }
    }

    fn method(&mut self, index: usize, number: u16, payload: &[u8]) {
        let mut reader = Reader(payload);
        let id = (reader.u16(), reader.u16());
        let channel = |state: &mut Self| state.connections[index].channels.contains_key(&number);
        match id {
            // start-ok, tune-ok, open, close, close-ok of the connection
            (10, 11) => {
                let tune = method(0, 10, 30, |out| {
                    out.extend(2047u16.to_be_bytes());
                    out.extend(131_072u32.to_be_bytes());
                    out.extend(20u16.to_be_bytes());
                });
                self.write(index, &tune);
            }
            (10, 31) => {}
            (10, 40) => self.write(index, &method(0, 10, 41, |out| short(out, ""))),
            (10, 50) => {
                self.write(index, &method(0, 10, 51, |_| {}));
                self.drop_connection(index);
            }
            (10, 51) => self.drop_connection(index),
            (20, 10) => {
                self.connections[index].channels.insert(number, Channel::default());
                self.write(index, &method(number, 20, 11, |out| out.extend(0u32.to_be_bytes())));
            }
            _ if !channel(self) => {}
            (60, 10) => {
                let _size = (reader.u16(), reader.u16());
                let prefetch = usize::from(reader.u16());
                self.connections[index].channels.get_mut(&number).expect("it is open").prefetch = prefetch;
                self.write(index, &method(number, 60, 11, |_| {}));
            }
            (60, 20) => {
                let _reserved = reader.u16();
                let (queue, tag) = (reader.short(), reader.short());
                let ok = method(number, 60, 21, |out| short(out, &tag));
                self.connections[index].channels.get_mut(&number).expect("it is open").consumer =
                    Some((queue, tag));
                self.write(index, &ok);
            }
            (60, 30) => {
                let tag = reader.short();
                self.connections[index].channels.get_mut(&number).expect("it is open").consumer = None;
                self.write(index, &method(number, 60, 31, |out| short(out, &tag)));
            }
            (60, 40) => {
                let _reserved = reader.u16();
                let (_exchange, queue) = (reader.short(), reader.short());
                let incoming = Some((queue, Vec::new(), u64::MAX, Vec::new()));
                self.connections[index].channels.get_mut(&number).expect("it is open").incoming = incoming;
            }
            (60, 80) => {
                let tag = reader.u64();
                self.settle(index, number, tag, "ack");
            }
            (60, 90) => {
                let (tag, requeue) = (reader.u64(), reader.u8() & 1 == 1);
                self.settle(index, number, tag, if requeue { "requeue" } else { "reject" });
            }
            (85, 10) => {
                self.connections[index].channels.get_mut(&number).expect("it is open").confirms = true;
                self.write(index, &method(number, 85, 11, |_| {}));
            }
            other => self.unexpected.push(format!("method {other:?}")),
        }
    }
}

fn serve(shared: &Mutex<State>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let index = {
        let mut state = shared.lock().expect("the state");
        let stream = stream.try_clone().expect("a second handle");
        state.connections.push(Connection { stream, alive: true, channels: BTreeMap::new() });
        state.connections.len() - 1
    };
    let (mut unread, mut chunk, mut greeted) = (Vec::new(), [0; 16 * 1024], false);
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        unread.extend_from_slice(&chunk[..count]);
        let mut state = shared.lock().expect("the state");
        if !greeted && unread.len() >= 8 {
            greeted = true;
            unread.drain(..8);
            let start = method(0, 10, 10, |out| {
                out.extend([0, 9]);
                out.extend(0u32.to_be_bytes());
                long(out, b"PLAIN EXTERNAL");
                long(out, b"en_US");
            });
            state.write(index, &start);
        }
        let mut used = 0;
        while greeted && unread.len() >= used + 7 {
            let head = &unread[used..];
            let length = u32::from_be_bytes(head[3..7].try_into().expect("four bytes")) as usize;
            if head.len() < length + 8 {
                break;
            }
            let number = u16::from_be_bytes([head[1], head[2]]);
            let (kind, payload) = (head[0], head[7..7 + length].to_vec());
            used += length + 8;
            state.frame(index, kind, number, &payload);
        }
        unread.drain(..used);
        state.deliver();
        if !state.connections[index].alive {
            break;
        }
    }
    let mut state = shared.lock().expect("the state");
    state.drop_connection(index);
    state.deliver();
}

fn text(body: &[u8]) -> String {
    String::from_utf8_lossy(body).into_owned()
}

fn frame(kind: u8, channel: u16, payload: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend(channel.to_be_bytes());
    out.extend((payload.len() as u32).to_be_bytes());
    out.extend_from_slice(payload);
    out.push(0xCE);
    out
}

fn method(channel: u16, class: u16, method: u16, arguments: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut payload = Vec::new();
    payload.extend(class.to_be_bytes());
    payload.extend(method.to_be_bytes());
    arguments(&mut payload);
    frame(1, channel, &payload)
}

fn content(channel: u16, message: &Message) -> Vec<u8> {
    let mut header = vec![0, 60, 0, 0];
    header.extend((message.body.len() as u64).to_be_bytes());
    header.extend_from_slice(&message.encoded);
    let mut out = frame(2, channel, &header);
    if !message.body.is_empty() {
        out.extend(frame(3, channel, &message.body));
    }
    out
}

fn short(out: &mut Vec<u8>, text: &str) {
    out.push(text.len() as u8);
    out.extend_from_slice(text.as_bytes());
}

fn long(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(bytes);
}

fn encode(properties: &Properties) -> Vec<u8> {
    let (mut flags, mut out) = (0u16, Vec::new());
    if !properties.headers.is_empty() {
        flags |= 1 << 13;
        let mut table = Vec::new();
        for (name, value) in &properties.headers {
            short(&mut table, name);
            table.push(b'S');
            long(&mut table, value.as_bytes());
        }
        long(&mut out, &table);
    }
    let texts = [
        (10, &properties.correlation_id),
        (9, &properties.reply_to),
        (7, &properties.message_id),
        (5, &properties.message_type),
    ];
    for (bit, value) in texts {
        if let Some(value) = value {
            flags |= 1 << bit;
            short(&mut out, value);
        }
    }
    [flags.to_be_bytes().to_vec(), out].concat()
}

fn decode(encoded: &[u8]) -> Properties {
    let mut reader = Reader(encoded);
    let flags = reader.u16();
    let has = |bit: u16| flags & (1 << bit) != 0;
    let mut properties = Properties::default();
    for bit in (2..16).rev().filter(|bit| has(*bit)) {
        match bit {
            13 => {
                let mut table = Reader(reader.long());
                while !table.0.is_empty() {
                    let name = table.short();
                    let value = match table.u8() {
                        b'S' => text(table.long()),
                        b'l' => (table.u64() as i64).to_string(),
                        _ => break,
                    };
                    properties.headers.push((name, value));
                }
            }
            12 | 11 => _ = reader.u8(),
            6 => _ = reader.u64(),
            _ => {
                let value = Some(reader.short());
                match bit {
                    10 => properties.correlation_id = value,
                    9 => properties.reply_to = value,
                    7 => properties.message_id = value,
                    5 => properties.message_type = value,
                    _ => {}
                }
            }
        }
    }
    properties
}

/// Reads values from the front; past the end it yields zeros.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> &'a [u8] {
        let (taken, rest) = self.0.split_at(count.min(self.0.len()));
        self.0 = rest;
        taken
    }

    fn number(&mut self, count: usize) -> u64 {
        self.take(count).iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
    }

    fn u8(&mut self) -> u8 {
        self.number(1) as u8
    }

    fn u16(&mut self) -> u16 {
        self.number(2) as u16
    }

    fn u64(&mut self) -> u64 {
        self.number(8)
    }

    fn short(&mut self) -> String {
        let length = usize::from(self.u8());
        text(self.take(length))
    }

    fn long(&mut self) -> &'a [u8] {
        let length = self.number(4) as usize;
        self.take(length)
    }
}
