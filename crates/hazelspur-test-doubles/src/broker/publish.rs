//! Acceptance of the messages that clients publish, and publisher confirms.

use super::message::{Message, content_frames};
use super::state::BrokerState;
use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as BasicMethod};

impl BrokerState {
    /// Puts the message that a client publishes into its queue once its body is complete. Returns a mandatory
    /// message that has no queue, and sends the publisher confirm.
    pub(super) fn finish_publish(&mut self, connection_index: usize, channel: u16) {
        let connection = &mut self.connections[connection_index];
        let Some(channel_state) = connection.channels.get_mut(&channel) else { return };
        let complete = channel_state
            .incoming_publish
            .as_ref()
            .and_then(|(_, header, body)| Some(header.as_ref()?.body_size <= body.len() as u64));
        if complete != Some(true) {
            return;
        }
        let Some((publish, Some(header), body)) = channel_state.incoming_publish.take() else { return };
        channel_state.published_count += 1;
        let (tag, confirm_mode) = (channel_state.published_count, channel_state.confirm_mode);
        let (refuse_next, lose_next) =
            (&mut connection.refuse_next_publish, &mut connection.lose_next_confirm);
        let (refused, lost) = (std::mem::take(refuse_next), confirm_mode && std::mem::take(lose_next));
        let frame_max = connection.frame_max;
        let message = Message { properties: header.properties, body, ..Message::default() };
        let routing_key = publish.routing_key.as_str().to_string();
        let queue_exists = self.queues.get(&routing_key).is_some_and(|queue| !queue.deleted);
        let accepted =
            !refused && queue_exists && self.enqueue(&routing_key, message.clone(), true).is_some();
        if !queue_exists && publish.mandatory {
            let returned = basic::Return {
                reply_code: 312,
                reply_text: "NO_ROUTE".into(),
                exchange: "".into(),
                routing_key: publish.routing_key,
            };
            let mut frames =
                vec![AMQPFrame::Method(channel, AMQPClass::Basic(BasicMethod::Return(returned)))];
            frames.extend(content_frames(channel, &message, frame_max));
            self.send_frames(connection_index, &frames);
        }
        if confirm_mode && !lost {
            let method = if accepted || (!queue_exists && !refused) {
                BasicMethod::Ack(basic::Ack { delivery_tag: tag, multiple: false })
            } else {
                BasicMethod::Nack(basic::Nack { delivery_tag: tag, multiple: false, requeue: false })
            };
            self.send_method(connection_index, channel, AMQPClass::Basic(method));
        }
    }
}
