//! State of the broker: queues, connections, and the records of messages and deliveries.

use super::connection::{Channel, Connection};
use super::message::{DeliveryRecord, Message, MessageEnd, Queue, SettledBy, without_expiration};
use crate::now_ms;
use crate::script::Script;
use std::collections::{BTreeMap, VecDeque};

/// Queues, connections, settings, and records for tests.
#[derive(Default)]
pub struct BrokerState {
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// All deliveries, in order; left empty with `discards_history`.
    pub deliveries: Vec<DeliveryRecord>,
    /// End of each message, by serial number; `None` while the message is ready or unsettled.
    pub ends: BTreeMap<u64, Option<MessageEnd>>,
    /// Body of each message, by serial number; left empty with `discards_history`.
    pub bodies: BTreeMap<u64, Vec<u8>>,
    /// Descriptions of what clients did against the protocol.
    pub protocol_violations: Vec<String>,
    /// Number of connections that were accepted.
    pub connections_accepted: usize,
    /// Number of connections that completed the handshake.
    pub connections_opened: usize,
    /// Times at which connections completed the handshake, in Unix milliseconds.
    pub connections_opened_ms: Vec<u64>,
    /// Number of connections that the client closed with reply code 200.
    pub connections_closed_cleanly: usize,
    /// Number of heartbeats that were read.
    pub heartbeats: u64,
    /// Scripts for the next connections, one each; connections without a script have no faults.
    pub scripts: VecDeque<Script>,
    /// User and password that a client must present; `None` accepts any.
    pub login: Option<(String, String)>,
    /// Authentication mechanisms that are offered; `None` for `PLAIN EXTERNAL`.
    pub mechanisms: Option<&'static str>,
    /// Longest frame that is offered to clients, in bytes.
    pub frame_max: u32,
    /// Heartbeat interval that is offered to clients, in seconds.
    pub heartbeat_s: u16,
    /// Whether records of deliveries, bodies and acked messages are left out, so that memory stays bounded in
    /// long tests.
    pub discards_history: bool,
    /// Whether a `basic.qos` on a channel with a consumer is read but not answered.
    pub ignores_fences: bool,
    /// Number of messages that were acked.
    pub acks: u64,
    pub(super) last_serial: u64,
    pub(super) stopped: bool,
    pub(super) connections: Vec<Connection>,
    /// Message that was delivered last, with its queue.
    pub(super) last_delivered: Option<(String, Message)>,
    /// Whether the message that was delivered last is to be published once more.
    pub(super) duplicate_last_delivered: bool,
}

impl BrokerState {
    /// Returns the number of messages that are neither acked nor dropped.
    pub fn unfinished(&self) -> usize {
        self.ends.values().filter(|end| end.is_none()).count()
    }

    /// Returns the number of messages to deliver in a queue; 0 if there is no such queue.
    pub fn ready(&self, queue: &str) -> usize {
        self.queues.get(queue).map_or(0, |queue| queue.ready.len())
    }

    /// Returns the number of unsettled deliveries.
    pub fn unsettled(&self) -> usize {
        self.connections.iter().flat_map(|c| c.channels.values()).map(|channel| channel.unsettled.len()).sum()
    }

    /// Returns whether a queue has an active consumer.
    pub fn has_consumer(&self, queue: &str) -> bool {
        let is_active =
            |channel: &Channel| channel.consumer.as_ref().is_some_and(|c| c.active && c.queue == queue);
        self.connections.iter().filter(|c| c.alive).flat_map(|c| c.channels.values()).any(is_active)
    }

    /// Deletes a queue, drops its ready messages and cancels its consumers.
    pub fn delete_queue(&mut self, name: &str) {
        if let Some(queue) = self.queues.get_mut(name) {
            queue.deleted = true;
            for message in std::mem::take(&mut queue.ready) {
                self.ends.insert(message.serial, Some(MessageEnd::Dropped));
            }
        }
        self.cancel_consumers(Some(name));
    }

    /// Puts the unsettled messages of a channel that ended back into their queues, in order.
    pub(super) fn requeue_all(&mut self, channel: Channel) {
        for (_, (delivery, queue, message)) in channel.unsettled.into_iter().rev() {
            self.record_settlement(delivery, SettledBy::ConnectionLost);
            self.requeue(&queue, message);
        }
    }

    pub(super) fn record_settlement(&mut self, delivery: usize, settled_by: SettledBy) {
        if let Some(delivered) = self.deliveries.get_mut(delivery) {
            delivered.settled = Some(settled_by);
        }
    }

    /// Puts a message back at the front of its queue, or drops it if the queue was deleted.
    pub(super) fn requeue(&mut self, queue: &str, mut message: Message) {
        message.redelivered = true;
        match self.queues.get_mut(queue) {
            Some(queue) if !queue.deleted => queue.ready.push_front(message),
            _ => drop(self.ends.insert(message.serial, Some(MessageEnd::Dropped))),
        }
    }

    /// Adds a new message to a queue and returns its serial number. Returns `None` if there is no such queue,
    /// or it is full and `refuse_if_full` is set.
    pub(super) fn enqueue(&mut self, name: &str, mut message: Message, refuse_if_full: bool) -> Option<u64> {
        let queue = self.queues.get_mut(name).filter(|queue| !queue.deleted)?;
        if refuse_if_full && queue.max_ready.is_some_and(|max| queue.ready.len() >= max) {
            return None;
        }
        self.last_serial += 1;
        message.serial = self.last_serial;
        message.redelivered = false;
        let expiration_ms =
            message.properties.expiration().as_ref().and_then(|ms| ms.as_str().parse::<u64>().ok());
        message.expires_at_ms = expiration_ms.map(|ms| now_ms() + ms);
        let serial = message.serial;
        if !self.discards_history {
            self.bodies.insert(serial, message.body.clone());
        }
        queue.ready.push_back(message);
        self.ends.insert(serial, None);
        Some(serial)
    }

    /// Moves a rejected or expired message to the dead letter queue, without its expiration, or drops it if
    /// there is none.
    pub(super) fn dead_letter(&mut self, queue: &str, mut message: Message) {
        let target = self.queues.get(queue).and_then(|queue| queue.dead_letter_queue.clone());
        let (serial, properties) = (message.serial, message.properties.clone());
        match target.and_then(|name| self.queues.get_mut(&name)) {
            Some(target) => {
                message.properties = without_expiration(properties);
                message.expires_at_ms = None;
                message.redelivered = false;
                target.ready.push_back(message);
            }
            None => drop(self.ends.insert(serial, Some(MessageEnd::Dropped))),
        }
    }

    /// Expires messages, maintains the connections and delivers ready messages.
    pub(super) fn tick(&mut self) {
        let now = now_ms();
        self.expire_messages(now);
        self.maintain_connections(now);
        self.deliver_ready();
    }

    fn expire_messages(&mut self, now: u64) {
        let names: Vec<String> = self.queues.keys().cloned().collect();
        for name in names {
            loop {
                let queue = self.queues.get_mut(&name).expect("queue exists");
                let expired = |m: &Message| m.expires_at_ms.is_some_and(|due_ms| due_ms <= now);
                if !queue.ready.front().is_some_and(expired) {
                    break;
                }
                let message = queue.ready.pop_front().expect("queue has a message at the front");
                self.dead_letter(&name, message);
            }
        }
    }
}
