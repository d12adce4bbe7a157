//! Events of a connection.

/// A delivery with its whole message.
#[derive(Clone, Copy, Debug)]
pub struct IncomingDelivery<'a> {
    /// Channel that it came on.
    pub channel: u16,
    /// Its delivery tag, to be settled on that channel.
    pub tag: u64,
    /// Whether the broker has delivered the message before.
    pub redelivered: bool,
    /// Routing key that the message was published with.
    pub routing_key: &'a str,
    /// The encoded properties, for `Properties::read`.
    pub properties: &'a [u8],
    /// The body; `None` where it is larger than `MAX_BODY_BYTES`.
    pub body: Option<&'a [u8]>,
}

/// Receives the events of a connection in order. Channel numbers are the caller's.
pub trait ConnectionHandler {
    /// The connection is open.
    fn connection_open(&mut self) {}
    /// The broker has accepted the consumer, or the publishing channel is in confirm mode.
    fn channel_ready(&mut self, channel: u16);
    /// A delivery is complete.
    fn delivered(&mut self, delivery: &IncomingDelivery<'_>);
    /// The broker has read everything that was sent on this channel before this fence.
    fn fence_answered(&mut self, channel: u16, fence: u64);
    /// The broker has confirmed (`accepted`) or refused the message published under this number.
    fn publish_confirmed(&mut self, number: u64, accepted: bool);
    /// The message published under this number reached no queue; its confirm follows.
    fn publish_returned(&mut self, number: u64);
    /// The broker has cancelled a consumer; its deliveries can still be settled.
    fn consumer_cancelled(&mut self, channel: u16);
    /// The broker has closed a channel, and its deliveries can no longer be settled.
    fn channel_closed(&mut self, channel: u16, reply_code: u16, reply_text: &str);
    /// The broker blocks publishers for this reason, or with `None` no longer does.
    fn publishers_blocked(&mut self, reason: Option<&str>);
}
