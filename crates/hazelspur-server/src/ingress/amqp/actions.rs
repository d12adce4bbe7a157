//! Carries out the actions of the delivery tracker: submits and abandons requests, settles deliveries and
//! publishes messages.

use super::connection::BrokerConnection;
use super::consumer::AmqpConsumer;
use crate::request::event::RequestEvent;
use hazelspur::Timestamp;
use hazelspur_amqp::Connection;
use hazelspur_deliveries::{DeliveryAction, DeliveryId, DeliveryOutcome, DeliveryTag};

impl AmqpConsumer {
    /// Carries out all actions that are due. Without a connection, settlements are dropped and messages to
    /// publish count as refused.
    pub(super) fn carry_out_actions(&self, mut connection: Option<&mut BrokerConnection>) {
        loop {
            // The watermark and not the present time: a confirm or a fence's answer may have arrived in time
            // but not been read yet, and must take effect before the tracker's timeout for it.
            let watermark = self.clock().input_watermark();
            let Some(action) = self.tracker.borrow_mut().next_action(watermark) else { return };
            log::trace!("delivery action {action:?}");
            self.carry_out(self.now(), action, connection.as_deref_mut());
        }
    }

    fn carry_out(&self, now: Timestamp, action: DeliveryAction, connection: Option<&mut BrokerConnection>) {
        match action {
            DeliveryAction::Submit(id) => self.submit(now, id),
            DeliveryAction::Abandon(id) => self.abandon(id),
            DeliveryAction::ResolveRun { id, permitted } => self.resolve_run(id, permitted),
            DeliveryAction::Ack(tag) => {
                settle(connection, tag, |protocol| protocol.ack(tag.channel, tag.tag));
            }
            DeliveryAction::Reject(tag) => {
                settle(connection, tag, |protocol| protocol.reject(tag.channel, tag.tag, false));
            }
            DeliveryAction::Requeue(tag) => {
                settle(connection, tag, |protocol| protocol.reject(tag.channel, tag.tag, true));
            }
            DeliveryAction::Fence { tag, id } => {
                let sent = settle(connection, tag, |protocol| protocol.send_fence(tag.channel, id.0));
                if !sent {
                    self.tracker.borrow_mut().fence_not_sent(id);
                }
            }
            DeliveryAction::PublishReply { id, outcome, result } => {
                let publish = |protocol: &mut Connection| self.publish_reply(protocol, id, outcome, &result);
                self.publish(now, id, connection, publish);
            }
            DeliveryAction::PublishRetry { id, delay, attempts } => {
                let publish = |protocol: &mut Connection| self.publish_retry(protocol, id, delay, attempts);
                self.publish(now, id, connection, publish);
            }
            DeliveryAction::PublishExpired { id } => {
                let publish = |protocol: &mut Connection| self.publish_expired(protocol, id);
                self.publish(now, id, connection, publish);
            }
            DeliveryAction::Release { id, outcome } => self.release(id, outcome),
        }
    }

    /// Notifies the lifecycle of a delivery's request that its client is gone.
    fn abandon(&self, id: DeliveryId) {
        let request = self.messages.borrow().get(&id).map(|message| message.request_id);
        if let Some(request) = request {
            self.services.dispatcher.deliver(request, RequestEvent::ClientGone);
        }
    }

    fn resolve_run(&self, id: DeliveryId, permitted: bool) {
        if let Some(permission) = self.awaiting_permission.borrow_mut().remove(&id) {
            // An error means that the request's task has ended meanwhile.
            let _ = permission.send(permitted);
        }
    }

    /// Publishes a message; without a connection, or if it cannot be sent, it counts as refused by the
    /// broker.
    fn publish(
        &self,
        now: Timestamp,
        id: DeliveryId,
        connection: Option<&mut BrokerConnection>,
        publish: impl FnOnce(&mut Connection) -> bool,
    ) {
        let published = connection.is_some_and(|connection| publish(&mut connection.protocol));
        if !published {
            self.tracker.borrow_mut().publish_confirmed(now, id, false);
        }
    }

    /// Removes the stored message of a delivery that has ended.
    fn release(&self, id: DeliveryId, outcome: DeliveryOutcome) {
        let message = self.messages.borrow_mut().remove(&id);
        if let Some(message) = message {
            log::debug!(op:% = message.request_id, ending = outcome.wire_name(); "delivery finished");
        }
    }
}

/// Settles a delivery; returns false if there is no connection or the tag is not open on it.
fn settle(
    connection: Option<&mut BrokerConnection>,
    tag: DeliveryTag,
    settle: impl FnOnce(&mut Connection) -> bool,
) -> bool {
    connection.is_some_and(|connection| connection.settle(tag, settle))
}
