//! Events that a connection reports to its caller.

/// A delivery whose message has been received completely.
#[derive(Clone, Copy, Debug)]
pub struct IncomingDelivery<'a> {
    /// Number of the channel that the delivery was received on.
    pub channel: u16,
    /// Delivery tag, which is valid on that channel only.
    pub tag: u64,
    /// Whether the broker may have delivered the message before (`redelivered`).
    pub redelivered: bool,
    /// Routing key that the message was published with.
    pub routing_key: &'a str,
    /// Encoded properties, to be decoded with `Properties::read`.
    pub properties: &'a [u8],
    /// Body of the message; `None` if it is larger than `MAX_BODY_BYTES`.
    pub body: Option<&'a [u8]>,
}

/// Receiver of the events of a connection, called in the order of the frames that cause them. Channel numbers
/// are those that the caller passed when it opened the channels.
pub trait ConnectionHandler {
    /// Called when the handshake is complete and channels can be opened.
    fn connection_open(&mut self) {}
    /// Called when the broker has accepted the consumer, or the publishing channel is in confirm mode.
    fn channel_ready(&mut self, channel: u16);
    /// Called when the message of a delivery has been received completely.
    fn delivered(&mut self, delivery: &IncomingDelivery<'_>);
    /// Called when the broker has read everything sent on the channel before `Connection::send_fence` with
    /// the number `fence`.
    fn fence_answered(&mut self, channel: u16, fence: u64);
    /// Called when the broker has confirmed (`accepted`) or refused the message with the caller's number
    /// `number` (`OutgoingMessage::number`).
    fn publish_confirmed(&mut self, number: u64, accepted: bool);
    /// Called when the message with the caller's number `number` was returned because it reached no queue.
    /// Its confirm follows.
    fn publish_returned(&mut self, number: u64);
    /// Called when the broker has cancelled a consumer. Its deliveries can still be settled.
    fn consumer_cancelled(&mut self, channel: u16);
    /// Called when the broker has closed a channel. Its deliveries can no longer be settled.
    fn channel_closed(&mut self, channel: u16, reply_code: u16, reply_text: &str);
    /// Called with the broker's reason when it begins to block publishers, and with `None` when it no longer
    /// does.
    fn publishers_blocked(&mut self, reason: Option<&str>);
}
