//! Connections and channels of clients, and the sending of frames, with the faults of the connection's
//! script.

use super::message::Message;
use super::state::BrokerState;
use crate::now_ms;
use crate::script::{Fault, FramePosition, Script};
use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, gen_frame};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as BasicMethod};
use amq_protocol::protocol::channel::{self, AMQPMethod as ChannelMethod};
use amq_protocol::protocol::connection::{self, AMQPMethod as ConnectionMethod};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};

pub(super) struct Consumer {
    pub(super) queue: String,
    pub(super) tag: String,
    /// Whether the broker has not cancelled the consumer.
    pub(super) active: bool,
}

#[derive(Default)]
pub(super) struct Channel {
    pub(super) consumer: Option<Consumer>,
    /// Highest number of unsettled deliveries; 0 for no limit.
    pub(super) prefetch: u16,
    pub(super) last_delivery_tag: u64,
    /// Index of the delivery record, queue and message of each unsettled delivery, by delivery tag.
    pub(super) unsettled: BTreeMap<u64, (usize, String, Message)>,
    pub(super) confirm_mode: bool,
    pub(super) published_count: u64,
    /// Message that the client is publishing: method, content header once it was read, and the body so far.
    pub(super) incoming_publish: Option<(basic::Publish, Option<AMQPContentHeader>, Vec<u8>)>,
}

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) alive: bool,
    /// Whether the handshake is complete.
    pub(super) open: bool,
    /// Whether the broker sends nothing more, as scripted.
    pub(super) silent: bool,
    pub(super) frames_sent: u64,
    pub(super) frames_read: u64,
    pub(super) script: Script,
    pub(super) channels: BTreeMap<u16, Channel>,
    pub(super) frame_max: usize,
    /// Heartbeat interval, in milliseconds; 0 for no heartbeats.
    pub(super) heartbeat_ms: u64,
    pub(super) last_sent_ms: u64,
    /// Time at which `connection.unblocked` is due, in Unix milliseconds; `None` while not blocked.
    pub(super) unblock_at_ms: Option<u64>,
    pub(super) refuse_next_publish: bool,
    pub(super) lose_next_confirm: bool,
}

impl BrokerState {
    /// Adds a connection with the next script and returns its index.
    pub(super) fn accept(&mut self, stream: TcpStream) -> usize {
        self.connections_accepted += 1;
        let script = self.scripts.pop_front().unwrap_or_default();
        let connection = Connection {
            stream,
            alive: !self.stopped,
            open: false,
            silent: false,
            frames_sent: 0,
            frames_read: 0,
            script,
            channels: BTreeMap::new(),
            frame_max: self.frame_max as usize,
            heartbeat_ms: 0,
            last_sent_ms: now_ms(),
            unblock_at_ms: None,
            refuse_next_publish: false,
            lose_next_confirm: false,
        };
        self.connections.push(connection);
        self.connections.len() - 1
    }

    /// Breaks a connection, puts its unsettled messages back into their queues, and delivers what is ready.
    pub(super) fn drop_connection(&mut self, connection_index: usize) {
        let connection = &mut self.connections[connection_index];
        connection.alive = false;
        let _ = connection.stream.shutdown(Shutdown::Both);
        let channels = std::mem::take(&mut connection.channels);
        channels.into_values().for_each(|channel| self.requeue_all(channel));
        self.deliver_ready();
    }

    pub(super) fn send_method(&mut self, connection_index: usize, channel: u16, class: AMQPClass) {
        self.send_frames(connection_index, &[AMQPFrame::Method(channel, class)]);
    }

    /// Sends frames, with the faults that the connection's script places at them.
    pub(super) fn send_frames(&mut self, connection_index: usize, frames: &[AMQPFrame]) {
        let mut pending_bytes = Vec::new();
        for frame in frames {
            let connection = &mut self.connections[connection_index];
            if !connection.alive || connection.silent {
                return;
            }
            connection.frames_sent += 1;
            connection.last_sent_ms = now_ms();
            let mut bytes = gen_frame(frame)(Vec::new().into()).expect("frame is valid").into_inner().0;
            let frames_sent = connection.frames_sent;
            match take_fault(&mut connection.script, FramePosition::Sent(frames_sent)) {
                Some(Fault::CutBetweenFrames) => {
                    let _ = connection.stream.write_all(&pending_bytes);
                    return self.drop_connection(connection_index);
                }
                Some(Fault::CutWithinFrame) => {
                    pending_bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
                    let _ = connection.stream.write_all(&pending_bytes);
                    return self.drop_connection(connection_index);
                }
                Some(Fault::WrongFrameEnd) => *bytes.last_mut().expect("frame has an end octet") = 0,
                Some(Fault::HugeFrameLength) => bytes[3..7].fill(0xFF),
                Some(fault) => self.inject_fault(connection_index, fault),
                None => {}
            }
            pending_bytes.extend_from_slice(&bytes);
        }
        let connection = &mut self.connections[connection_index];
        if connection.alive && connection.stream.write_all(&pending_bytes).is_err() {
            self.drop_connection(connection_index);
        }
    }

    /// Applies a fault that does not alter the current frame; does nothing before the handshake is complete.
    /// A fault that would alter a frame breaks the connection.
    pub(super) fn inject_fault(&mut self, connection_index: usize, fault: Fault) {
        let connection = &mut self.connections[connection_index];
        if !connection.open {
            return;
        }
        match fault {
            Fault::Silence => connection.silent = true,
            Fault::RefusePublish => connection.refuse_next_publish = true,
            Fault::LoseConfirm => connection.lose_next_confirm = true,
            Fault::DuplicateMessage => self.duplicate_last_delivered = true,
            Fault::BlockConnection(ms) => {
                connection.unblock_at_ms = Some(now_ms() + ms);
                let blocked = connection::Blocked { reason: "memory".into() };
                self.send_method(
                    connection_index,
                    0,
                    AMQPClass::Connection(ConnectionMethod::Blocked(blocked)),
                );
            }
            Fault::CancelConsumers => self.cancel_consumers(None),
            Fault::CloseChannels => self.close_channels(connection_index, 406, "precondition failed"),
            Fault::CloseConnection => {
                let (class_id, method_id) = (0, 0);
                let reply_text = "shutting down".into();
                let close = connection::Close { reply_code: 320, reply_text, class_id, method_id };
                self.send_method(connection_index, 0, AMQPClass::Connection(ConnectionMethod::Close(close)));
                self.connections[connection_index].silent = true;
            }
            Fault::CutBetweenFrames
            | Fault::CutWithinFrame
            | Fault::WrongFrameEnd
            | Fault::HugeFrameLength => self.drop_connection(connection_index),
        }
    }

    /// Sends the heartbeats and `connection.unblocked` methods that are due.
    pub(super) fn maintain_connections(&mut self, now: u64) {
        for connection_index in 0..self.connections.len() {
            let connection = &mut self.connections[connection_index];
            if !connection.alive {
                continue;
            }
            if connection.unblock_at_ms.is_some_and(|due_ms| due_ms <= now) {
                connection.unblock_at_ms = None;
                self.send_method(
                    connection_index,
                    0,
                    AMQPClass::Connection(ConnectionMethod::Unblocked(connection::Unblocked {})),
                );
            }
            let connection = &self.connections[connection_index];
            if connection.open
                && connection.heartbeat_ms > 0
                && now.saturating_sub(connection.last_sent_ms) >= connection.heartbeat_ms / 2
            {
                self.send_frames(connection_index, &[AMQPFrame::Heartbeat]);
            }
        }
    }

    /// Cancels the active consumers of a queue, or of all queues with `None`.
    pub(super) fn cancel_consumers(&mut self, queue: Option<&str>) {
        for connection_index in 0..self.connections.len() {
            let channels = &mut self.connections[connection_index].channels;
            let mut cancelled = Vec::new();
            for (channel, channel_state) in channels.iter_mut() {
                if let Some(consumer) = channel_state.consumer.as_mut()
                    && consumer.active
                    && queue.is_none_or(|queue| consumer.queue == queue)
                {
                    consumer.active = false;
                    cancelled.push((*channel, consumer.tag.clone()));
                }
            }
            for (channel, tag) in cancelled {
                let cancel = basic::Cancel { consumer_tag: tag.as_str().into(), nowait: true };
                self.send_method(connection_index, channel, AMQPClass::Basic(BasicMethod::Cancel(cancel)));
            }
        }
    }

    /// Closes the channels of a connection that have a consumer, as a broker does after a permission was
    /// withdrawn.
    pub fn close_channels(&mut self, connection_index: usize, code: u16, reason: &str) {
        let consuming = |(n, c): (&u16, &Channel)| c.consumer.is_some().then_some(*n);
        let channels: Vec<u16> =
            self.connections[connection_index].channels.iter().filter_map(consuming).collect();
        channels.into_iter().for_each(|channel| self.close_channel(connection_index, channel, code, reason));
    }

    /// Closes a channel and puts its unsettled messages back into their queues.
    pub(super) fn close_channel(&mut self, connection_index: usize, channel: u16, code: u16, reason: &str) {
        if let Some(channel_state) = self.connections[connection_index].channels.remove(&channel) {
            self.requeue_all(channel_state);
        }
        let close = channel::Close { reply_code: code, reply_text: reason.into(), class_id: 0, method_id: 0 };
        self.send_method(connection_index, channel, AMQPClass::Channel(ChannelMethod::Close(close)));
    }
}

/// Removes the fault at a position from the script and returns it; `None` if there is none.
pub(super) fn take_fault(script: &mut Script, at: FramePosition) -> Option<Fault> {
    let index = script.iter().position(|(position, _)| *position == at)?;
    Some(script.remove(index).1)
}
