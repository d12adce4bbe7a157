//! All that the broker knows: queues, deliveries, connections, and counts for tests.

use super::connection::{Channel, Connection};
use super::message::{DeliveryRecord, Message, MessageEnd, Queue, SettledBy, without_expiration};
use crate::now_ms;
use crate::script::Script;
use std::collections::{BTreeMap, VecDeque};

/// What the broker keeps, and what it counts for tests.
#[derive(Default)]
pub struct BrokerState {
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// All deliveries, in their order.
    pub deliveries: Vec<DeliveryRecord>,
    /// Where each message ended, by its serial number; `None` while it has not.
    pub ends: BTreeMap<u64, Option<MessageEnd>>,
    /// The body of each message, by its serial number.
    pub bodies: BTreeMap<u64, Vec<u8>>,
    /// What clients did against the protocol.
    pub protocol_violations: Vec<String>,
    /// Connections that were accepted.
    pub connections_accepted: usize,
    /// Connections that completed the handshake.
    pub connections_opened: usize,
    /// When they did, in Unix milliseconds.
    pub connections_opened_ms: Vec<u64>,
    /// Connections that were closed in good order by the client.
    pub connections_closed_cleanly: usize,
    /// Heartbeats that were read.
    pub heartbeats: u64,
    /// Scripts for the connections to come; past the last one they behave.
    pub scripts: VecDeque<Script>,
    /// User and password that are asked for; `None` accepts any.
    pub login: Option<(String, String)>,
    /// Authentication mechanisms that are offered in place of the usual ones.
    pub mechanisms: Option<&'static str>,
    /// The longest frame that is offered, in bytes.
    pub frame_max: u32,
    /// The heartbeat interval that is offered, in seconds.
    pub heartbeat_s: u16,
    /// Keeps no history of deliveries, for long runs.
    pub discards_history: bool,
    /// Messages acknowledged.
    pub acks: u64,
    pub(super) last_serial: u64,
    pub(super) stopped: bool,
    pub(super) connections: Vec<Connection>,
    pub(super) last_delivered: Option<(String, Message)>,
    pub(super) duplicate_last_delivered: bool,
}

impl BrokerState {
    /// Messages that are neither acked nor dropped: ready, or delivered and unsettled.
    pub fn unfinished(&self) -> usize {
        self.ends.values().filter(|end| end.is_none()).count()
    }

    /// Messages to deliver in a queue.
    pub fn ready(&self, queue: &str) -> usize {
        self.queues.get(queue).map_or(0, |queue| queue.ready.len())
    }

    /// Deliveries that are not settled.
    pub fn unsettled(&self) -> usize {
        self.connections.iter().flat_map(|c| c.channels.values()).map(|channel| channel.unsettled.len()).sum()
    }

    /// Whether a queue has an active consumer.
    pub fn has_consumer(&self, queue: &str) -> bool {
        let is_active =
            |channel: &Channel| channel.consumer.as_ref().is_some_and(|c| c.active && c.queue == queue);
        self.connections.iter().filter(|c| c.alive).flat_map(|c| c.channels.values()).any(is_active)
    }

    /// Deletes a queue: its consumers are cancelled, its ready messages dropped.
    pub fn delete_queue(&mut self, name: &str) {
        if let Some(queue) = self.queues.get_mut(name) {
            queue.deleted = true;
            for message in std::mem::take(&mut queue.ready) {
                self.ends.insert(message.serial, Some(MessageEnd::Dropped));
            }
        }
        self.cancel_consumers(Some(name));
    }

    /// Puts the unsettled messages of a channel that ended back into their queues.
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

    pub(super) fn requeue(&mut self, queue: &str, mut message: Message) {
        message.redelivered = true;
        match self.queues.get_mut(queue) {
            Some(queue) if !queue.deleted => queue.ready.push_front(message),
            _ => drop(self.ends.insert(message.serial, Some(MessageEnd::Dropped))),
        }
    }

    /// A new message in a queue; `None` where there is none of that name, or it is full and `bounded`.
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

    /// Rejected or expired: on to the queue's dead letters, without its expiration, or dropped.
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

    /// What time brings: expired messages, heartbeats, connections that are no longer blocked.
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
                let queue = self.queues.get_mut(&name).expect("named above");
                let expired = |m: &Message| m.expires_at_ms.is_some_and(|due_ms| due_ms <= now);
                if !queue.ready.front().is_some_and(expired) {
                    break;
                }
                let message = queue.ready.pop_front().expect("looked at");
                self.dead_letter(&name, message);
            }
        }
    }
}
