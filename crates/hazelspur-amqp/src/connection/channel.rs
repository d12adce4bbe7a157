//! State of one channel, which either consumes one queue or publishes in confirm mode.

use super::content::Content;
use crate::frame;
use crate::method::Method;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of unanswered `basic.qos` methods on a channel.
const MAX_PENDING_QOS: usize = 1024;

/// Purpose of a channel, fixed when it is opened.
#[derive(Clone, Debug)]
pub(super) enum ChannelPurpose {
    /// Consumes `queue` with at most `prefetch` unsettled deliveries.
    Consume { queue: String, prefetch: u16 },
    /// Publishes in confirm mode.
    Publish,
}

/// State of a channel. A closed channel is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChannelState {
    /// `channel.open` is sent; `channel.open-ok` is awaited.
    Opening,
    /// `basic.qos` and then `basic.consume`, or `confirm.select`, is sent; its answer is awaited.
    Preparing,
    /// The broker has accepted the consumer or confirm mode.
    Ready,
    /// `basic.cancel` is sent or received. Deliveries that the broker sent before it processed the cancel may
    /// still be received.
    Cancelled,
}

/// Reason why a `basic.qos` was sent. Its `basic.qos-ok` carries no identifier; the answers are received in
/// the order of the requests.
#[derive(Clone, Copy, Debug)]
pub(super) enum QosReason {
    /// Sets the prefetch count of a new consumer; `basic.consume` follows the answer.
    BeforeConsume,
    /// Changes the prefetch count of a consumer.
    PrefetchChanged,
    /// Repeats the prefetch count; the answer is reported under this number of the caller.
    Fence(u64),
}

pub(super) struct Channel {
    pub(super) number: u16,
    pub(super) state: ChannelState,
    pub(super) purpose: ChannelPurpose,
    /// Message of which the last frame has not been received yet.
    pub(super) content: Option<Content>,
    /// Delivery tags that are neither acknowledged nor rejected.
    pub(super) unsettled: BTreeSet<u64>,
    /// Reasons of the unanswered `basic.qos` methods, oldest first.
    pub(super) pending_qos: VecDeque<QosReason>,
    /// Number of messages published on this channel. The broker numbers confirms from 1, so it is also the
    /// delivery tag in the confirm of the last message.
    pub(super) published: u64,
    /// The caller's numbers of the unconfirmed messages, keyed by the delivery tag that their confirm will
    /// have.
    pub(super) unconfirmed: BTreeMap<u64, u64>,
}

impl Channel {
    pub(super) fn opening(number: u16, purpose: ChannelPurpose) -> Self {
        Self {
            number,
            state: ChannelState::Opening,
            purpose,
            content: None,
            unsettled: BTreeSet::new(),
            pending_qos: VecDeque::new(),
            published: 0,
            unconfirmed: BTreeMap::new(),
        }
    }

    pub(super) fn publishes(&self) -> bool {
        matches!(self.purpose, ChannelPurpose::Publish)
    }

    pub(super) fn consumer_tag(&self) -> String {
        format!("hazelspur-{}", self.number)
    }

    pub(super) fn can_send_qos(&self) -> bool {
        self.pending_qos.len() < MAX_PENDING_QOS
    }

    /// Sends `basic.qos` with the prefetch count and the flag `global`. Without the flag, brokers apply a
    /// later change to new consumers only. As a channel has one consumer, both forms set the same limit.
    pub(super) fn send_qos(&mut self, output: &mut Vec<u8>, prefetch: u16, reason: QosReason) {
        self.pending_qos.push_back(reason);
        frame::put_method(output, self.number, Method::BASIC_QOS, |out| {
            // Prefetch size in bytes: no limit.
            out.extend([0; 4]);
            out.extend_from_slice(&prefetch.max(1).to_be_bytes());
            // Flag `global`.
            out.push(1);
        });
    }
}
