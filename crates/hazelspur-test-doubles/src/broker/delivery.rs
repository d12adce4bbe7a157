//! Delivery of messages to consumers, within their prefetch limits, and settlement of deliveries.

use super::message::{DeliveryRecord, MessageEnd, SettledBy, content_frames};
use super::state::BrokerState;
use crate::now_ms;
use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as BasicMethod};

impl BrokerState {
    /// Delivers ready messages until each consumer's queue is empty or its prefetch limit is reached.
    /// Publishes the last message once more before that, if scripted.
    pub(super) fn deliver_ready(&mut self) {
        if std::mem::take(&mut self.duplicate_last_delivered)
            && let Some((queue, message)) = self.last_delivered.clone()
        {
            self.enqueue(&queue, message, false);
        }
        for connection_index in 0..self.connections.len() {
            if !self.connections[connection_index].alive || self.connections[connection_index].silent {
                continue;
            }
            let channels: Vec<u16> = self.connections[connection_index].channels.keys().copied().collect();
            for channel in channels {
                while self.deliver_one(connection_index, channel) {}
            }
        }
    }

    /// Delivers one message on a channel and returns whether there was one and the channel's consumer had
    /// room for it.
    pub(super) fn deliver_one(&mut self, connection_index: usize, channel: u16) -> bool {
        let connection = &mut self.connections[connection_index];
        let frame_max = connection.frame_max;
        let Some(channel_state) = connection.channels.get_mut(&channel).filter(|_| connection.alive) else {
            return false;
        };
        let has_room = channel_state.prefetch == 0
            || channel_state.unsettled.len() < usize::from(channel_state.prefetch);
        let Some(consumer) = channel_state.consumer.as_ref().filter(|c| c.active && has_room) else {
            return false;
        };
        let (name, consumer_tag) = (consumer.queue.clone(), consumer.tag.clone());
        let Some(message) = self.queues.get_mut(&name).and_then(|queue| queue.ready.pop_front()) else {
            return false;
        };
        channel_state.last_delivery_tag += 1;
        let tag = channel_state.last_delivery_tag;
        let delivery = self.deliveries.len();
        channel_state.unsettled.insert(tag, (delivery, name.clone(), message.clone()));
        if !self.discards_history {
            let (serial, delivered_ms) = (message.serial, now_ms());
            let settled = None;
            let record =
                DeliveryRecord { connection: connection_index, channel, tag, serial, delivered_ms, settled };
            self.deliveries.push(record);
            self.last_delivered = Some((name.clone(), message.clone()));
        }
        let deliver = basic::Deliver {
            consumer_tag: consumer_tag.as_str().into(),
            delivery_tag: tag,
            redelivered: message.redelivered,
            exchange: "".into(),
            routing_key: name.as_str().into(),
        };
        let mut frames = vec![AMQPFrame::Method(channel, AMQPClass::Basic(BasicMethod::Deliver(deliver)))];
        frames.extend(content_frames(channel, &message, frame_max));
        self.send_frames(connection_index, &frames);
        true
    }

    /// Settles a delivery; records a protocol violation if the delivery tag is not open on the channel.
    pub(super) fn settle(&mut self, connection_index: usize, channel: u16, tag: u64, settled_by: SettledBy) {
        let channel_state = self.connections[connection_index].channels.get_mut(&channel);
        let Some((delivery, queue, message)) =
            channel_state.and_then(|channel_state| channel_state.unsettled.remove(&tag))
        else {
            return self
                .protocol_violations
                .push(format!("{settled_by} of tag {tag} that is not open on channel {channel}"));
        };
        self.record_settlement(delivery, settled_by);
        match settled_by {
            SettledBy::Ack => {
                self.acks += 1;
                self.ends.insert(message.serial, Some(MessageEnd::Acked));
                if self.discards_history {
                    self.ends.remove(&message.serial);
                }
            }
            SettledBy::Requeue => self.requeue(&queue, message),
            SettledBy::Reject | SettledBy::ConnectionLost => self.dead_letter(&queue, message),
        }
    }
}
