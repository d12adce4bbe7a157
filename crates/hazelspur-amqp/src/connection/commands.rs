//! Commands of the caller: open channels, consume, change the prefetch count, settle deliveries and publish.

use super::channel::{Channel, ChannelPurpose, ChannelState, QosReason};
use super::content::NUMBER_HEADER;
use super::{Connection, ConnectionState};
use crate::frame::{self, FRAME_OVERHEAD_BYTES, FrameKind};
use crate::method::{BASIC_CLASS, Method};
use crate::properties::Properties;
use crate::table::TableWriter;
use crate::wire::put_short_string;

/// Default exchange, which routes a message to the queue named by its routing key.
const DEFAULT_EXCHANGE: &str = "";
/// Bit `mandatory` of `basic.publish`: a message that reaches no queue is returned.
const MANDATORY_BIT: u8 = 1;
/// Field `weight` in a content header; unused, must be zero.
const CONTENT_WEIGHT: u16 = 0;

/// A message to publish.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingMessage<'a> {
    /// Number chosen by the caller, under which the confirm and the return of the message are reported.
    pub number: u64,
    /// Name of the queue to publish to through the default exchange.
    pub queue: &'a str,
    /// Message properties. A header `x-hazelspur-number` is replaced by `number`.
    pub properties: Properties<'a>,
    /// Message body.
    pub body: &'a [u8],
}

impl Connection {
    /// Opens a channel that consumes `queue` with at most `prefetch` unsettled deliveries. Does nothing if
    /// the connection is not open or the channel number is in use.
    pub fn consume(&mut self, channel: u16, queue: &str, prefetch: u16) {
        self.open_channel(channel, ChannelPurpose::Consume { queue: queue.into(), prefetch });
    }

    /// Opens a channel for `publish`, in confirm mode. Does nothing if the connection is not open or the
    /// channel number is in use.
    pub fn open_publishing_channel(&mut self, channel: u16) {
        self.open_channel(channel, ChannelPurpose::Publish);
    }

    fn open_channel(&mut self, number: u16, purpose: ChannelPurpose) {
        if self.state != ConnectionState::Open || self.channels.contains_key(&number) {
            return;
        }
        // Reserved argument: an empty string.
        frame::put_method(&mut self.output, number, Method::CHANNEL_OPEN, |out| out.push(0));
        self.channels.insert(number, Channel::opening(number, purpose));
    }

    /// Changes the maximum number of unsettled deliveries of a consumer. Does nothing if the channel is not
    /// ready or has too many unanswered `basic.qos` methods.
    pub fn set_prefetch(&mut self, number: u16, prefetch: u16) {
        if let Some(channel) = self.channels.get_mut(&number)
            && channel.state == ChannelState::Ready
            && channel.can_send_qos()
        {
            if let ChannelPurpose::Consume { prefetch: current, .. } = &mut channel.purpose {
                *current = prefetch.max(1);
            }
            channel.send_qos(&mut self.output, prefetch, QosReason::PrefetchChanged);
        }
    }

    /// Sends a method whose answer shows that the broker has read everything sent before on this channel; the
    /// answer is reported with the number `fence`. The method is a `basic.qos` that repeats the prefetch
    /// count, since the methods of a channel are processed in order (specification 4.7). Returns false,
    /// without sending, if the channel does not exist, does not consume or has too many unanswered
    /// `basic.qos` methods.
    pub fn send_fence(&mut self, number: u16, fence: u64) -> bool {
        let Some(channel) = self.channels.get_mut(&number) else { return false };
        let ChannelPurpose::Consume { prefetch, .. } = channel.purpose else { return false };
        let can_send = channel.can_send_qos();
        if can_send {
            channel.send_qos(&mut self.output, prefetch, QosReason::Fence(fence));
        }
        can_send
    }

    /// Acknowledges a delivery. Returns false, without sending, if the connection is not open or the tag is
    /// not that of an unsettled delivery on the channel; the latter is counted in `stale_settlements`.
    pub fn ack(&mut self, channel: u16, tag: u64) -> bool {
        self.settle(channel, tag, Method::BASIC_ACK, 0)
    }

    /// Rejects a delivery; the broker puts the message back into its queue if `requeue` is set. Returns false
    /// in the same cases as `ack`.
    pub fn reject(&mut self, channel: u16, tag: u64, requeue: bool) -> bool {
        self.settle(channel, tag, Method::BASIC_REJECT, u8::from(requeue))
    }

    /// Sends a settlement. Once the connection is closing nothing can be settled, so a settlement that is
    /// then dropped is not counted as stale.
    fn settle(&mut self, number: u16, tag: u64, method: Method, bits: u8) -> bool {
        if self.state != ConnectionState::Open {
            return false;
        }
        let channel = self.channels.get_mut(&number);
        let was_unsettled = channel.is_some_and(|channel| channel.unsettled.remove(&tag));
        if !was_unsettled {
            self.stale_settlements += 1;
            return false;
        }
        frame::put_method(&mut self.output, number, method, |out| {
            out.extend_from_slice(&tag.to_be_bytes());
            out.push(bits);
        });
        true
    }

    /// Publishes a message. Returns false, without sending, if the connection is not open, the channel is not
    /// ready or the properties do not fit in one frame.
    pub fn publish(&mut self, channel: u16, message: &OutgoingMessage<'_>) -> bool {
        let max_payload_bytes = self.max_frame_bytes - FRAME_OVERHEAD_BYTES;
        let is_open = self.state == ConnectionState::Open;
        let channel = self.channels.get_mut(&channel);
        let Some(channel) = channel.filter(|channel| is_open && channel.state == ChannelState::Ready) else {
            return false;
        };
        let header = content_header(message);
        if header.len() > max_payload_bytes {
            return false;
        }
        channel.published += 1;
        channel.unconfirmed.insert(channel.published, message.number);
        frame::put_method(&mut self.output, channel.number, Method::BASIC_PUBLISH, |out| {
            // Reserved argument.
            out.extend([0, 0]);
            put_short_string(out, DEFAULT_EXCHANGE);
            put_short_string(out, message.queue);
            out.push(MANDATORY_BIT);
        });
        let mut put = |kind, payload: &[u8]| {
            frame::put(&mut self.output, kind, channel.number, |out| out.extend_from_slice(payload));
        };
        put(FrameKind::Header, &header);
        message.body.chunks(max_payload_bytes).for_each(|part| put(FrameKind::Body, part));
        true
    }

    /// Starts a new consumer on a channel whose consumer was cancelled.
    pub fn resume_consumer(&mut self, number: u16) {
        if let Some(channel) = self.channels.get_mut(&number)
            && channel.state == ChannelState::Cancelled
            && let ChannelPurpose::Consume { prefetch, .. } = channel.purpose
        {
            channel.state = ChannelState::Preparing;
            channel.send_qos(&mut self.output, prefetch, QosReason::BeforeConsume);
        }
    }

    /// Cancels the consumer of a channel. Its deliveries can still be settled.
    pub fn cancel_consumer(&mut self, number: u16) {
        if let Some(channel) = self.channels.get_mut(&number)
            && matches!(channel.state, ChannelState::Preparing | ChannelState::Ready)
        {
            channel.state = ChannelState::Cancelled;
            let consumer_tag = channel.consumer_tag();
            frame::put_method(&mut self.output, number, Method::BASIC_CANCEL, |out| {
                put_short_string(out, &consumer_tag);
                // Bit `no-wait` is not set.
                out.push(0);
            });
        }
    }
}

/// Returns the payload of the content header frame, with the caller's number added to the headers.
fn content_header(message: &OutgoingMessage<'_>) -> Vec<u8> {
    let headers = TableWriter::default()
        .fields_except(message.properties.headers.unwrap_or_default(), &[NUMBER_HEADER])
        .integer(NUMBER_HEADER, message.number as i64);
    let mut header = Vec::new();
    header.extend_from_slice(&BASIC_CLASS.to_be_bytes());
    header.extend_from_slice(&CONTENT_WEIGHT.to_be_bytes());
    header.extend_from_slice(&(message.body.len() as u64).to_be_bytes());
    Properties { headers: Some(headers.finish()), ..message.properties }.put(&mut header);
    header
}
