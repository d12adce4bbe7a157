//! Counters of deliveries.

/// Numbers of deliveries since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeliveryCounters {
    /// Received from the broker.
    pub received: u64,
    /// Acknowledged.
    pub acked: u64,
    /// Rejected without requeue.
    pub rejected: u64,
    /// Rejected with requeue.
    pub requeued: u64,
    /// Copied to the retry queue.
    pub retried: u64,
    /// Expired before their run.
    pub expired: u64,
    /// Duplicates settled with the outcome of their message.
    pub duplicates: u64,
    /// Settled as possible duplicates without having run here.
    pub possible_duplicates: u64,
    /// Left to the broker when their channel was lost before they ran.
    pub left_to_broker: u64,
    /// Acknowledged and never run, since the connection broke before the fence, or the deadline passed before it and
    /// the broker did not confirm the copy.
    pub acked_without_run: u64,
    /// Replies that the broker did not take.
    pub replies_lost: u64,
}
