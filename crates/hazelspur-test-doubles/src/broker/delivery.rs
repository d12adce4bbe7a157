//! Delivers messages to consumers, as far as their prefetch allows, and settles them.

use super::message::{DeliveryRecord, MessageEnd, SettledBy, content};
use super::state::BrokerState;
use crate::now_ms;
use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};

impl BrokerState {
    /// Delivers what consumers have room for.
    pub(super) fn pump(&mut self) {
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

    pub(super) fn deliver_one(&mut self, number: usize, channel: u16) -> bool {
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
        if !self.discards_history {
            let (serial, delivered_ms) = (message.serial, now_ms());
            let settled = None;
            let delivered =
                DeliveryRecord { connection: number, channel, tag, serial, delivered_ms, settled };
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

    pub(super) fn settle(&mut self, number: usize, channel: u16, tag: u64, how: SettledBy) {
        let on = self.connections[number].channels.get_mut(&channel);
        let Some((delivery, queue, message)) = on.and_then(|on| on.unsettled.remove(&tag)) else {
            return self
                .protocol_violations
                .push(format!("{how} of tag {tag} that is not open on channel {channel}"));
        };
        self.settled(delivery, how);
        match how {
            SettledBy::Ack => {
                self.acks += 1;
                self.ends.insert(message.serial, Some(MessageEnd::Acked));
                if self.discards_history {
                    self.ends.remove(&message.serial);
                }
            }
            SettledBy::Requeue => self.put_back(&queue, message),
            SettledBy::Reject | SettledBy::ConnectionLost => self.bury(&queue, message),
        }
    }
}
