//! State of one channel.

use super::content::Content;
use crate::frame;
use crate::method::Method;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of unanswered `basic.qos` on a channel.
const MAX_PENDING_QOS: usize = 1024;

/// What a channel is used for.
#[derive(Clone, Debug)]
pub(super) enum ChannelPurpose {
    Consume { queue: String, prefetch: u16 },
    Publish,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChannelState {
    /// `channel.open` is sent.
    Opening,
    /// `basic.qos` and `basic.consume`, or `confirm.select`, are sent.
    Preparing,
    Ready,
    /// `basic.cancel` is sent or received: nothing more is delivered.
    Cancelled,
}

/// Why a `basic.qos` was sent. The replies come in order.
#[derive(Clone, Copy, Debug)]
pub(super) enum QosReason {
    BeforeConsume,
    PrefetchChanged,
    Fence(u64),
}

pub(super) struct Channel {
    pub(super) number: u16,
    pub(super) state: ChannelState,
    pub(super) purpose: ChannelPurpose,
    /// The message that is being received.
    pub(super) content: Option<Content>,
    pub(super) unsettled: BTreeSet<u64>,
    pub(super) pending_qos: VecDeque<QosReason>,
    /// Number of messages published, which is the delivery tag of the last one's confirm.
    pub(super) published: u64,
    /// The caller's numbers of unconfirmed messages, by the delivery tag of their confirm.
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

    /// Sends `basic.qos` with the global flag: where it is per consumer, brokers apply a later change only to
    /// new consumers. A channel has one consumer, so both mean the same number.
    pub(super) fn send_qos(&mut self, output: &mut Vec<u8>, prefetch: u16, reason: QosReason) {
        self.pending_qos.push_back(reason);
        frame::put_method(output, self.number, Method::BASIC_QOS, |out| {
            // Prefetch size: no limit in bytes.
            out.extend([0; 4]);
            out.extend_from_slice(&prefetch.max(1).to_be_bytes());
            out.push(1);
        });
    }
}
