//! Takes what clients publish, and confirms it.

use super::message::{Message, content};
use super::state::BrokerState;
use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};

impl BrokerState {
    pub(super) fn publish_whole(&mut self, number: usize, channel: u16) {
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
