//! Messages, queues and deliveries as the broker keeps them.

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::AMQPProperties;
use std::collections::VecDeque;
use std::fmt;

/// A message in a queue.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Its content properties.
    pub properties: AMQPProperties,
    /// Its body.
    pub body: Vec<u8>,
    /// Its number, given by the broker.
    pub serial: u64,
    /// Whether it was delivered before.
    pub redelivered: bool,
    pub(super) expires_at_ms: Option<u64>,
}

/// Where a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageEnd {
    /// Acknowledged by a consumer.
    Acked,
    /// Rejected or expired where no other queue takes such.
    Dropped,
}

/// A queue in memory.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Messages to deliver, first in, first out.
    pub ready: VecDeque<Message>,
    /// Where rejected messages go, and expired ones.
    pub dead_letter_queue: Option<String>,
    /// With so many ready messages a publish is refused.
    pub max_ready: Option<usize>,
    /// Whether it was deleted.
    pub deleted: bool,
}

/// How a delivery was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettledBy {
    /// By `basic.ack`.
    Ack,
    /// By `basic.reject` or `basic.nack` without requeue.
    Reject,
    /// By one of them with requeue.
    Requeue,
    /// By the end of its channel or connection.
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
    /// The connection, counted from 0.
    pub connection: usize,
    /// The channel on it.
    pub channel: u16,
    /// The delivery tag.
    pub tag: u64,
    /// The message's serial number.
    pub serial: u64,
    /// When it was delivered, in Unix milliseconds.
    pub delivered_ms: u64,
    /// How it was settled; `None` while it is not.
    pub settled: Option<SettledBy>,
}

pub(super) fn content_frames(channel: u16, message: &Message, frame_max: usize) -> Vec<AMQPFrame> {
    let header = AMQPContentHeader {
        class_id: 60,
        body_size: message.body.len() as u64,
        properties: message.properties.clone(),
    };
    let chunks = message.body.chunks(frame_max - 8).map(|chunk| AMQPFrame::Body(channel, chunk.to_vec()));
    std::iter::once(AMQPFrame::Header(channel, header)).chain(chunks).collect()
}

/// A copy of the properties that does not expire.
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
