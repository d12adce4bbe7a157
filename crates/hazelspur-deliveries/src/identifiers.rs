//! Identifiers of queues, broker connections and deliveries.

/// Index of a queue in the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueId(pub usize);

/// Number of a connection to a broker, counted from the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u64);

/// Identifier of a delivery, unique within the process and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeliveryId(pub u64);

/// The broker's identifier of a delivery, valid only on the channel and connection that delivered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeliveryTag {
    /// Connection on which the delivery arrived.
    pub connection: ConnectionNumber,
    /// Channel of the connection.
    pub channel: u16,
    /// Delivery tag, counted by the broker per channel.
    pub tag: u64,
}
