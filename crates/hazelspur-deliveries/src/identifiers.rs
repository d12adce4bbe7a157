//! Identifiers of queues, connections and deliveries.

/// Index of a queue in the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueId(pub usize);

/// Number of a connection to a broker, counted from the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u64);

/// Process-wide identifier of a delivery; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeliveryId(pub u64);

/// The broker's identifier of a delivery, valid only on the channel and connection that delivered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeliveryTag {
    /// Connection that the delivery came on.
    pub connection: ConnectionNumber,
    /// Channel of that connection.
    pub channel: u16,
    /// Delivery tag on that channel.
    pub tag: u64,
}
