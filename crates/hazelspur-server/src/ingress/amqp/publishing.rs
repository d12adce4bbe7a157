//! Messages that the consumer publishes: replies, copies to the retry queue, and copies of expired messages.

use super::consumer::{AmqpConsumer, US_PER_MS};
use super::message::{ATTEMPTS_HEADER, MAX_WAIT_HEADER, SENT_HEADER, StoredMessage};
use hazelspur::Duration;
use hazelspur_amqp::{Connection, OutgoingMessage, Properties, TableWriter};
use hazelspur_deliveries::{DeliveryId, DeliveryOutcome};

/// Header of a reply with the name of the request's outcome.
const OUTCOME_HEADER: &str = "x-outcome";
/// Delivery mode of messages that the broker stores on disk.
const PERSISTENT: u8 = 2;

impl AmqpConsumer {
    /// Publishes the reply to the queue that the message's `reply_to` names; returns whether it was sent.
    pub(super) fn publish_reply(
        &self,
        protocol: &mut Connection,
        id: DeliveryId,
        outcome: DeliveryOutcome,
        result: &[u8],
    ) -> bool {
        let messages = self.messages.borrow();
        let Some(message) = messages.get(&id) else { return false };
        let Ok(request) = Properties::read(&message.properties) else { return false };
        let Some(queue) = request.reply_to else { return false };
        let headers = TableWriter::default().text(OUTCOME_HEADER, outcome.wire_name());
        let properties = Properties {
            headers: Some(headers.finish()),
            delivery_mode: Some(PERSISTENT),
            correlation_id: request.correlation_id.or(request.message_id),
            message_id: request.message_id,
            message_type: request.message_type,
            ..Properties::default()
        };
        let reply = OutgoingMessage { number: id.0, queue, properties, body: result };
        protocol.publish(self.publishing_channel(), &reply)
    }

    /// Publishes a copy to the retry queue, where it expires after `delay`; returns whether it was sent.
    /// Headers preserve the send time and the maximum wait of the original.
    pub(super) fn publish_retry(
        &self,
        protocol: &mut Connection,
        id: DeliveryId,
        delay: Duration,
        attempts: u32,
    ) -> bool {
        let messages = self.messages.borrow();
        let Some(message) = messages.get(&id) else { return false };
        let Some(queue) = &self.queues[message.queue.0].retry_queue else { return false };
        let Ok(original) = Properties::read(&message.properties) else { return false };
        let headers = headers_of_copy(message, &original, &[ATTEMPTS_HEADER])
            .integer(ATTEMPTS_HEADER, i64::from(attempts));
        let expiration = (delay.us() / US_PER_MS).max(1).to_string();
        let properties =
            Properties { headers: Some(headers.finish()), expiration: Some(&expiration), ..original };
        let copy = OutgoingMessage { number: id.0, queue, properties, body: &message.body };
        protocol.publish(self.publishing_channel(), &copy)
    }

    /// Publishes a copy of an expired message to the message's own queue, where it is expired from the start;
    /// returns whether it was sent.
    pub(super) fn publish_expired(&self, protocol: &mut Connection, id: DeliveryId) -> bool {
        let messages = self.messages.borrow();
        let Some(message) = messages.get(&id) else { return false };
        let Ok(original) = Properties::read(&message.properties) else { return false };
        let headers = headers_of_copy(message, &original, &[]);
        let properties = Properties { headers: Some(headers.finish()), expiration: None, ..original };
        let queue = self.queues[message.queue.0].name.as_str();
        let copy = OutgoingMessage { number: id.0, queue, properties, body: &message.body };
        protocol.publish(self.publishing_channel(), &copy)
    }
}

/// Returns the headers of a copy: those of the original except `excluded`, with the send time and the maximum
/// wait of the original.
fn headers_of_copy(message: &StoredMessage, original: &Properties<'_>, excluded: &[&str]) -> TableWriter {
    let excluded = [&[SENT_HEADER], excluded].concat();
    let headers = TableWriter::default()
        .fields_except(original.headers.unwrap_or_default(), &excluded)
        .integer(SENT_HEADER, (message.sent_at.us() / US_PER_MS) as i64);
    let expiration_ms = original.expiration.and_then(|ms| ms.parse().ok());
    match expiration_ms.filter(|_| original.header(MAX_WAIT_HEADER).is_none()) {
        Some(max_wait_ms) => headers.integer(MAX_WAIT_HEADER, max_wait_ms),
        None => headers,
    }
}
