//! Messages, queues and deliveries as the broker keeps them.

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::AMQPProperties;
use std::collections::VecDeque;
use std::fmt;

/// A message in a queue.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Content properties.
    pub properties: AMQPProperties,
    /// Body, in bytes.
    pub body: Vec<u8>,
    /// Number of the message in the order of publication, given by the broker from 1 on.
    pub serial: u64,
    /// Whether the message was delivered before and put back into its queue.
    pub redelivered: bool,
    /// Time of expiration, in Unix milliseconds; `None` for no expiration.
    pub(super) expires_at_ms: Option<u64>,
}

/// Way in which a message left the broker for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageEnd {
    /// Acknowledged by a consumer.
    Acked,
    /// Rejected or expired without a dead letter queue, or lost with a deleted queue.
    Dropped,
}

/// A queue in memory.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Messages to deliver, the next one at the front.
    pub ready: VecDeque<Message>,
    /// Name of the queue for rejected and expired messages; `None` if they are dropped.
    pub dead_letter_queue: Option<String>,
    /// Number of ready messages from which on a publish is refused; `None` for no limit.
    pub max_ready: Option<usize>,
    /// Whether the queue was deleted; a client's declaration does not restore it.
    pub deleted: bool,
}

/// Way in which a delivery was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettledBy {
    /// Settled by `basic.ack`.
    Ack,
    /// Settled by `basic.reject` or `basic.nack` without requeue.
    Reject,
    /// Settled by `basic.reject` or `basic.nack` with requeue.
    Requeue,
    /// Settled by the end of the channel or connection, with requeue.
    ConnectionLost,
}

impl fmt::Display for SettledBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ack => "ack",
            Self::Reject => "reject",
            Self::Requeue => "requeue",
            Self::ConnectionLost => "lost",
        })
    }
}

/// One delivery of a message to a consumer.
#[derive(Clone, Debug)]
pub struct DeliveryRecord {
    /// Number of the connection, counted from 0 in the order of acceptance.
    pub connection: usize,
    /// Number of the channel on the connection.
    pub channel: u16,
    /// Delivery tag.
    pub tag: u64,
    /// Serial number of the message.
    pub serial: u64,
    /// Time of delivery, in Unix milliseconds.
    pub delivered_ms: u64,
    /// Settlement; `None` while the delivery is unsettled.
    pub settled: Option<SettledBy>,
}

/// Returns the content header and body frames of a message.
pub(super) fn content_frames(channel: u16, message: &Message, frame_max: usize) -> Vec<AMQPFrame> {
    let header = AMQPContentHeader {
        class_id: 60,
        body_size: message.body.len() as u64,
        properties: message.properties.clone(),
    };
    let chunks = message.body.chunks(frame_max - 8).map(|chunk| AMQPFrame::Body(channel, chunk.to_vec()));
    std::iter::once(AMQPFrame::Header(channel, header)).chain(chunks).collect()
}

/// Returns a copy of the properties without the expiration.
pub(super) fn without_expiration(properties: AMQPProperties) -> AMQPProperties {
    let mut copy = AMQPProperties::default();
    macro_rules! copy_properties {
        ($($get:ident $with:ident),*) => { $(
            if let Some(value) = properties.$get().clone() {
                copy = copy.$with(value);
            }
        )* };
    }
    copy_properties!(content_type with_content_type, content_encoding with_content_encoding, headers with_headers,
        delivery_mode with_delivery_mode, priority with_priority, correlation_id with_correlation_id,
        reply_to with_reply_to, message_id with_message_id, timestamp with_timestamp, kind with_type,
        user_id with_user_id, app_id with_app_id, cluster_id with_cluster_id);
    copy
}
