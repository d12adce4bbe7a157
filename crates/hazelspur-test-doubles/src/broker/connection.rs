//! Connections and channels of clients, and what the broker writes to them.

use super::message::Message;
use super::state::BrokerState;
use crate::now_ms;
use crate::script::{Fault, FramePosition, Script};
use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, gen_frame};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};
use amq_protocol::protocol::channel::{self, AMQPMethod as OnChannel};
use amq_protocol::protocol::connection::{self, AMQPMethod as OnConnection};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};

pub(super) struct Consumer {
    pub(super) queue: String,
    pub(super) tag: String,
    pub(super) active: bool,
}

#[derive(Default)]
pub(super) struct Channel {
    pub(super) consumer: Option<Consumer>,
    pub(super) prefetch: u16,
    pub(super) last_tag: u64,
    pub(super) unsettled: BTreeMap<u64, (usize, String, Message)>,
    pub(super) confirms: bool,
    pub(super) published: u64,
    pub(super) content: Option<(basic::Publish, Option<AMQPContentHeader>, Vec<u8>)>,
}

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) alive: bool,
    pub(super) open: bool,
    pub(super) mute: bool,
    pub(super) sent: u64,
    pub(super) read: u64,
    pub(super) script: Script,
    pub(super) channels: BTreeMap<u16, Channel>,
    pub(super) frame_max: usize,
    pub(super) beat_ms: u64,
    pub(super) sent_ms: u64,
    pub(super) unblock_ms: Option<u64>,
    pub(super) refuse: bool,
    pub(super) lose_confirm: bool,
}

impl BrokerState {
    pub(super) fn begin(&mut self, stream: TcpStream) -> usize {
        self.connections_accepted += 1;
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

    pub(super) fn drop_connection(&mut self, number: usize) {
        let connection = &mut self.connections[number];
        connection.alive = false;
        let _ = connection.stream.shutdown(Shutdown::Both);
        let channels = std::mem::take(&mut connection.channels);
        channels.into_values().for_each(|channel| self.requeue_all(channel));
        self.pump();
    }

    pub(super) fn method(&mut self, number: usize, channel: u16, class: AMQPClass) {
        self.send(number, &[AMQPFrame::Method(channel, class)]);
    }

    /// Writes frames, unless the script says otherwise.
    pub(super) fn send(&mut self, number: usize, frames: &[AMQPFrame]) {
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
            match take_fault(&mut connection.script, FramePosition::Sent(sent)) {
                Some(Fault::CutBetweenFrames) => {
                    let _ = connection.stream.write_all(&out);
                    return self.drop_connection(number);
                }
                Some(Fault::CutWithinFrame) => {
                    out.extend_from_slice(&bytes[..bytes.len() / 2]);
                    let _ = connection.stream.write_all(&out);
                    return self.drop_connection(number);
                }
                Some(Fault::WrongFrameEnd) => *bytes.last_mut().expect("an end") = 0,
                Some(Fault::HugeFrameLength) => bytes[3..7].fill(0xFF),
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
    pub(super) fn misbehave(&mut self, number: usize, fault: Fault) {
        let connection = &mut self.connections[number];
        if !connection.open {
            return;
        }
        match fault {
            Fault::Silence => connection.mute = true,
            Fault::RefusePublish => connection.refuse = true,
            Fault::LoseConfirm => connection.lose_confirm = true,
            Fault::DuplicateMessage => self.duplicate = true,
            Fault::BlockConnection(ms) => {
                connection.unblock_ms = Some(now_ms() + ms);
                let blocked = connection::Blocked { reason: "memory".into() };
                self.method(number, 0, AMQPClass::Connection(OnConnection::Blocked(blocked)));
            }
            Fault::CancelConsumers => self.cancel_all(None),
            Fault::CloseChannels => self.close_channels(number, 406, "precondition failed"),
            Fault::CloseConnection => {
                let (class_id, method_id) = (0, 0);
                let reply_text = "shutting down".into();
                let close = connection::Close { reply_code: 320, reply_text, class_id, method_id };
                self.method(number, 0, AMQPClass::Connection(OnConnection::Close(close)));
                self.connections[number].mute = true;
            }
            Fault::CutBetweenFrames
            | Fault::CutWithinFrame
            | Fault::WrongFrameEnd
            | Fault::HugeFrameLength => self.drop_connection(number),
        }
    }

    /// Sends heartbeats that are due and ends blocks whose time is over.
    pub(super) fn keep_connections(&mut self, now: u64) {
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
    }

    pub(super) fn cancel_all(&mut self, queue: Option<&str>) {
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

    pub(super) fn close_channel(&mut self, number: usize, channel: u16, code: u16, why: &str) {
        if let Some(on) = self.connections[number].channels.remove(&channel) {
            self.requeue_all(on);
        }
        let close = channel::Close { reply_code: code, reply_text: why.into(), class_id: 0, method_id: 0 };
        self.method(number, channel, AMQPClass::Channel(OnChannel::Close(close)));
    }
}

pub(super) fn take_fault(script: &mut Script, at: FramePosition) -> Option<Fault> {
    let found = script.iter().position(|(when, _)| *when == at)?;
    Some(script.remove(found).1)
}
