//! Decodes deliveries. The result is a request, or the outcome of a message that is not a valid request, and
//! the deadline by which the request has to start.

use super::consumer::{AmqpConsumer, US_PER_MS};
use crate::config::operator::{QueueConfig, SentTimeSource};
use crate::ingress::limits::{MAX_CLOCK_LEAD, is_valid_size_kb};
use crate::request::deduplication::DeduplicationKey;
use crate::request::lifecycle::MAX_BODY_LENGTH;
use hazelspur::{Duration, RequestClass, RequestClassId, RequestId, SessionKey, TenantId, Timestamp};
use hazelspur_amqp::{FieldValue, IncomingDelivery, Properties};
use hazelspur_deliveries::{
    DeliveryOutcome, DeliveryTag, IdentifyingParts, MessageIdentity, QueueId, ReceivedDelivery,
};
use std::rc::Rc;

/// Maximum length of a message's encoded properties, in bytes. A message with longer ones is malformed.
const MAX_PROPERTIES_BYTES: usize = 8 * 1024;
/// Microseconds per second.
const US_PER_S: u64 = 1_000_000;
/// Header with the number of attempts so far. Written to the copies in the retry queue.
pub(super) const ATTEMPTS_HEADER: &str = "x-hazelspur-tries";
/// Header with the time at which the message was first sent, in milliseconds since the Unix epoch.
pub(super) const SENT_HEADER: &str = "x-sent-ms";
/// Header with the maximum time from the first sending to the start of the request, in milliseconds.
pub(super) const MAX_WAIT_HEADER: &str = "x-waits-ms";
/// Header with the number of deliveries so far. Written by brokers with quorum queues.
const DELIVERY_COUNT_HEADER: &str = "x-delivery-count";
/// Header with the name of the tenant.
const TENANT_HEADER: &str = "x-owner";
/// Header with the memory that the request takes while it is queued, in kB.
const SIZE_HEADER: &str = "x-need-kb";
/// Header with the subject of the request, which identifies its session.
const SUBJECT_HEADER: &str = "x-subject";

/// Parts of a delivery that are kept until the delivery has ended.
pub(super) struct StoredMessage {
    pub(super) request_id: RequestId,
    pub(super) queue: QueueId,
    /// `None` for a message that is not a valid request.
    pub(super) request: Option<QueuedRequest>,
    /// Encoded properties; empty if they cannot be decoded or are too long.
    pub(super) properties: Vec<u8>,
    /// Time of the first sending by the publisher's clock; the time of receipt by this server's wall clock if
    /// the message does not state it, it is not credible or the queue's settings ignore it.
    pub(super) sent_at: Timestamp,
    /// Body; empty if it is missing or too long.
    pub(super) body: Rc<[u8]>,
}

/// Request decoded from a message.
pub(super) struct QueuedRequest {
    pub(super) class_id: RequestClassId,
    pub(super) class: Rc<RequestClass>,
    pub(super) tenant: TenantId,
    pub(super) session: Option<SessionKey>,
    /// Identity of the message; `None` if it has no message-id.
    identity: Option<MessageIdentity>,
    /// `None` for a request that is not deduplicated.
    pub(super) key: Option<DeduplicationKey>,
    /// Memory that the request takes while it is queued, in kB.
    pub(super) size_kb: f64,
}

/// Send time of a message and deadline of its request.
struct MessageTimes {
    /// Same as `StoredMessage::sent_at`.
    sent_at: Timestamp,
    /// Time by which the request has to start, by this server's clock; `None` if it may wait without limit.
    deadline: Option<Timestamp>,
}

fn duration_from_ms(ms: u64) -> Duration {
    Duration::from_us(ms.saturating_mul(US_PER_MS))
}

/// Returns a count from a header, capped at `u32::MAX`; zero if the header is missing or not a count.
fn count_header(properties: &Properties<'_>, name: &str) -> u32 {
    let count = properties.header(name).and_then(FieldValue::unsigned).unwrap_or(0);
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns the number of earlier attempts: by the header of a retry copy or by the broker's delivery count,
/// whichever is higher.
fn previous_attempts(properties: &Properties<'_>) -> u32 {
    count_header(properties, ATTEMPTS_HEADER).max(count_header(properties, DELIVERY_COUNT_HEADER))
}

/// Returns an optional text header.
///
/// # Errors
/// Returns `Malformed` if the header is not text.
fn text_header<'a>(properties: &Properties<'a>, name: &str) -> Result<Option<&'a str>, DeliveryOutcome> {
    match properties.header(name) {
        None => Ok(None),
        Some(value) => value.text().map(Some).ok_or(DeliveryOutcome::Malformed),
    }
}

/// Returns the memory size that the request states, or the queue's default.
///
/// # Errors
/// Returns `Malformed` if the size is not a number in the valid range.
fn size_kb(queue: &QueueConfig, properties: &Properties<'_>) -> Result<f64, DeliveryOutcome> {
    let size_kb = match properties.header(SIZE_HEADER) {
        None => queue.need_kb,
        Some(FieldValue::Float(size_kb)) => size_kb,
        Some(value) => value.unsigned().ok_or(DeliveryOutcome::Malformed)? as f64,
    };
    if is_valid_size_kb(size_kb) { Ok(size_kb) } else { Err(DeliveryOutcome::Malformed) }
}

impl AmqpConsumer {
    /// Decodes a delivery, passes it to the tracker and stores its message. A delivery that is not a valid
    /// request goes to the tracker with its outcome.
    pub(super) fn delivery_received(
        &self,
        now: Timestamp,
        queue: QueueId,
        tag: DeliveryTag,
        delivery: &IncomingDelivery<'_>,
    ) {
        let config = &self.queues[queue.0];
        let properties_fit = delivery.properties.len() <= MAX_PROPERTIES_BYTES;
        let decoded = Properties::read(delivery.properties).ok().filter(|_| properties_fit);
        let properties = decoded.unwrap_or_default();
        let times = self.message_times(now, config, &properties);
        let request = match (decoded, delivery.body) {
            (Some(properties), Some(body)) => self.decode_request(config, &properties, body),
            _ => Err(DeliveryOutcome::Malformed),
        };
        if let Err(outcome) = &request {
            let (queue, size) = (config.name.as_str(), delivery.body.map_or(0, <[u8]>::len));
            log::warn!(queue, ending = outcome.wire_name(), size; "delivery is not a valid request");
        }
        let received = ReceivedDelivery {
            tag,
            queue,
            identity: request.as_ref().ok().and_then(|request| request.identity),
            redelivered: delivery.redelivered,
            idempotency: request
                .as_ref()
                .map(|request| request.class.idempotency)
                .map_err(|outcome| *outcome),
            deadline: times.deadline,
            wants_reply: properties.reply_to.is_some_and(|queue| !queue.is_empty()),
            previous_attempts: previous_attempts(&properties),
        };
        let id = self.tracker.borrow_mut().delivery_received(now, received);
        let body = delivery.body.filter(|body| body.len() <= MAX_BODY_LENGTH);
        let message = StoredMessage {
            request_id: self.next_request_id(),
            queue,
            request: request.ok(),
            properties: decoded.map_or_else(Vec::new, |_| delivery.properties.to_vec()),
            sent_at: times.sent_at,
            body: body.unwrap_or_default().into(),
        };
        self.messages.borrow_mut().insert(id, message);
    }

    /// Returns the send time and the deadline of a message.
    fn message_times(
        &self,
        now: Timestamp,
        queue: &QueueConfig,
        properties: &Properties<'_>,
    ) -> MessageTimes {
        let clock = &self.services.dispatcher.clock;
        let header_ms = |name: &str| properties.header(name).and_then(FieldValue::unsigned);
        let stated_sent_at = match queue.sent_time {
            SentTimeSource::Receipt => None,
            SentTimeSource::Publisher => {
                let sent_ms = header_ms(SENT_HEADER).map(|ms| ms.saturating_mul(US_PER_MS));
                // The `timestamp` property has whole seconds; this is the earliest time that it can stand
                // for.
                let timestamp = properties.timestamp.map(|s| s.saturating_mul(US_PER_S));
                sent_ms.or(timestamp).map(Timestamp::from_us)
            }
        };
        // A send time too far ahead of this server's clock is replaced by the time of receipt.
        let is_credible = |sent_at: &Timestamp| clock.local_time_of(*sent_at) <= now + MAX_CLOCK_LEAD;
        let sent_at = stated_sent_at.filter(is_credible).unwrap_or(clock.wall());
        let expiration_ms = properties.expiration.and_then(|ms| ms.parse::<u32>().ok());
        let max_wait = header_ms(MAX_WAIT_HEADER)
            .or(expiration_ms.map(u64::from))
            .map(duration_from_ms)
            .or(queue.max_wait_s.map(Duration::from_secs));
        let deadline = max_wait.map(|max_wait| clock.local_time_of(sent_at) + max_wait);
        MessageTimes { sent_at, deadline }
    }

    /// Decodes the request of a message.
    ///
    /// # Errors
    /// Returns `UnknownClass` if no request class is named or the named one is not configured, `Malformed` if
    /// another part of the message is invalid.
    fn decode_request(
        &self,
        queue: &QueueConfig,
        properties: &Properties<'_>,
        body: &[u8],
    ) -> Result<QueuedRequest, DeliveryOutcome> {
        let class_name = queue.request_class.as_deref().or(properties.message_type);
        let class_name = class_name.ok_or(DeliveryOutcome::UnknownClass)?;
        let catalog = self.catalog.borrow();
        let class = catalog.find_request_class(class_name);
        let (class_id, class) = class.ok_or(DeliveryOutcome::UnknownClass)?;
        let tenant = catalog.find_tenant(text_header(properties, TENANT_HEADER)?);
        let (tenant, tenant_name) = tenant.ok_or(DeliveryOutcome::Malformed)?;
        let size_kb = size_kb(queue, properties)?;
        if body.len() > MAX_BODY_LENGTH {
            return Err(DeliveryOutcome::Malformed);
        }
        let subject = text_header(properties, SUBJECT_HEADER)?;
        let message_id = properties.message_id.filter(|message_id| !message_id.is_empty());
        let identity = message_id.and_then(|message_id| {
            let request_class = &class.name;
            MessageIdentity::of(&IdentifyingParts { tenant: &tenant_name, request_class, message_id, body })
        });
        // Results of reads are not shared with other messages: neither a message-id nor a user names what a
        // read is about.
        let key = DeduplicationKey::of(&class, &tenant_name, message_id, None);
        let session = subject.map(SessionKey::of);
        Ok(QueuedRequest { class_id, class, tenant, session, identity, key, size_kb })
    }
}
